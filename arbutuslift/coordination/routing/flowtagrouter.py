"""Routing of callers' packets by the flow tag that they carry."""

from collections import OrderedDict, deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from ...clock import Clock
from ...state.routingtable import Route, RouteKey, RoutingTable
from ...state.starts import StartKey
from ...transport.callerpackets import CallerPacket
from .flowobserver import FlowObserver
from .outlierdetector import OutlierDetector
from .packetdecision import RESET_VERDICTS, Decision, Verdict
from .trackedflows import EndReason, TrackedFlow, UnansweredRequest
from .trackedstart import TrackedStart
from .upstreamdirectory import UpstreamDirectory
from .upstreamselector import UpstreamSelector

if TYPE_CHECKING:
    from .admissiongate import AdmissionGate

__all__ = ["RESET_VERDICTS", "Decision", "FlowTagRouter", "Verdict"]

# Callers retransmit a SYN after 200 ms. A copy that arrives sooner is a duplicate that
# took another network path.
ANSWER_TIMEOUT_S = 0.15
# An upstream answers a SYN within a few ms, and the caller's next packet follows. A
# caller that the upstream refused sends nothing more on the flow, not even a
# retransmission, so that only this time-out shows the failure.
OPEN_TIMEOUT_S = 0.1
# A refused caller opens another flow at once. A flow counts as failed when the same
# caller opens another one within this range of its age: a younger flow can't have been
# answered yet, so that a second SYN is no sign of a failure.
MIN_FAILED_AGE_S = 0.006
MAX_FAILED_AGE_S = 1.5
MAX_RECENT_PER_CALLER = 4
MAX_CALLERS = 10_000
MAX_FLOWS = 200_000
# With more flows than this the packets of pending requests, up to 1.2 KB each, aren't
# retained for the log, since entry processes have 139 MB of memory.
MAX_RETAINED_REQUESTS = 10_000


