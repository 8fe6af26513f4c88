"""Admission control: limits on the new flows that this instance sends upstreams."""

from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Callable, Iterable

from attrs import frozen

from ..clock import Clock
from .coldstarts import ColdStarts
from .flowkey import FlowKey
from .holddown import RATE_WINDOW_S, HoldDown
from .priorities import (
    MAX_SPACING_WINDOWS,
    URGENT,
    limit_of_priority,
    spacing_windows,
)
from .shares import LimitPlan, ShareCalculator, UpstreamLimits
from .slidingwindow import SlidingWindowLog
from .upstreams import UpstreamRecord, UpstreamView

COLD_WINDOW_S = RATE_WINDOW_S
TICK_S = 0.25

# An upstream's report may not yet count flows admitted within this time before it.
REPORT_LAG_S = 2.0
REPORT_TIMEOUT_S = 10.0
UNREPORTED_DIVISOR = 8

MAX_UNANSWERED = 64
HANDSHAKE_TIMEOUT_S = 3.0

MAX_HISTORIES = 20_000
HISTORY_RETENTION_S = MAX_SPACING_WINDOWS * (REPORT_TIMEOUT_S + REPORT_LAG_S)


class Admission(ABC):
    """Decides whether a new flow may go to an upstream now."""

    @abstractmethod
    def try_admit(self, record: UpstreamRecord, priority: str) -> bool:
        """Admit a flow if the upstream's budget has a unit left, and consume the unit.

        Args:
            record: The upstream.
            priority: ``urgent``, ``high`` or ``ordinary``.

        Returns:
            Whether the flow was admitted; if not, no unit was consumed.
        """

    @abstractmethod
    def record_return_traffic(self, upstream_id: str) -> None:
        """Record that an upstream sent return traffic and thus answers."""

    @abstractmethod
    def record_restart(self, upstream_id: str) -> None:
        """Record that an upstream denied a flow that it had held: it restarted."""

    @abstractmethod
    def relay_target(self, record: UpstreamRecord, flow: FlowKey) -> str | None:
        """Return the instance that a SYN is relayed to if this one has no share."""

    def is_over_limit(self, service: str) -> bool:
        """Return whether a limit of the service permits no new flow now."""
        return False

    def has_unused_share(self, service: str) -> bool:
        """Return whether the service has a guaranteed part of which some is unused."""
        return False


class UnlimitedAdmission(Admission):
    """Admits every flow."""

    def try_admit(self, record: UpstreamRecord, priority: str) -> bool:
        """Admit the flow."""
        return True

    def record_return_traffic(self, upstream_id: str) -> None:
        """Do nothing."""

    def record_restart(self, upstream_id: str) -> None:
        """Do nothing."""

    def relay_target(self, record: UpstreamRecord, flow: FlowKey) -> str | None:
        """Return None."""
        return None


class AdmissionHistory:
    """Recent admissions of this instance to the upstream at one address.

    The history outlives the upstream's process, so that a replacement at the same
    address gets no second budget.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self.admissions = SlidingWindowLog(clock, HISTORY_RETENTION_S)
        self.unanswered = SlidingWindowLog(clock, HANDSHAKE_TIMEOUT_S)

    @property
    def is_idle(self) -> bool:
        """Return whether removing the history can't raise any budget."""
        return self.admissions.count_within(HISTORY_RETENTION_S) == 0


@frozen
class Budget:
    """Number of units that may be consumed within any time span of a given length."""

    units: int
    span_s: float

    def has_room(self, admissions: SlidingWindowLog) -> bool:
        """Return whether the admissions of the last span leave a unit."""
        return self.units > 0 and admissions.count_within(self.span_s) < self.units


NO_BUDGET = Budget(0, 0.0)


