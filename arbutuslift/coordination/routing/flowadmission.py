"""Admission of new flows when the capacity for them is short."""

from enum import StrEnum

import structlog
from attrs import frozen

from ...clock import Clock
from ...state.routingtable import RouteKey
from .fairshares import IDLE_S, FairShares
from .poolload import PoolLoad
from .randomclusters import ordinary_limit
from .servicepool import ServicePool

MAX_POOLS = 1024
# Age up to which the capacity of a pool is used again; views change once a second.
MAX_FIGURES_AGE_S = 0.5

_log = structlog.get_logger()


class Outcome(StrEnum):
    """What becomes of a new flow."""

    ADMIT = "admit"
    WAIT = "wait"
    REJECT = "reject"


class Reason(StrEnum):
    """Why a flow is admitted, waits or is rejected."""

    NO_AIM = "no_aim"
    NO_POOL = "no_pool"
    BELOW_CAPACITY = "below_capacity"
    SHARE_LEFT = "share_left"
    NO_SHORTAGE = "no_shortage"
    OTHERS_WAIT = "others_wait"
    AT_CAPACITY = "at_capacity"
    WAITED_IN_VAIN = "waited_in_vain"
    TIME_OUT_TOO_NEAR = "time_out_too_near"
    TOO_MANY_WAIT = "too_many_wait"


@frozen(kw_only=True)
class AdmissionFigures:
    """Figures of a decision; the numbers are requests of this instance.

    Attributes:
        outstanding: Requests without an answer.
        capacity: Requests that the upstreams answer in time, this instance's part.
        limit: Requests up to which flows are admitted now.
        waiting: SYNs that wait.
        share: Part of the load that comes through this instance.
        work_ms: Estimated time of a request in a slot, 0 if it isn't known.
        aim_s: Shortest aim that the flow could spoil, by which capacity is counted.
        is_short: Whether there is a shortage.
    """

    outstanding: float = 0.0
    capacity: float = 0.0
    limit: float = 0.0
    waiting: int = 0
    share: float = 0.0
    work_ms: float = 0.0
    aim_s: float = 0.0
    is_short: bool = False


@frozen(kw_only=True)
class AdmissionDecision:
    """Decision about a new flow, with its reason and the figures that decided it."""

    outcome: Outcome
    reason: Reason
    figures: AdmissionFigures = AdmissionFigures()


@frozen(kw_only=True)
class AdmissionRequest:
    """A new flow.

    Attributes:
        route: Key of its route.
        pool: Upstreams that it could go to, with their present load.
        priority: Priority of its class; 0 is the highest.
        aim_s: Time within which the caller wants an answer, 0 if it isn't known.
        timeout_s: Time after which the caller gives up, 0 if it isn't known.
        elapsed_s: Part of that time that has passed.
        is_retry: Whether an earlier attempt of the caller failed, or an earlier copy
            of the SYN got no answer.
    """

    route: RouteKey
    pool: ServicePool
    priority: int = 0
    aim_s: float = 0.0
    timeout_s: float = 0.0
    elapsed_s: float = 0.0
    is_retry: bool = False


_NO_AIM = AdmissionDecision(outcome=Outcome.ADMIT, reason=Reason.NO_AIM)
_NO_POOL = AdmissionDecision(outcome=Outcome.ADMIT, reason=Reason.NO_POOL)


