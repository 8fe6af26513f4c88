"""Limits of whole services, divided among the instances."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from enum import StrEnum

from attrs import frozen

from ... import logs
from ...clock import Clock
from ...state.admission import HISTORY_RETENTION_S, TICK_S
from ...state.flowkey import FlowKey
from ...state.holddown import RATE_WINDOW_S, HoldDown
from ...state.shares import LimitPlan, LoadLimits, ShareCalculator
from ...state.slidingwindow import SlidingWindowLog

# Stands for a limit of 0 where the smallest of several plans counts.
_UNLIMITED = 2**40

_log = logs.get_logger()


class LimitOutcome(StrEnum):
    """Whether a new flow may start."""

    ADMIT = "admit"
    REJECT = "reject"
    RELAY = "relay"


@frozen
class LimitDecision:
    """Decision about a new flow of a service.

    Attributes:
        outcome: ADMIT, REJECT, or RELAY if other instances have a share of the limit
            and this one has none.
        reason: The limit that decided; empty for ADMIT.
        share: What this instance may use of the limit.
        used: What this instance uses of it.
    """

    outcome: LimitOutcome
    reason: str = ""
    share: int = 0
    used: int = 0


_ADMIT = LimitDecision(LimitOutcome.ADMIT)


@frozen(kw_only=True)
class ServiceUsage:
    """Open requests of a service.

    Attributes:
        shared: Requests that count against the limit of all instances.
        own: Requests that count against the share of this instance.
        unreported_s: Flows that this instance started within this time aren't
            contained in either figure.
    """

    shared: int = 0
    own: int = 0
    unreported_s: float = 0.0


def _no_usage(service: str) -> ServiceUsage:
    return ServiceUsage()


class ServiceLimiter:
    """Decides whether the limits of a service permit another flow at this instance.

    Each limit is divided among the instances of the configuration as the limits of
    cold upstreams are, so the sum over all instances stays within it, also while a
    revision spreads. The share of an instance that isn't running stays unused until it
    returns or is removed from the configuration.

    Args:
        clock: Source of time.
        instance: Name of this instance.
        usage: Returns the open requests of a service.
        alive_instances: Returns the names of the instances that are alive.

    Attributes:
        is_limited: Whether any service has a limit or a guaranteed share.
    """

    def __init__(
        self,
        clock: Clock,
        instance: str,
        usage: Callable[[str], ServiceUsage] = _no_usage,
        alive_instances: Callable[[], Iterable[str]] = tuple,
    ) -> None:
        self.is_limited = False
        self._clock = clock
        self._usage = usage
        self._alive_instances = alive_instances
        self._shares = ShareCalculator(clock, instance)
        self._limits: dict[str, LoadLimits] = {}
        self._started = defaultdict(self._new_log)
        self._all_started = self._new_log()
        self._hold_down = HoldDown(clock)
        self._has_min_shares = False
        self._at_limit: set[str] = set()

    def apply_plan(self, plan: LimitPlan, is_settled: bool = False) -> None:
        """Put the instances and limits of a revision in effect.

        Args:
            plan: The instances and limits (``LoadLimits``).
            is_settled: Whether all instances are known to have the revision in effect.
                If not, a process that has just started uses no share for the
                propagation time, since it doesn't know which shares others use.
        """
        self._hold_down.record_plan(is_settled=is_settled)
        self._shares.apply_plan(plan)
        self._limits = {
            named.service: named.limits
            for named in plan.services
            if named.limits != LoadLimits()
        }
        self.is_limited = bool(self._limits)
        self._has_min_shares = any(
            limits.min_share_percent for limits in self._limits.values()
        )

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick()
            await self._clock.sleep(TICK_S)

    def tick(self) -> None:
        """Detect that the process was suspended."""
        self._hold_down.tick()

    def decide(self, service: str) -> LimitDecision:
        """Decide whether a new flow of a service may start now."""
        limits = self._limits.get(service)
        if limits is None:
            return _ADMIT
        self.tick()
        decision = self._decide_rate(service, limits)
        if decision.outcome == LimitOutcome.ADMIT:
            decision = self._decide_open_requests(service, limits)
        self._log_change(service, decision)
        return decision

    def record(self, service: str) -> None:
        """Record that a flow of a service has started."""
        if service in self._limits:
            self._started[service].add()
        if self._has_min_shares:
            self._all_started.add()

    def has_unused_share(self, service: str) -> bool:
        """Return whether a service has started less than its guaranteed part.

        The part is that of the flows that this instance started in the last second.
        """
        limits = self._limits.get(service)
        if limits is None or not limits.min_share_percent:
            return False
        own = self._started[service].count_within(RATE_WINDOW_S)
        total = self._all_started.count_within(RATE_WINDOW_S)
        return own * 100 < limits.min_share_percent * (total + 1)

    def relay_target(self, service: str, flow: FlowKey) -> str | None:
        """Return an alive instance with a share, for a flow that this one can't start.

        Returns:
            The first one in the rendezvous order of the flow key, so that copies of a
            SYN go to the same instance. None if this instance decides itself, or no
            other one has a share.
        """
        limits = self._limits.get(service)
        if limits is None or self.decide(service).outcome != LimitOutcome.RELAY:
            return None
        total = min(_rate_limit(limits), self._free_requests(service, limits))
        return self._shares.first_sharing(
            _share_key(service), total, flow, self._alive_instances()
        )

    def _decide_rate(self, service: str, limits: LoadLimits) -> LimitDecision:
        if not limits.max_new_flows_per_s:
            return _ADMIT
        share = self._share(service, _rate_limit)
        used = self._started[service].count_within(RATE_WINDOW_S)
        return self._compare("max_new_flows_per_s", share, used)

    def _decide_open_requests(self, service: str, limits: LoadLimits) -> LimitDecision:
        if not limits.max_open_requests:
            return _ADMIT
        reason = "max_open_requests"
        if self._free_requests(service, limits) <= 0:
            return LimitDecision(LimitOutcome.REJECT, reason)
        usage = self._usage(service)
        share = self._share(service, lambda limits: _open_limit(limits) - usage.shared)
        span_s = min(usage.unreported_s, HISTORY_RETENTION_S)
        used = usage.own + self._started[service].count_within(span_s)
        return self._compare(reason, share, used)

    def _compare(self, reason: str, share: int, used: int) -> LimitDecision:
        outcome = LimitOutcome.ADMIT
        if share <= 0 or self._hold_down.is_active:
            outcome = LimitOutcome.RELAY
        elif used >= share:
            outcome = LimitOutcome.REJECT
        return LimitDecision(outcome, reason, share, used)

    def _free_requests(self, service: str, limits: LoadLimits) -> int:
        return _open_limit(limits) - self._usage(service).shared

    def _share(self, service: str, total_of: Callable[[LoadLimits], int]) -> int:
        return self._shares.share(service, _share_key(service), total_of)

    def _new_log(self) -> SlidingWindowLog:
        return SlidingWindowLog(self._clock, HISTORY_RETENTION_S)

    def _log_change(self, service: str, decision: LimitDecision) -> None:
        is_rejected = decision.outcome == LimitOutcome.REJECT
        if is_rejected == (service in self._at_limit):
            return
        self._at_limit ^= {service}
        event = "service_limit_reached" if is_rejected else "service_limit_left"
        _log.info(
            event,
            service=service,
            limit=decision.reason,
            share=decision.share,
            used=decision.used,
        )


def _share_key(service: str) -> str:
    return f"service {service}"


def _rate_limit(limits: LoadLimits) -> int:
    return limits.max_new_flows_per_s or _UNLIMITED


def _open_limit(limits: LoadLimits) -> int:
    return limits.max_open_requests or _UNLIMITED
