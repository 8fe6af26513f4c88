"""Decides where each packet of a caller goes, by the flow tag that it carries."""

from collections import OrderedDict, deque
from collections.abc import Callable
from enum import StrEnum

from attrs import frozen

from ...clock import Clock
from ...state.routingtable import Route, RoutingTable
from ...transport.callerpackets import CallerPacket
from .outlierdetector import OutlierDetector
from .trackedflows import EndReason, TrackedFlow, UnansweredRequest
from .trackedstart import TrackedStart
from .upstreamdirectory import UpstreamDirectory
from .upstreamselector import UpstreamSelector

# Callers repeat a SYN after 200 ms; a copy that follows sooner went another way.
UNANSWERED_S = 0.15
# A SYN is answered within a few ms, and the caller's next packet follows. A caller
# that was refused by the upstream sends nothing more on the flow, and no copy.
OPENING_S = 0.1
# A caller that was refused opens another flow at once. Until an answer could have come,
# a second SYN of the same caller says nothing.
RETRY_AFTER_S = 0.006
RETRY_WITHIN_S = 1.5
MAX_TRIED = 4
MAX_CALLERS = 10_000
MAX_FLOWS = 200_000
# With more flows than this the packets of requests under way, up to 1.2 KB each, aren't
# kept for the log: entry processes have 139 MB.
MAX_REQUESTS_KEPT = 10_000


class Verdict(StrEnum):
    """What becomes of a packet."""

    NEW_FLOW = "new_flow"
    SYN_REPEATED = "syn_repeated"
    SYN_MOVED = "syn_moved"
    FORWARDED = "forwarded"
    REPEATED = "repeated"
    REFUSED_NO_ROUTE = "refused_no_route"
    REFUSED_NO_UPSTREAM = "refused_no_upstream"
    RESET_ROUTE_REMOVED = "reset_route_removed"
    RESET_UPSTREAM_GONE = "reset_upstream_gone"
    RESET_UPSTREAM_LOST = "reset_upstream_lost"
    DROPPED_UNKNOWN_TAG = "dropped_unknown_tag"
    DROPPED_NO_TABLE = "dropped_no_table"
    DROPPED_MALFORMED = "dropped_malformed"
    DROPPED_STALE = "dropped_stale"


RESET_VERDICTS = frozenset(
    {
        Verdict.REFUSED_NO_ROUTE,
        Verdict.REFUSED_NO_UPSTREAM,
        Verdict.RESET_ROUTE_REMOVED,
        Verdict.RESET_UPSTREAM_GONE,
        Verdict.RESET_UPSTREAM_LOST,
    }
)


@frozen
class Decision:
    """Decision about one packet.

    Attributes:
        verdict: What becomes of it.
        upstream: Where it goes, if it is forwarded.
    """

    verdict: Verdict
    upstream: TrackedStart | None = None