class FlowAdmission:
    """Decides about new flows by the capacity of their pool.

    Without a shortage every flow is admitted, up to what random clusters of arrivals
    reach. In a shortage what is outstanding is kept within the capacity, which classes
    and routes share.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._loads: dict[str, PoolLoad] = {}
        self._shares: dict[str, FairShares] = {}

    def decide(self, request: AdmissionRequest, waiting: int = 0) -> AdmissionDecision:
        """Return the decision about a flow that has just arrived.

        Args:
            request: The flow.
            waiting: SYNs that wait for the same pool.
        """
        shares = self._shares_of(request.pool.name)
        shares.record_arrival(request.route, request.priority, request.aim_s)
        if waiting:
            figures = self._measure(request, waiting)
            if self._is_too_late(request, figures):
                return _decision(Outcome.REJECT, Reason.TIME_OUT_TOO_NEAR, figures)
            return _decision(Outcome.WAIT, Reason.OTHERS_WAIT, figures)
        return self.reconsider(request, waiting=1)

    def try_admit(
        self, pool: str, outstanding: int, route: RouteKey, priority: int, aim_s: float
    ) -> bool:
        """Admit a flow without new figures if nothing shows a shortage.

        Most flows of an instance find little outstanding, and need no more.

        Args:
            pool: Name of its pool, for which nothing waits.
            outstanding: Requests of this instance without an answer.
            route: Key of its route.
            priority: Priority of its class.
            aim_s: Time within which the caller wants an answer.

        Returns:
            Whether it is admitted; if not, nothing has been counted.
        """
        load = self._loads.get(pool)
        if load is None:
            return False
        now_s = self._clock.monotonic_s()
        is_fresh = now_s - load.measured_s < MAX_FIGURES_AGE_S
        if load.is_short or (outstanding and not is_fresh):
            return False
        if outstanding and outstanding >= load.capacity:
            return False
        self._shares_of(pool).record_arrival(route, priority, aim_s)
        load.observe_outstanding(outstanding, now_s)
        return True

    def reconsider(
        self, request: AdmissionRequest, waiting: int, *, is_due: bool = False
    ) -> AdmissionDecision:
        """Return the decision about a flow that is next.

        Args:
            request: The flow.
            waiting: SYNs that wait for the same pool, with this one.
            is_due: Whether it can't wait any longer.
        """
        if not request.pool.upstreams:
            return _NO_POOL
        if request.aim_s <= 0.0 and request.timeout_s <= 0.0:
            return _NO_AIM
        figures = self._measure(request, waiting)
        if figures.is_short:
            return self._decide_in_shortage(request, figures, is_due=is_due)
        if figures.outstanding < figures.limit:
            return _decision(Outcome.ADMIT, Reason.BELOW_CAPACITY, figures)
        if is_due:
            return _decision(Outcome.ADMIT, Reason.NO_SHORTAGE, figures)
        return _decision(Outcome.WAIT, Reason.AT_CAPACITY, figures)

    def _decide_in_shortage(
        self, request: AdmissionRequest, figures: AdmissionFigures, *, is_due: bool
    ) -> AdmissionDecision:
        if self._is_too_late(request, figures):
            return _decision(Outcome.REJECT, Reason.TIME_OUT_TOO_NEAR, figures)
        reason = self._reason_to_admit(request, figures)
        if reason is not None:
            self._shares_of(request.pool.name).charge(request.route)
            return _decision(Outcome.ADMIT, reason, figures)
        if is_due:
            return _decision(Outcome.REJECT, Reason.WAITED_IN_VAIN, figures)
        return _decision(Outcome.WAIT, Reason.AT_CAPACITY, figures)

    def _reason_to_admit(
        self, request: AdmissionRequest, figures: AdmissionFigures
    ) -> Reason | None:
        """Return why a flow is admitted in a shortage, None if it isn't.

        A small part of the capacity may be less than one request, so that a route gets
        its share only as a rate. While more than the capacity is outstanding, the rate
        is lower than what the upstreams answer, so that the excess is worked off.
        """
        load = self._loads[request.pool.name]
        shares = self._shares_of(request.pool.name)
        excess = load.excess(request.pool, figures.aim_s)
        shares.accrue(request.pool.flows_per_s(load.work_s), excess)
        if load.has_room(request.pool, figures.limit, self._clock.monotonic_s()):
            return Reason.BELOW_CAPACITY
        return Reason.SHARE_LEFT if shares.is_owed(request.route) else None

    def rank(self, pool: str, route: RouteKey, is_retry: bool) -> tuple:
        """Return the position of flows among those that wait; the least is next."""
        # The shares of a pool may have been removed while SYNs wait for it.
        return self._shares_of(pool).rank(route, is_retry)

    def expire(self) -> None:
        """End shortages of pools without any new flow for some time."""
        oldest_s = self._clock.monotonic_s() - IDLE_S
        for name, load in self._loads.items():
            if load.is_short and load.updated_s < oldest_s:
                load.short_aims_s.clear()
                self._shares[name].clear_credits()
                _log.info("shortage_ended", service=name, reason="no_demand")

    def count_shortages(self) -> int:
        """Return the number of pools with a shortage."""
        return sum(load.is_short for load in self._loads.values())

    def _measure(self, request: AdmissionRequest, waiting: int) -> AdmissionFigures:
        pool = request.pool
        load = self._loads.get(pool.name)
        if load is None:
            load = self._loads[pool.name] = PoolLoad()
        aim_s = self._shares_of(pool.name).shortest_aim_s(
            request.priority, request.aim_s or request.timeout_s
        )
        load.observe(pool, aim_s, self._clock.monotonic_s())
        capacity = pool.capacity_here(load.work_s, aim_s)
        load.capacity, load.measured_s = capacity, load.updated_s
        is_changed = load.update_shortage(pool, aim_s, waiting)
        is_short = aim_s in load.short_aims_s
        figures = AdmissionFigures(
            outstanding=pool.outstanding,
            capacity=capacity,
            limit=capacity if is_short else ordinary_limit(capacity),
            waiting=waiting,
            share=pool.share,
            work_ms=1000 * load.work_s,
            aim_s=aim_s,
            is_short=is_short,
        )
        if is_changed:
            self._report_change(pool, figures, load)
        return figures

    def _is_too_late(
        self, request: AdmissionRequest, figures: AdmissionFigures
    ) -> bool:
        """Return whether the answer would come after the caller has given up."""
        if not figures.is_short or request.timeout_s <= 0.0:
            return False
        pool = request.pool
        expected_s = figures.work_ms / 1000 * pool.stretch(figures.outstanding)
        return request.elapsed_s + expected_s > request.timeout_s

    def _shares_of(self, pool: str) -> FairShares:
        shares = self._shares.get(pool)
        if shares is None:
            if len(self._shares) >= MAX_POOLS:
                oldest = next(iter(self._shares))
                del self._shares[oldest]
                self._loads.pop(oldest, None)
            shares = self._shares[pool] = FairShares(self._clock)
        return shares

    def _report_change(
        self, pool: ServicePool, figures: AdmissionFigures, load: PoolLoad
    ) -> None:
        if not load.is_short:
            self._shares_of(pool.name).clear_credits()
        _log.info(
            "shortage_began" if load.is_short else "shortage_ended",
            service=pool.name,
            outstanding=round(figures.outstanding, 2),
            mean=round(load.mean, 2),
            capacity=round(figures.capacity, 2),
            waiting=figures.waiting,
            share=round(figures.share, 5),
            work_ms=round(figures.work_ms, 1),
            all_outstanding=pool.shared_outstanding,
            upstreams=len(pool.upstreams),
        )


def _decision(
    outcome: Outcome, reason: Reason, figures: AdmissionFigures
) -> AdmissionDecision:
    return AdmissionDecision(outcome=outcome, reason=reason, figures=figures)