class FlowTagRouter:
    """Routes packets; one of an open flow only ever goes to the flow's upstream.

    Args:
        clock: Source of time.
        directory: Upstreams of this instance's view.
        outlier_detector: Records successes and failures of flows.
        selector: Selects upstreams of new flows.
        on_suspicion: Called with the upstream of each flow without an answer.
        on_unanswered: Called with each request that ended without an answer.
        on_answer: Called with the upstream of each answer.
        observer: Counts flows, requests and answers.
        gate: Lets new flows wait or rejects them when capacity is short; None if
            all are let through.

    Attributes:
        table: Routing table in effect; None before the first.
    """

    def __init__(
        self,
        clock: Clock,
        directory: UpstreamDirectory,
        outlier_detector: OutlierDetector,
        selector: UpstreamSelector,
        on_suspicion: Callable[[TrackedStart], None] = lambda tracked: None,
        on_unanswered: Callable[[UnansweredRequest], None] = lambda request: None,
        on_answer: Callable[[TrackedStart], None] = lambda tracked: None,
        observer: FlowObserver | None = None,
        gate: "AdmissionGate | None" = None,
    ) -> None:
        self.table: RoutingTable | None = None
        self._clock = clock
        self._directory = directory
        self._outlier_detector = outlier_detector
        self._selector = selector
        self._on_suspicion = on_suspicion
        self._on_unanswered = on_unanswered
        self._on_answer = on_answer
        self._observer = observer or FlowObserver()
        self._gate = gate
        self._routes: dict[RouteKey, Route] = {}
        self._flows: OrderedDict[bytes, TrackedFlow] = OrderedDict()
        self._opening_flows: deque[TrackedFlow] = deque()
        self._recent_by_caller: OrderedDict[bytes, deque[TrackedFlow]] = OrderedDict()

    def use(self, observer: FlowObserver, gate: "AdmissionGate | None") -> None:
        """Report flows to an observer and ask a gate about new ones from now on."""
        self._observer = observer
        self._gate = gate

    @property
    def flow_count(self) -> int:
        """Return the number of tracked flows."""
        return len(self._flows)

    def apply(self, table: RoutingTable) -> bool:
        """Put a routing table in effect if its revision is higher; return whether."""
        if self.table is not None and table.revision <= self.table.revision:
            return False
        self.replace(table)
        return True

    def replace(self, table: RoutingTable) -> None:
        """Put a table in effect, whatever the revision of the former one."""
        self.table = table
        self._routes = {route.key: route for route in table.routes}

    def route(self, packet: CallerPacket) -> Decision:
        """Return the decision about a packet."""
        if self.table is None:
            return Decision(Verdict.DROPPED_NO_TABLE)
        route = self._routes.get((packet.service_ip, packet.service_port))
        if packet.is_syn:
            return self._open_flow(packet, route)
        return self._route_open_flow(packet, route)

    def find_opening(self, packet: CallerPacket) -> tuple[Route, TrackedFlow]:
        """Return the route and the flow of a SYN that was just routed."""
        route = self._routes[(packet.service_ip, packet.service_port)]
        return route, self._flows[packet.flow]

    def add_hedge(self, packet: CallerPacket, upstream: TrackedStart) -> Decision:
        """Return the decision about the second SYN of a flow that hasn't opened."""
        flow = self._flows[packet.flow]
        hedge = flow.add_hedge(upstream, self._clock.monotonic_s())
        self._record_opening(packet, hedge)
        return Decision(Verdict.SYN_HEDGED, upstream)

    def expire(self) -> None:
        """Remove flows that have been idle for longer than the idle time-out."""
        self._check_opening_flows()
        self._observer.expire()
        if self.table is None:
            return
        oldest_s = self._clock.monotonic_s() - self.table.idle_timeout_s
        while self._flows:
            key, flow = next(iter(self._flows.items()))
            if flow.last_seen_s > oldest_s:
                return
            self._remove(key, flow, EndReason.IDLE)

    def _open_flow(self, packet: CallerPacket, route: Route | None) -> Decision:
        if route is None:
            return Decision(Verdict.REFUSED_NO_ROUTE)
        self._check_opening_flows()
        now_s = self._clock.monotonic_s()
        flow = self._flows.get(packet.flow)
        verdict = Verdict.NEW_FLOW
        if flow is not None and not flow.is_open and not flow.upstream.is_gone:
            if now_s - flow.opened_s < ANSWER_TIMEOUT_S:
                return Decision(Verdict.SYN_REPEATED, flow.upstream)
            self._record_flow_failure(flow)
            verdict = Verdict.SYN_MOVED
        excluded = self._failed_upstreams(packet, now_s)
        gate = self._gate if verdict is Verdict.NEW_FLOW else None
        if gate is not None:
            held = gate.check(packet, route, self.table, bool(excluded))
            if held is not None:
                return self._hold(held, route)
        upstream = self._selector.select(route, self.table, excluded)
        if upstream is None:
            if gate is not None and gate.keep(packet, route, self.table):
                return Decision(Verdict.SYN_WAITS)
            if self._selector.awaits_permit(route, self.table):
                return Decision(Verdict.SYN_WAITS_COLD)
            self._observer.record_arrival(route.first_service, None)
            return Decision(Verdict.REFUSED_NO_UPSTREAM)
        if verdict is Verdict.NEW_FLOW:
            self._observer.record_arrival(upstream.start.service, upstream.start)
        if flow is not None:
            self._remove(packet.flow, flow, EndReason.REOPENED)
        flow = TrackedFlow(upstream, now_s, now_s)
        self._add(packet.flow, flow, is_opening=True)
        self._record_opening(packet, flow)
        return Decision(verdict, upstream)

    def _hold(self, held: Decision, route: Route) -> Decision:
        """Return the decision of the gate about a SYN; count it if it is rejected."""
        if held.verdict is Verdict.REJECTED_BUSY:
            self._observer.record_arrival(route.first_service, None)
        return held

    def _record_opening(self, packet: CallerPacket, flow: TrackedFlow) -> None:
        self._opening_flows.append(flow)
        recent = self._recent_by_caller.pop(packet.caller_ip, None)
        if recent is None:
            recent = deque(maxlen=MAX_RECENT_PER_CALLER)
            if len(self._recent_by_caller) >= MAX_CALLERS:
                self._recent_by_caller.popitem(last=False)
        recent.append(flow)
        self._recent_by_caller[packet.caller_ip] = recent

    def _failed_upstreams(
        self, packet: CallerPacket, now_s: float
    ) -> frozenset[StartKey]:
        """Return the upstreams at which the caller recently failed to open a flow."""
        failed = set()
        for flow in self._recent_by_caller.get(packet.caller_ip, ()):
            age_s = now_s - flow.opened_s
            if not flow.is_open and MIN_FAILED_AGE_S < age_s < MAX_FAILED_AGE_S:
                self._record_flow_failure(flow)
                failed.add(flow.upstream.start.key)
        return frozenset(failed)

    def _check_opening_flows(self) -> None:
        """Record a failure for each flow that didn't open in time."""
        oldest_s = self._clock.monotonic_s() - OPEN_TIMEOUT_S
        while self._opening_flows and self._opening_flows[0].opened_s < oldest_s:
            flow = self._opening_flows.popleft()
            if not flow.is_open:
                self._record_flow_failure(flow)

    def _record_flow_failure(self, flow: TrackedFlow) -> None:
        """Record a failure of the flow's upstream, once until the next answer."""
        if not flow.is_failure_recorded:
            flow.is_failure_recorded = True
            self._report_failure(flow.upstream)

    def _route_open_flow(self, packet: CallerPacket, route: Route | None) -> Decision:
        flow = self._flows.get(packet.flow)
        upstream = self._directory.find(packet.tag) if packet.tag else None
        if upstream is None:
            if flow is None:
                return Decision(Verdict.DROPPED_UNKNOWN_TAG)
            upstream = flow.upstream
        if upstream.is_gone:
            # The flow may have opened at the next start before that was known. The
            # upstream resets it itself if it doesn't hold it.
            successor = self._directory.successor_of(upstream.start)
            if successor is None:
                self._remove_if_tracked(packet.flow, EndReason.RESET_HERE)
                return Decision(Verdict.RESET_UPSTREAM_GONE, upstream)
            upstream = successor
        if route is None:
            self._remove_if_tracked(packet.flow, EndReason.RESET_HERE)
            return Decision(Verdict.RESET_ROUTE_REMOVED, upstream)
        if packet.is_reset:
            self._remove_if_tracked(packet.flow, EndReason.CALLER_RESET)
            return Decision(Verdict.FORWARDED, upstream)
        if upstream.is_lost:
            self._remove_if_tracked(packet.flow, EndReason.RESET_HERE)
            return Decision(Verdict.RESET_UPSTREAM_LOST, upstream)
        is_repeated = self._record_packet(packet, flow, upstream, route.timeout_s)
        verdict = Verdict.REPEATED if is_repeated else Verdict.FORWARDED
        return Decision(verdict, upstream)

    def _record_packet(
        self,
        packet: CallerPacket,
        flow: TrackedFlow | None,
        upstream: TrackedStart,
        timeout_s: float,
    ) -> bool:
        """Update the flow and record whether its upstream answers.

        Returns:
            Whether the packet repeats a request that should have an answer by now.
        """
        now_s = self._clock.monotonic_s()
        is_repeated = False
        if flow is not None and not flow.is_open:
            flow = self._settle(packet.flow, flow, upstream, now_s)
        if flow is None or flow.upstream is not upstream:
            self._remove_if_tracked(packet.flow, EndReason.REOPENED)
            # Another instance handled the flow before. Its first packet here can't
            # show whether the upstream answers.
            flow = TrackedFlow(upstream, now_s, now_s, ack=packet.ack)
            self._add(packet.flow, flow, is_opening=False)
        flow.last_seen_s = now_s
        flow.is_open = True
        self._flows.move_to_end(packet.flow)
        if packet.ack != flow.ack:
            if flow.is_awaiting_answer:
                self._record_answer(packet, flow, now_s)
            flow.ack = packet.ack
            flow.is_failure_recorded = False
            self._outlier_detector.record_success(upstream.start.key)
            self._on_answer(upstream)
            if upstream.is_remembered:
                self._directory.confirm(upstream)
        elif self._is_late_repeat(packet, flow, now_s):
            is_repeated = True
            self._record_flow_failure(flow)
        if packet.data_length_bytes and packet.seq != flow.sent_seq:
            flow.sent_seq = packet.seq
            flow.sent_s = now_s
            if not flow.is_awaiting_answer:
                self._begin_request(packet, flow, timeout_s)
        if packet.is_fin:
            self._end_request(packet.flow, flow, EndReason.CALLER_ENDED)
            self._uncount(flow)
        return is_repeated

    def _settle(
        self, key: bytes, flow: TrackedFlow, upstream: TrackedStart, now_s: float
    ) -> TrackedFlow:
        """Return a flow that has just opened, at the upstream that holds it."""
        self._observer.record_progress(key)
        settled = self._flows[key] = flow.settle(upstream, now_s)
        if settled is not flow:
            self._observer.close_flow(flow.upstream.start)
            self._observer.open_flow(key, settled.upstream.start, is_opening=False)
        return settled

    def _begin_request(
        self, packet: CallerPacket, flow: TrackedFlow, timeout_s: float
    ) -> None:
        flow.is_awaiting_answer = True
        if len(self._flows) <= MAX_RETAINED_REQUESTS:
            flow.request = packet.datagram
        self._observer.begin_request(packet.flow, flow.upstream.start, timeout_s)

    def _record_answer(
        self, packet: CallerPacket, flow: TrackedFlow, now_s: float
    ) -> None:
        """Record the end of the flow's request.

        An acknowledgement that comes with the next request tells no response time,
        since the caller may have paused before it.
        """
        response_s = None if packet.data_length_bytes else now_s - flow.sent_s
        if response_s is not None:
            flow.upstream.observe_response(response_s, now_s)
        flow.is_awaiting_answer = False
        flow.request = b""
        self._observer.end_request(packet.flow, response_s)

    def _report_failure(self, upstream: TrackedStart) -> None:
        self._observer.record_failure(upstream.start)
        self._outlier_detector.record_failure(upstream.start.key)
        self._on_suspicion(upstream)

    @staticmethod
    def _is_late_repeat(packet: CallerPacket, flow: TrackedFlow, now_s: float) -> bool:
        """Return whether the caller retransmits data after the answer time-out."""
        if flow.is_failure_recorded or not packet.data_length_bytes:
            return False
        repeated = packet.seq == flow.sent_seq
        return repeated and now_s - flow.sent_s >= ANSWER_TIMEOUT_S

    def _add(self, key: bytes, flow: TrackedFlow, *, is_opening: bool) -> None:
        if len(self._flows) >= MAX_FLOWS:
            self._remove(*next(iter(self._flows.items())), EndReason.FORGOTTEN)
        self._flows[key] = flow
        flow.upstream.flow_count += 1
        self._observer.open_flow(key, flow.upstream.start, is_opening=is_opening)

    def _remove_if_tracked(self, key: bytes, ending: EndReason) -> None:
        flow = self._flows.get(key)
        if flow is not None:
            self._remove(key, flow, ending)

    def _remove(self, key: bytes, flow: TrackedFlow, ending: EndReason) -> None:
        del self._flows[key]
        self._end_request(key, flow, ending)
        self._uncount(flow)

    def _end_request(self, key: bytes, flow: TrackedFlow, ending: EndReason) -> None:
        """Report the flow's pending request, if any, as unanswered."""
        self._observer.end_request(key, None)
        if not flow.is_awaiting_answer:
            return
        flow.is_awaiting_answer = False
        request, flow.request = flow.request, b""
        waited_s = self._clock.monotonic_s() - flow.sent_s
        self._on_unanswered(
            UnansweredRequest(
                flow=key,
                upstream=flow.upstream,
                datagram=request,
                waited_s=waited_s,
                ending=ending,
            )
        )

    def _uncount(self, flow: TrackedFlow) -> None:
        """Stop counting a flow as load of its upstream."""
        if flow.is_counted:
            self._observer.close_flow(flow.upstream.start)
        flow.uncount()
