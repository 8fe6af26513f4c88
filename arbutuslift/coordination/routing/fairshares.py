"""Division of a capacity that is too small among classes and routes."""

import math

from attrs import define, field

from ...clock import Clock
from ...state.routingtable import RouteKey

# The share of a route follows its ordinary demand. A burst lasts for seconds, a change
# of the ordinary demand for minutes.
DEMAND_MEMORY_S = 60.0
# A route without an arrival for this long has no demand and leaves its part to others.
IDLE_S = 1.0
# Flows by which a route may be behind its share, and ahead of it. Random arrivals at
# 0.9 of a rate are more than 8 ahead of it in a few percent of the time.
MAX_CREDIT = 8.0
MAX_DEBT = 4.0
MAX_ROUTES = 4096
# Credits are sums of fractions.
ROUNDING = 1e-9


@define
class _RouteDemand:
    """Demand and service of one route.

    Attributes:
        priority: Priority of its class; 0 is the highest.
        aim_s: Time within which its callers want an answer, 0 if it isn't known.
        arrivals: New flows, older ones counted for less.
        updated_s: When ``arrivals`` was last brought up to date.
        credit: Flows that the route may still open before it had more than its share.
    """

    priority: int
    aim_s: float
    arrivals: float = 0.0
    updated_s: float = field(default=0.0, kw_only=True)
    credit: float = field(default=0.0, kw_only=True)


class FairShares:
    """Credits of the routes that share one pool.

    In a shortage, the flows that the upstreams can answer are divided as credits among
    the routes with demand, in proportion to their ordinary demand. An admitted flow
    costs its route one credit. What a route doesn't use goes to the others.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._routes: dict[RouteKey, _RouteDemand] = {}
        self._accrued_s = clock.monotonic_s()

    def record_arrival(self, route: RouteKey, priority: int, aim_s: float) -> None:
        """Count a new flow, admitted or not."""
        now_s = self._clock.monotonic_s()
        demand = self._routes.get(route)
        if demand is None:
            if len(self._routes) >= MAX_ROUTES:
                del self._routes[next(iter(self._routes))]
            demand = self._routes[route] = _RouteDemand(
                priority, aim_s, updated_s=now_s
            )
        demand.priority = priority
        demand.aim_s = aim_s
        demand.arrivals = 1.0 + _decayed(demand, now_s)
        demand.updated_s = now_s

    def accrue(self, flows_per_s: float, excess: float) -> None:
        """Divide the flows that were possible since the last call among the routes.

        Args:
            flows_per_s: Flows that the upstreams can answer at this instance's part.
            excess: What is outstanding as a multiple of the capacity. While it is over
                1, fewer flows are divided, and the classes below the highest bear
                that.
        """
        now_s = self._clock.monotonic_s()
        elapsed_s = now_s - self._accrued_s
        self._accrued_s = now_s
        if elapsed_s > IDLE_S:
            # The time before a shortage gives no credit for its first moment.
            return
        present = [k for k in self._routes.values() if now_s - k.updated_s < IDLE_S]
        weights = [_decayed(demand, now_s) for demand in present]
        total = sum(weights)
        top = min((demand.priority for demand in present), default=0)
        top_weight = sum(
            weight
            for demand, weight in zip(present, weights, strict=True)
            if demand.priority == top
        )
        for demand, weight in zip(present, weights, strict=True):
            is_top = demand.priority == top
            factor = _factor(excess, top_weight / total, is_top)
            part = factor * flows_per_s * weight / total
            demand.credit = min(MAX_CREDIT, demand.credit + elapsed_s * part)

    def charge(self, route: RouteKey) -> None:
        """Take the cost of an admitted flow from its route."""
        demand = self._routes.get(route)
        if demand is not None:
            demand.credit = max(-MAX_DEBT, demand.credit - 1.0)

    def is_owed(self, route: RouteKey) -> bool:
        """Return whether a route had less than its share by at least one flow."""
        demand = self._routes.get(route)
        return demand is not None and demand.credit >= 1.0

    def rank(self, route: RouteKey, is_retry: bool) -> tuple:
        """Return the position of flows among those that wait; the least is next.

        Classes with credit come first, in order of priority, then the others. Inside
        a class, routes that had no more than their share come first, of these the
        callers whose last attempt failed, then the route that is furthest behind.
        """
        demand = self._routes.get(route)
        if demand is None:
            return (False, 0, False, not is_retry, 0.0)
        return (
            self._class_credit(demand.priority) < -ROUNDING,
            demand.priority,
            demand.credit < -ROUNDING,
            not is_retry,
            -demand.credit,
        )

    def shortest_aim_s(self, priority: int, aim_s: float) -> float:
        """Return the shortest aim of the classes up to a priority with demand.

        A flow may not lengthen the queue beyond what a class above its own bears.
        """
        now_s = self._clock.monotonic_s()
        aims_s = [
            demand.aim_s
            for demand in self._routes.values()
            if demand.priority <= priority
            and demand.aim_s > 0.0
            and now_s - demand.updated_s < IDLE_S
        ]
        return min(aims_s, default=aim_s)

    def clear_credits(self) -> None:
        """Forget who had more than its share, at the end of a shortage."""
        for demand in self._routes.values():
            demand.credit = 0.0

    def _class_credit(self, priority: int) -> float:
        return sum(
            demand.credit
            for demand in self._routes.values()
            if demand.priority == priority
        )


def _decayed(demand: _RouteDemand, now_s: float) -> float:
    age_s = now_s - demand.updated_s
    return demand.arrivals * math.exp(-age_s / DEMAND_MEMORY_S)


def _factor(excess: float, top_share: float, is_top: bool) -> float:
    """Return the part of its share that a class gets.

    Args:
        excess: What is outstanding as a multiple of the capacity.
        top_share: Share of the highest class with demand.
        is_top: Whether the class is that one.
    """
    if excess <= 1.0 or top_share >= 1.0:
        return 1.0 / excess
    if is_top:
        return min(1.0, 1.0 / (excess * top_share))
    return max(0.0, (1.0 / excess - top_share) / (1.0 - top_share))
