"""Admission of new flows in a slot router, which holds no packets."""

from collections import OrderedDict
from collections.abc import Callable

from ...state.flows import FlowCache
from ...state.upstreams import UpstreamRecord
from .flowadmission import AdmissionDecision, AdmissionRequest, FlowAdmission, Outcome
from .routes import ServiceRoutes
from .servicepool import PooledUpstream, ServicePool
from .services import ServiceTable

PRIORITY_NUMBERS = {"urgent": 0, "high": 1, "ordinary": 2}
# Announcements, from which the figures come, are a second apart.
REBUILD_INTERVAL_S = 0.25
MAX_UNANSWERED = 4096


class SlotAdmission:
    """Decides whether the SYNs of callers are forwarded or left unanswered.

    The caller repeats a SYN that is left unanswered. It is never reset, since the
    fabric may have brought a copy to another instance that forwarded it.

    Args:
        services: Services and upstreams.
        flows: Cache of flows; a SYN of one that is known is always forwarded.
        admission: Decides.
        aim_s: Time within which callers want an answer.
        instance_count: Returns the number of instances that divide the load.
        queue_length: Requests that wait at each upstream before it rejects more, None
            if it isn't known.
    """

    def __init__(
        self,
        services: ServiceTable,
        flows: FlowCache,
        admission: FlowAdmission,
        aim_s: float,
        instance_count: Callable[[], int],
        queue_length: int | None = None,
    ) -> None:
        self._services = services
        self._flows = flows
        self._admission = admission
        self._aim_s = aim_s
        self._instance_count = instance_count
        self._queue_length = queue_length
        self._pools: dict[str, tuple[float, ServicePool]] = {}
        self._unanswered: OrderedDict[bytes, None] = OrderedDict()

    def may_open(self, flow: bytes, routes: ServiceRoutes) -> bool:
        """Return whether a SYN may be forwarded.

        Args:
            flow: Bytes of the flow's key.
            routes: Routes of its service.
        """
        if self._flows.get(flow) is not None:
            return True
        is_copy = flow in self._unanswered
        decision = self._decide(routes, is_copy)
        if decision.outcome is Outcome.ADMIT:
            self._unanswered.pop(flow, None)
            return True
        self._unanswered[flow] = None
        if len(self._unanswered) > MAX_UNANSWERED:
            self._unanswered.popitem(last=False)
        return False

    def _decide(self, routes: ServiceRoutes, is_copy: bool) -> AdmissionDecision:
        service = routes.service
        request = AdmissionRequest(
            route=(routes.key, service.port),
            pool=self._pool(routes),
            priority=PRIORITY_NUMBERS[service.priority],
            aim_s=self._aim_s,
            is_retry=is_copy,
        )
        if is_copy:
            return self._admission.reconsider(request, waiting=1, is_due=True)
        return self._admission.decide(request)

    def _pool(self, routes: ServiceRoutes) -> ServicePool:
        name = routes.service.name
        now_s = self._services.clock.monotonic_s()
        built_s, pool = self._pools.get(name, (float("-inf"), None))
        if pool is None or now_s - built_s >= REBUILD_INTERVAL_S:
            pool = self._build(routes)
            self._pools[name] = (now_s, pool)
        return pool

    def _build(self, routes: ServiceRoutes) -> ServicePool:
        service = routes.service
        upstreams = tuple(
            PooledUpstream(
                key=(record.upstream_id, 0),
                slots=service.slots,
                outstanding=_outstanding(record, service.slots),
            )
            for record in self._services.view.of_service(service.name)
            if self._services.may_receive_new_flows(record)
        )
        share = 1.0 / max(1, self._instance_count())
        return ServicePool(
            name=service.name,
            upstreams=upstreams,
            share=share,
            outstanding=share * sum(item.outstanding for item in upstreams),
            is_shared=True,
            queue_length=self._queue_length,
        )


def _outstanding(record: UpstreamRecord, slots: int) -> int:
    """Return an upstream's requests without an answer, as it reported them.

    An upstream reports no queue. While all slots are busy, any of its connections can
    have a request that waits.
    """
    if record.busy_slots < slots:
        return record.busy_slots
    return max(record.busy_slots, record.open_connections)
