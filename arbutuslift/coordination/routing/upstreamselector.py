"""Chooses the upstream of a new flow."""

import random
from collections.abc import Sequence

from ...clock import Clock
from ...state.routingtable import Route, RoutingTable
from ...state.starts import Phase
from .outlierdetector import OutlierDetector
from .trackedstart import TrackedStart
from .upstreamdirectory import UpstreamDirectory

# A flow to another data centre breaks when the two lose each other, and its bytes cost
# more. It is opened only where upstreams nearby answer later than those far away by
# more than this; a request may take about 100 ms.
SPILL_AFTER_S = 0.04
# An upstream that takes so many times as long as the median counts as slow; less is
# the ordinary spread of requests.
SLOW_FACTOR = 2.0
# Part of a cold upstream's limit that is shared out: instances that the control
# instances don't count yet use some of it too.
COLD_SHARED_PART = 0.8


class UpstreamSelector:
    """Prefers upstreams that answer, are warm, near and hold few flows.

    Args:
        clock: Source of time.
        directory: Known upstreams.
        judge: Tells which ones have stopped answering.
        data_centre: Where this instance runs.
        rng: Breaks ties.

    Attributes:
        entry_count: Entry instances that share the limit of a cold upstream.
    """

    def __init__(
        self,
        clock: Clock,
        directory: UpstreamDirectory,
        judge: OutlierDetector,
        data_centre: str,
        rng: random.Random,
    ) -> None:
        self.entry_count = 1
        self._clock = clock
        self._opened_s = clock.monotonic_s()
        self._directory = directory
        self._outlier_detector = judge
        self._data_centre = data_centre
        self._rng = rng
        self._cold_used_s: dict[tuple[str, int], float] = {}

    def select(
        self,
        route: Route,
        table: RoutingTable,
        avoid: frozenset[tuple[str, int]] = frozenset(),
    ) -> TrackedStart | None:
        """Return the upstream for a new flow, None if no one may carry it.

        Args:
            route: Route of the flow.
            table: Routing table in force.
            avoid: Keys of upstreams at which the caller has just failed.
        """
        for service in self._services(route):
            chosen = self._pick_of(service, table, avoid)
            if chosen is not None:
                self._outlier_detector.record_selection(chosen.start.key)
                return chosen
        return None

    def _services(self, route: Route) -> list[str]:
        """Return the services of a route, the one drawn by weight first."""
        shares = [share for share in route.shares if share.weight > 0]
        if len(shares) < 2:
            return [share.service for share in shares]
        names = [share.service for share in shares]
        first = self._rng.choices(names, [share.weight for share in shares])[0]
        return [first, *(name for name in names if name != first)]

    def _pick_of(
        self, service: str, table: RoutingTable, avoid: frozenset[tuple[str, int]]
    ) -> TrackedStart | None:
        now_s = self._clock.monotonic_s()
        usable = [
            known
            for known in self._directory.of_service(service)
            if known.start.phase is Phase.READY
            and known.start.data_centre not in table.out_of_service
        ]
        warm = [known for known in usable if known.cold_until_s <= now_s]
        best = self._trusted(warm)
        others = [known for known in best if known.start.key not in avoid]
        if others:
            return self._least_loaded(self._near(others))
        interval_s = self._cold_interval_s(service, table)
        cold = [
            known
            for known in usable
            if known.cold_until_s > now_s and self._may_warm(known, interval_s)
        ]
        if cold:
            chosen = self._least_loaded(cold)
            self._cold_used_s[chosen.start.key] = now_s
            return chosen
        return self._least_loaded(best or warm)

    def _trusted(self, starts: list[TrackedStart]) -> list[TrackedStart]:
        return [
            known
            for known in starts
            if not known.is_lost
            and not self._outlier_detector.is_excluded(known.start.key)
            and not self._directory.is_silent(known.start)
        ]

    def _cold_interval_s(self, service: str, table: RoutingTable) -> float:
        """Return the time between two new flows of this instance to a cold upstream.

        The limit is shared out evenly, so its sum holds whatever instances believe of
        each other. A limit of 0 stands for none.
        """
        limits = next((s for s in table.services if s.name == service), None)
        if limits is None or limits.cold_new_flows_per_s <= 0:
            return 0.0
        rate_per_s = COLD_SHARED_PART * limits.cold_new_flows_per_s / self.entry_count
        return 1 / rate_per_s

    def _may_warm(self, known: TrackedStart, interval_s: float) -> bool:
        used_s = self._cold_used_s.get(known.start.key, self._opened_s)
        return self._clock.monotonic_s() - used_s >= interval_s

    def _least_loaded(self, starts: Sequence[TrackedStart]) -> TrackedStart | None:
        """Return the start with the fewest flows, each weighed by how late it answers.

        A slow upstream that kept its share of flows would delay all of them.
        """
        now_s = self._clock.monotonic_s()
        usual_s = _median(_responses_s(starts, now_s))

        def cost(known: TrackedStart) -> float:
            slowness = known.recent_response_s(now_s) / usual_s if usual_s else 1.0
            weight = slowness if slowness > SLOW_FACTOR else 1.0
            return (known.flow_count + self._rng.random()) * weight

        return min(starts, key=cost, default=None)

    def _near(self, starts: list[TrackedStart]) -> list[TrackedStart]:
        """Return the starts of the own data centre unless they are overloaded."""
        near = [k for k in starts if k.start.data_centre == self._data_centre]
        far = [k for k in starts if k.start.data_centre != self._data_centre]
        if not near or not far:
            return near or far
        now_s = self._clock.monotonic_s()
        near_s = _mean(_responses_s(near, now_s))
        excess_s = near_s - _mean(_responses_s(far, now_s))
        return far if excess_s > SPILL_AFTER_S else near


def _median(values: list[float]) -> float:
    """Return the lower median, 0 without values.

    The standard module for it takes long to load on a small share of a core.
    """
    return sorted(values)[(len(values) - 1) // 2] if values else 0.0


def _mean(values: list[float]) -> float:
    return sum(values) / len(values) if values else 0.0


def _responses_s(starts: Sequence[TrackedStart], now_s: float) -> list[float]:
    """Return the response times that were measured lately."""
    responses_s = (known.recent_response_s(now_s) for known in starts)
    return [response_s for response_s in responses_s if response_s > 0.0]