class FlowTagRouter:
    """Routes packets; a packet of an open flow goes to its own upstream or nowhere.

    Args:
        clock: Source of time.
        directory: Known upstreams.
        judge: Takes the evidence that flows give.
        picker: Chooses upstreams of new flows.
        on_suspicion: Called with the upstream of each flow without an answer.
        on_unanswered: Called with each request that ends without an answer.

    Attributes:
        table: Routing table in force; None before the first.
    """

    def __init__(
        self,
        clock: Clock,
        directory: UpstreamDirectory,
        judge: OutlierDetector,
        picker: UpstreamSelector,
        on_suspicion: Callable[[TrackedStart], None] = lambda known: None,
        on_unanswered: Callable[[UnansweredRequest], None] = lambda request: None,
    ) -> None:
        self.table: RoutingTable | None = None
        self._clock = clock
        self._directory = directory
        self._outlier_detector = judge
        self._selector = picker
        self._on_suspicion = on_suspicion
        self._on_unanswered = on_unanswered
        self._routes: dict[tuple[bytes, int], Route] = {}
        self._flows: OrderedDict[bytes, TrackedFlow] = OrderedDict()
        self._opening: deque[TrackedFlow] = deque()
        self._tried: OrderedDict[bytes, deque[TrackedFlow]] = OrderedDict()

    @property
    def flow_count(self) -> int:
        """Return the number of flows seen lately."""
        return len(self._flows)

    def apply(self, table: RoutingTable) -> bool:
        """Put a routing table in force unless a newer one is; return whether it is."""
        if self.table is not None and table.revision <= self.table.revision:
            return False
        self.table = table
        self._routes = {(route.ip, route.port): route for route in table.routes}
        return True

    def route(self, packet: CallerPacket) -> Decision:
        """Return what becomes of a packet."""
        if self.table is None:
            return Decision(Verdict.DROPPED_NO_TABLE)
        route = self._routes.get((packet.service_ip, packet.service_port))
        if packet.is_syn:
            return self._open(packet, route)
        return self._continue(packet, route)

    def expire(self) -> None:
        """Forget flows that carry nothing any more."""
        self._check_openings()
        if self.table is None:
            return
        oldest_s = self._clock.monotonic_s() - self.table.idle_timeout_s
        while self._flows:
            key, flow = next(iter(self._flows.items()))
            if flow.last_seen_s > oldest_s:
                return
            self._remove(key, flow, EndReason.IDLE)

    def _open(self, packet: CallerPacket, route: Route | None) -> Decision:
        if route is None:
            return Decision(Verdict.REFUSED_NO_ROUTE)
        self._check_openings()
        now_s = self._clock.monotonic_s()
        flow = self._flows.get(packet.flow)
        verdict = Verdict.NEW_FLOW
        if flow is not None and not flow.is_open and not flow.upstream.is_gone:
            if now_s - flow.opened_s < UNANSWERED_S:
                return Decision(Verdict.SYN_REPEATED, flow.upstream)
            self._blame(flow)
            verdict = Verdict.SYN_MOVED
        avoid = self._upstreams_tried(packet, now_s)
        upstream = self._selector.select(route, self.table, avoid)
        if upstream is None:
            return Decision(Verdict.REFUSED_NO_UPSTREAM)
        if flow is not None:
            self._remove(packet.flow, flow, EndReason.REOPENED)
        flow = TrackedFlow(upstream, now_s, now_s)
        self._add(packet.flow, flow)
        self._note_opening(packet, flow)
        return Decision(verdict, upstream)

    def _note_opening(self, packet: CallerPacket, flow: TrackedFlow) -> None:
        self._opening.append(flow)
        tried = self._tried.pop(packet.caller_ip, None)
        if tried is None:
            tried = deque(maxlen=MAX_TRIED)
            if len(self._tried) >= MAX_CALLERS:
                self._tried.popitem(last=False)
        tried.append(flow)
        self._tried[packet.caller_ip] = tried

    def _upstreams_tried(
        self, packet: CallerPacket, now_s: float
    ) -> frozenset[tuple[str, int]]:
        """Return the upstreams at which the caller has just failed to open a flow."""
        failed = set()
        for flow in self._tried.get(packet.caller_ip, ()):
            age_s = now_s - flow.opened_s
            if not flow.is_open and RETRY_AFTER_S < age_s < RETRY_WITHIN_S:
                self._blame(flow)
                failed.add(flow.upstream.start.key)
        return frozenset(failed)

    def _check_openings(self) -> None:
        """Take flows that didn't open as evidence against their upstreams."""
        oldest_s = self._clock.monotonic_s() - OPENING_S
        while self._opening and self._opening[0].opened_s < oldest_s:
            flow = self._opening.popleft()
            if not flow.is_open:
                self._blame(flow)

    def _blame(self, flow: TrackedFlow) -> None:
        """Take a flow as evidence against its upstream, once until an answer."""
        if not flow.is_failure_recorded:
            flow.is_failure_recorded = True
            self._suspect(flow.upstream)

    def _continue(self, packet: CallerPacket, route: Route | None) -> Decision:
        flow = self._flows.get(packet.flow)
        upstream = self._directory.find(packet.tag) if packet.tag else None
        if upstream is None:
            if flow is None:
                return Decision(Verdict.DROPPED_UNKNOWN_TAG)
            upstream = flow.upstream
        if upstream.is_gone:
            self._close(packet.flow, EndReason.RESET_HERE)
            return Decision(Verdict.RESET_UPSTREAM_GONE, upstream)
        if route is None:
            self._close(packet.flow, EndReason.RESET_HERE)
            return Decision(Verdict.RESET_ROUTE_REMOVED, upstream)
        if packet.is_reset:
            self._close(packet.flow, EndReason.CALLER_RESET)
            return Decision(Verdict.FORWARDED, upstream)
        if upstream.is_lost:
            self._close(packet.flow, EndReason.RESET_HERE)
            return Decision(Verdict.RESET_UPSTREAM_LOST, upstream)
        is_repeated = self._observe(packet, flow, upstream)
        verdict = Verdict.REPEATED if is_repeated else Verdict.FORWARDED
        return Decision(verdict, upstream)

    def _observe(
        self, packet: CallerPacket, flow: TrackedFlow | None, upstream: TrackedStart
    ) -> bool:
        """Keep the flow and take the evidence that the packet gives.

        Returns:
            Whether the caller repeats a request that has no answer yet.
        """
        now_s = self._clock.monotonic_s()
        is_repeated = False
        if flow is None or flow.upstream is not upstream:
            self._close(packet.flow, EndReason.REOPENED)
            # Taken over from another instance: its first packet proves nothing.
            flow = TrackedFlow(upstream, now_s, now_s, ack=packet.ack)
            self._add(packet.flow, flow)
        flow.last_seen_s = now_s
        flow.is_open = True
        self._flows.move_to_end(packet.flow)
        if packet.ack != flow.ack:
            if flow.is_awaiting_answer and not packet.data_length_bytes:
                upstream.observe_response(now_s - flow.sent_s, now_s)
            flow.is_awaiting_answer = False
            flow.request = b""
            flow.ack = packet.ack
            flow.is_failure_recorded = False
            self._outlier_detector.record_success(upstream.start.key)
            if upstream.is_remembered:
                self._directory.confirm(upstream)
        elif self._is_overdue(packet, flow, now_s):
            is_repeated = True
            self._blame(flow)
        if packet.data_length_bytes and packet.seq != flow.sent_seq:
            flow.sent_seq = packet.seq
            flow.sent_s = now_s
            if not flow.is_awaiting_answer and len(self._flows) <= MAX_REQUESTS_KEPT:
                flow.request = packet.datagram
            flow.is_awaiting_answer = True
        if packet.is_fin:
            self._end_waiting(packet.flow, flow, EndReason.CALLER_ENDED)
            self._discount(flow)
        return is_repeated

    def _suspect(self, upstream: TrackedStart) -> None:
        self._outlier_detector.record_failure(upstream.start.key)
        self._on_suspicion(upstream)

    @staticmethod
    def _is_overdue(packet: CallerPacket, flow: TrackedFlow, now_s: float) -> bool:
        """Return whether the caller repeats data that should have an answer."""
        if flow.is_failure_recorded or not packet.data_length_bytes:
            return False
        repeated = packet.seq == flow.sent_seq
        return repeated and now_s - flow.sent_s >= UNANSWERED_S

    def _add(self, key: bytes, flow: TrackedFlow) -> None:
        if len(self._flows) >= MAX_FLOWS:
            self._remove(*next(iter(self._flows.items())), EndReason.FORGOTTEN)
        self._flows[key] = flow
        flow.upstream.flow_count += 1

    def _close(self, key: bytes, ending: EndReason) -> None:
        flow = self._flows.get(key)
        if flow is not None:
            self._remove(key, flow, ending)

    def _remove(self, key: bytes, flow: TrackedFlow, ending: EndReason) -> None:
        del self._flows[key]
        self._end_waiting(key, flow, ending)
        self._discount(flow)

    def _end_waiting(self, key: bytes, flow: TrackedFlow, ending: EndReason) -> None:
        """Tell of a request that nobody waits for any more."""
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

    def _discount(self, flow: TrackedFlow) -> None:
        if flow.is_counted:
            flow.is_counted = False
            flow.upstream.flow_count -= 1