class AdmissionControl(Admission):
    """Enforces this instance's share of every upstream's limits.

    Args:
        clock: Source of time.
        view: Records of upstreams.
        instance: Name of this instance.
        alive_instances: Gives the names of the instances that are alive.
    """

    def __init__(
        self,
        clock: Clock,
        view: UpstreamView,
        instance: str,
        alive_instances: Callable[[], Iterable[str]] = tuple,
    ) -> None:
        self._clock = clock
        self._view = view
        self._alive_instances = alive_instances
        self._shares = ShareCalculator(clock, instance)
        self._cold = ColdStarts(clock, view)
        self._histories: OrderedDict[str, AdmissionHistory] = OrderedDict()
        self._hold_down = HoldDown(clock)

    def apply_plan(self, plan: LimitPlan, is_settled: bool = False) -> None:
        """Put the instances and limits of a revision in effect.

        Args:
            plan: The instances and limits.
            is_settled: Whether all instances are known to have the revision in
                effect. If not, a process that has just started admits nothing to
                cold upstreams for the propagation time, since it doesn't know which
                shares the others use until then.
        """
        self._hold_down.record_plan(is_settled=is_settled)
        self._shares.apply_plan(plan)

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick()
            await self._clock.sleep(TICK_S)

    def tick(self) -> None:
        """Detect that the process was suspended and remove expired histories."""
        self._hold_down.tick()
        while self._histories:
            address, history = next(iter(self._histories.items()))
            if not history.is_idle:
                return
            del self._histories[address]

    def is_cold(self, record: UpstreamRecord) -> bool:
        """Return whether the cold limit applies to an upstream at this instance."""
        limits = self._shares.limits_of(record.service)
        return limits is not None and self._cold.is_cold(record, limits.warm_up_s)

    def try_admit(self, record: UpstreamRecord, priority: str) -> bool:
        """Consume one unit of the upstream's budget if the priority allows it."""
        self.tick()
        limits = self._shares.limits_of(record.service)
        if limits is None or record.open_connections >= limits.max_connections:
            return False
        history = self._history(record.address)
        if history is None:
            return False
        if history.unanswered.count_within(HANDSHAKE_TIMEOUT_S) >= MAX_UNANSWERED:
            return False
        is_busy = record.busy_slots >= limits.slots
        if self._cold.is_cold(record, limits.warm_up_s):
            budget = self._cold_budget(record, priority, is_busy)
        else:
            budget = self._connection_budget(record, priority, is_busy)
        if not budget.has_room(history.admissions):
            return False
        history.admissions.add()
        history.unanswered.add()
        return True

    def record_return_traffic(self, upstream_id: str) -> None:
        """Count all handshakes with an upstream as answered."""
        record = self._view.get(upstream_id)
        history = self._histories.get(record.address) if record else None
        if history is not None:
            history.unanswered.clear()

    def record_restart(self, upstream_id: str) -> None:
        """Apply the cold limit to an upstream for its warm-up time."""
        record = self._view.get(upstream_id)
        if record is not None and record.is_alive and not self.is_cold(record):
            self._cold.mark_cold(upstream_id)

    def relay_target(self, record: UpstreamRecord, flow: FlowKey) -> str | None:
        """Return an alive instance with a share of a cold upstream.

        Returns:
            The first alive instance with a share in the rendezvous order of the flow
            key, so that every copy of a SYN goes to the same instance. None if this
            instance has a share itself, the upstream isn't cold or no instance with a
            share is alive.
        """
        if not self.is_cold(record) or self._share(record, _cold_limit) > 0:
            return None
        total = _cold_limit(self._shares.limits_of(record.service))
        return self._shares.first_sharing(
            record.address, total, flow, self._alive_instances()
        )

    def _share(
        self, record: UpstreamRecord, total_of: Callable[[UpstreamLimits], int]
    ) -> int:
        return self._shares.share(record.service, record.address, total_of)

    def _cold_budget(
        self, record: UpstreamRecord, priority: str, is_busy: bool
    ) -> Budget:
        if self._hold_down.is_active:
            return NO_BUDGET
        share = self._share(record, _cold_limit)
        units = limit_of_priority(share, priority, is_busy)
        return _budget(share, units, COLD_WINDOW_S, priority, is_busy)

    def _connection_budget(
        self, record: UpstreamRecord, priority: str, is_busy: bool
    ) -> Budget:
        reported_s = self._view.advanced_at_s(record.upstream_id)
        report_age_s = self._clock.monotonic_s() - reported_s
        divisor, used, span_s = 1, record.open_connections, report_age_s + REPORT_LAG_S
        if report_age_s >= REPORT_TIMEOUT_S:
            divisor, used, span_s = UNREPORTED_DIVISOR, 0, REPORT_TIMEOUT_S

        def free(limits: UpstreamLimits) -> int:
            return limits.max_connections // divisor - used

        def free_for_priority(limits: UpstreamLimits) -> int:
            limit = limits.max_connections // divisor
            return limit_of_priority(limit, priority, is_busy) - used

        units = self._share(record, free_for_priority)
        if units <= 0:
            return NO_BUDGET
        share = units if priority == URGENT else self._share(record, free)
        return _budget(share, units, span_s, priority, is_busy)

    def _history(self, address: str) -> AdmissionHistory | None:
        """Return the history of an address, or None at the bound on histories."""
        history = self._histories.get(address)
        if history is None:
            if len(self._histories) >= MAX_HISTORIES:
                return None
            history = self._histories[address] = AdmissionHistory(self._clock)
        self._histories.move_to_end(address)
        return history


def _cold_limit(limits: UpstreamLimits) -> int:
    return limits.cold_new_flows_per_s


def _unreported_limit(limits: UpstreamLimits) -> int:
    return limits.max_connections // UNREPORTED_DIVISOR


def _budget(
    share: int, units: int, span_s: float, priority: str, is_busy: bool
) -> Budget:
    """Return the budget of a priority that may use ``units`` of a share."""
    if share <= 0:
        return NO_BUDGET
    if units >= share and priority != URGENT:
        units = share - 1
    if units > 0:
        return Budget(units, span_s)
    return Budget(1, span_s * spacing_windows(priority, is_busy))
