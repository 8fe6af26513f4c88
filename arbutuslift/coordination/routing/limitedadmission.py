"""Admission by the limits of services and of upstreams together."""

from ...clock import Clock
from ...state.admission import (
    REPORT_LAG_S,
    REPORT_TIMEOUT_S,
    TICK_S,
    Admission,
)
from ...state.flowkey import FlowKey
from ...state.upstreams import UpstreamRecord, UpstreamView
from .servicelimits import LimitOutcome, ServiceLimiter, ServiceUsage


class LimitedAdmission(Admission):
    """Admits a flow that the limits of its service and of the upstream permit.

    Args:
        upstreams: Budgets of this instance at the upstreams.
        services: Limits of services.
    """

    def __init__(self, upstreams: Admission, services: ServiceLimiter) -> None:
        self._upstreams = upstreams
        self._services = services
        # A call in between would cost time for every packet of an upstream.
        self.record_return_traffic = upstreams.record_return_traffic

    def is_over_limit(self, service: str) -> bool:
        """Return whether a limit of the service permits no new flow now."""
        if not self._services.is_limited:
            return False
        return self._services.decide(service).outcome == LimitOutcome.REJECT

    def has_unused_share(self, service: str) -> bool:
        """Return whether the service has started less than its guaranteed part."""
        return self._services.has_unused_share(service)

    def try_admit(self, record: UpstreamRecord, priority: str) -> bool:
        """Admit a flow and consume a unit of both limits, or of none."""
        if not self._services.is_limited:
            return self._upstreams.try_admit(record, priority)
        if self._services.decide(record.service).outcome != LimitOutcome.ADMIT:
            return False
        if not self._upstreams.try_admit(record, priority):
            return False
        self._services.record(record.service)
        return True

    def record_return_traffic(self, upstream_id: str) -> None:
        """Record that an upstream answers."""
        self._upstreams.record_return_traffic(upstream_id)

    def record_restart(self, upstream_id: str) -> None:
        """Record that an upstream restarted."""
        self._upstreams.record_restart(upstream_id)

    def relay_target(self, record: UpstreamRecord, flow: FlowKey) -> str | None:
        """Return the instance that a SYN is relayed to if this one has no share."""
        target = self._services.relay_target(record.service, flow)
        return target or self._upstreams.relay_target(record, flow)


class ReportedUsage:
    """Open requests of services, from the announcements of their upstreams.

    Args:
        clock: Source of time.
        view: Records of upstreams.
    """

    def __init__(self, clock: Clock, view: UpstreamView) -> None:
        self._clock = clock
        self._view = view
        self._sums: dict[str, tuple[float, ServiceUsage]] = {}

    def __call__(self, service: str) -> ServiceUsage:
        """Return the busy slots of all upstreams of a service.

        A sum is used for one tick, so that a SYN costs no walk over all upstreams.
        """
        now_s = self._clock.monotonic_s()
        until_s, usage = self._sums.get(service, (0.0, None))
        if usage is None or now_s >= until_s:
            usage = self._add_up(service, now_s)
            self._sums[service] = (now_s + TICK_S, usage)
        return usage

    def _add_up(self, service: str, now_s: float) -> ServiceUsage:
        records = self._view.of_service(service)
        ages_s = [
            now_s - self._view.advanced_at_s(record.upstream_id) for record in records
        ]
        age_s = min(max(ages_s, default=0.0), REPORT_TIMEOUT_S)
        return ServiceUsage(
            shared=sum(record.busy_slots for record in records),
            unreported_s=age_s + TICK_S + REPORT_LAG_S,
        )
