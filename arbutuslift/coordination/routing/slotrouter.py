"""Routing of packets by the slot tables of services."""

from collections.abc import Callable
from enum import StrEnum
from functools import lru_cache, singledispatchmethod

from attrs import frozen

from ...protocol.packets import (
    Packet,
    ResetPacket,
    SynAckPacket,
    SynPacket,
    TcpPacket,
    UdpPacket,
    abort_of,
    refusal_of,
    without_payload,
)
from ...state.admission import Admission, UnlimitedAdmission
from ...state.flows import FlowCache, FlowEntry, is_confirmed_at, is_in_window
from ...state.tokenbucket import TokenBucket
from ...state.upstreams import UpstreamRecord
from ...transport.fabric import Address
from .denials import DenialBuffer
from .routes import ServiceRoutes
from .services import ServiceTable

# Limit on copies of segments beyond the first. A segment of a flow that isn't cached
# is copied to every candidate; the limit keeps a flood of such segments from being
# amplified.
PROBE_COPIES_PER_S = 2000.0
PROBE_COPIES_BURST = 4000.0
# Fill level of the receive queue from which new flows of each priority are refused.
SHED_QUEUE_FILL = {"ordinary": 0.7, "high": 0.9, "urgent": 1.0}


class Verdict(StrEnum):
    """Why a packet was sent or dropped; the value is also the name of its counter."""

    NEW_FLOW = "new_flow"
    KNOWN_FLOW = "known_flow"
    PROBED_FLOW = "probed_flow"
    PROBE_LIMITED = "probe_limited"
    RELAYED = "relayed"
    REFUSED = "refused"
    SHED = "shed"
    WAITING = "waiting"
    LIMITED = "limited"
    ABORTED = "aborted"
    RETURNED = "returned"
    DENIED = "denied"
    DENIAL_WITHHELD = "denial_withheld"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_SENDER = "unknown_sender"
    WRONG_SENDER = "wrong_sender"
    OUT_OF_SERVICE = "out_of_service"
    NO_UPSTREAM = "no_upstream"


@frozen
class OutgoingDatagram:
    """A datagram to send; ``destination`` None means the fabric."""

    data: bytes
    destination: Address | None


@frozen
class Decision:
    """Decision about one packet."""

    verdict: Verdict
    datagrams: tuple[OutgoingDatagram, ...] = ()


class SlotRouter:
    """Routes callers' packets to upstreams and upstreams' packets to callers.

    Args:
        services: Services and upstreams.
        flows: Cache of flows.
        admission: Budgets of this instance at the upstreams.
        denials: Buffer of withheld denials; without it, denials are dropped.
        instance_address: Returns the fabric address of an alive instance.
        is_instance: Whether an outer address is an instance's fabric address.
        queue_fill: Returns how full the receive queue is, from 0 to 1.
        may_open: Whether capacity allows a new flow; else its SYN is left unanswered.
    """

    def __init__(
        self,
        services: ServiceTable,
        flows: FlowCache,
        *,
        admission: Admission | None = None,
        denials: DenialBuffer | None = None,
        instance_address: Callable[[str], Address | None] = lambda name: None,
        is_instance: Callable[[Address], bool] = lambda address: False,
        queue_fill: Callable[[], float] = lambda: 0.0,
        may_open: Callable[[bytes, ServiceRoutes], bool] = lambda flow, routes: True,
    ) -> None:
        self._services = services
        self._flows = flows
        self._admission = admission or UnlimitedAdmission()
        self._denials = denials
        self._instance_address = instance_address
        self._is_instance = is_instance
        self._queue_fill = queue_fill
        self._may_open = may_open
        self._copy_bucket = TokenBucket(
            PROBE_COPIES_PER_S, PROBE_COPIES_BURST, services.clock.monotonic_s
        )
        # Each access to a singledispatchmethod creates a function, which takes 1.6 us;
        # a packet takes 8 us in total.
        self._dispatch_from_caller = self._from_caller
        self._dispatch_from_upstream = self._from_upstream

    def route(self, packet: Packet, source: Address) -> Decision:
        """Decide about one packet.

        Args:
            packet: The decoded packet.
            source: Outer address that it came from.
        """
        flow = packet.key_from_caller()
        routes = self._services.find_by_endpoint(flow[6:])
        if routes is not None:
            return self._dispatch_from_caller(packet, flow, routes, source)
        flow = packet.key_to_caller()
        routes = self._services.find_by_endpoint(flow[6:])
        if routes is None:
            return Decision(Verdict.UNKNOWN_SERVICE)
        sender = self._services.view.at_address(source.ip, routes.service.name)
        if sender is None:
            return Decision(Verdict.UNKNOWN_SENDER)
        if self._services.is_out_of_service(sender):
            return Decision(Verdict.OUT_OF_SERVICE)
        return self._dispatch_from_upstream(packet, flow, sender)

    @singledispatchmethod
    def _from_caller(
        self, packet: Packet, flow: bytes, routes: ServiceRoutes, source: Address
    ) -> Decision:
        raise NotImplementedError

    @_from_caller.register
    def _(
        self, packet: UdpPacket, flow: bytes, routes: ServiceRoutes, source: Address
    ) -> Decision:
        record = self._services.view.get(self._flows.confirmed_upstream(flow) or "")
        if self._services.may_keep_flows(record):
            return _forward(Verdict.KNOWN_FLOW, packet.raw, [record])
        if self._admission.is_over_limit(routes.service.name):
            return Decision(Verdict.LIMITED)
        for record in self._services.preference_order(routes, flow):
            if self._admission.try_admit(record, routes.service.priority):
                return _forward(Verdict.NEW_FLOW, packet.raw, [record])
        return Decision(Verdict.NO_UPSTREAM)

    @_from_caller.register
    def _(
        self, packet: SynPacket, flow: bytes, routes: ServiceRoutes, source: Address
    ) -> Decision:
        name, priority = routes.service.name, routes.service.priority
        is_shedding = self._queue_fill() >= SHED_QUEUE_FILL[priority]
        if is_shedding and not self._admission.has_unused_share(name):
            return _refuse(Verdict.SHED, packet)
        if self._admission.is_over_limit(name):
            return _refuse(Verdict.LIMITED, packet)
        if not self._may_open(flow, routes):
            return Decision(Verdict.WAITING)
        skipped = []
        for record in self._syn_targets(routes, flow):
            if self._admission.try_admit(record, priority):
                for other in skipped:
                    self._services.mark_spillover(other.upstream_id)
                self._flows.hint(flow, record.upstream_id)
                raw = without_payload(packet).raw if packet.payload else packet.raw
                return _forward(Verdict.NEW_FLOW, raw, [record])
            holder = self._relay_address(record, packet, source)
            if holder is not None:
                return Decision(
                    Verdict.RELAYED, (OutgoingDatagram(packet.raw, holder),)
                )
            skipped.append(record)
        return _refuse(Verdict.REFUSED, packet)

    @_from_caller.register
    def _(
        self, packet: TcpPacket, flow: bytes, routes: ServiceRoutes, source: Address
    ) -> Decision:
        entry = self._flows.get(flow)
        if entry is None:
            return self._probe(packet, flow, routes, None)
        if not entry.is_confirmed:
            return self._probe(packet, flow, routes, entry.upstream_id)
        if not entry.is_in_window(packet.seq, packet.ack):
            # The segment belongs to another connection on a reused port, which any
            # upstream may hold.
            entry.is_confirmed = False
            return self._probe(packet, flow, routes, entry.upstream_id)
        record = self._services.view.get(entry.upstream_id)
        if self._services.may_receive_packets(record):
            return _forward(Verdict.KNOWN_FLOW, packet.raw, [record])
        if record is None or not self._services.is_out_of_service(record):
            # The upstream is gone, but another process may have taken over its
            # address, and may hold the flow, before this instance learned of it.
            return self._probe(packet, flow, routes, entry.upstream_id)
        if isinstance(packet, ResetPacket):
            return Decision(Verdict.OUT_OF_SERVICE)
        return Decision(Verdict.ABORTED, (OutgoingDatagram(abort_of(packet), None),))

    @singledispatchmethod
    def _from_upstream(
        self, packet: Packet, flow: bytes, sender: UpstreamRecord
    ) -> Decision:
        raise NotImplementedError

    @_from_upstream.register
    def _(self, packet: UdpPacket, flow: bytes, sender: UpstreamRecord) -> Decision:
        self._admission.record_return_traffic(sender.upstream_id)
        self._flows.confirm(flow, sender.upstream_id)
        return _to_caller(packet)

    @_from_upstream.register
    def _(self, packet: TcpPacket, flow: bytes, sender: UpstreamRecord) -> Decision:
        self._admission.record_return_traffic(sender.upstream_id)
        entry = self._flows.get(flow)
        if self._is_held_elsewhere(entry, packet, sender):
            # The caller may instead have reused its port soon, with sequence numbers
            # in the window. That flow loses only this packet, since its next one
            # finds the entry unconfirmed.
            entry.is_confirmed = False
            return Decision(Verdict.WRONG_SENDER)
        self._flows.confirm(flow, sender.upstream_id, packet.ack, packet.next_seq)
        return _to_caller(packet)

    @_from_upstream.register
    def _(self, packet: SynAckPacket, flow: bytes, sender: UpstreamRecord) -> Decision:
        self._admission.record_return_traffic(sender.upstream_id)
        self._flows.hint(flow, sender.upstream_id)
        return _to_caller(packet)

    @_from_upstream.register
    def _(self, packet: ResetPacket, flow: bytes, sender: UpstreamRecord) -> Decision:
        entry = self._flows.get(flow)
        if not packet.is_denial:
            return self._route_upstream_abort(packet, flow, sender, entry)
        if (
            is_confirmed_at(entry, sender.upstream_id)
            and packet.seq == entry.upstream_seq
        ):
            # The sequence number of a denial is the one that the caller acknowledged.
            # A denial with any other number, even a close one, may concern another
            # connection on a reused port.
            self._admission.record_restart(sender.upstream_id)
            self._flows.remove(flow)
            return Decision(Verdict.DENIED, (OutgoingDatagram(packet.raw, None),))
        if self._denials is not None:
            self._denials.report(packet, sender.upstream_id)
        return Decision(Verdict.DENIAL_WITHHELD)

    def _route_upstream_abort(
        self,
        packet: ResetPacket,
        flow: bytes,
        sender: UpstreamRecord,
        entry: FlowEntry | None,
    ) -> Decision:
        self._admission.record_return_traffic(sender.upstream_id)
        if self._is_held_elsewhere(entry, packet, sender):
            return Decision(Verdict.WRONG_SENDER)
        if is_confirmed_at(entry, sender.upstream_id):
            self._flows.remove(flow)
        return _to_caller(packet)

    def _probe(
        self, packet: TcpPacket, flow: bytes, routes: ServiceRoutes, hint: str | None
    ) -> Decision:
        """Send a copy to every upstream that may hold the flow.

        The upstreams that don't hold it answer with a denial.
        """
        targets = self._services.candidates(routes, flow, hint)
        if not targets:
            return Decision(Verdict.NO_UPSTREAM)
        if len(targets) > 1 and not self._copy_bucket.take(len(targets) - 1):
            return _forward(Verdict.PROBE_LIMITED, packet.raw, targets[:1])
        return _forward(Verdict.PROBED_FLOW, packet.raw, targets)

    def _syn_targets(self, routes: ServiceRoutes, flow: bytes) -> list[UpstreamRecord]:
        """Return the upstreams for a SYN, preferred first.

        A retransmitted SYN goes to the upstream that holds the flow, if the current
        table makes it a candidate. Other instances look for a flow only at the
        candidates.
        """
        order = self._services.preference_order(routes, flow)
        confirmed_upstream = self._flows.confirmed_upstream(flow)
        if confirmed_upstream is None:
            return order
        records = list(order)
        current = self._services.current_candidates(routes, flow)
        if confirmed_upstream in current:
            records.sort(key=lambda record: record.upstream_id != confirmed_upstream)
        return records

    def _relay_address(
        self, record: UpstreamRecord, packet: SynPacket, source: Address
    ) -> Address | None:
        if self._is_instance(source):
            return None
        holder = self._admission.relay_target(record, packet.flow_from_caller())
        return self._instance_address(holder) if holder else None

    def _is_held_elsewhere(
        self, entry: FlowEntry | None, packet: TcpPacket, sender: UpstreamRecord
    ) -> bool:
        """Return whether another upstream is known to hold the connection."""
        return (
            entry is not None
            and entry.is_confirmed
            and entry.upstream_id != sender.upstream_id
            and is_in_window(packet.ack, entry.caller_seq)
            and self._services.may_receive_packets(
                self._services.view.get(entry.upstream_id)
            )
        )


@lru_cache(maxsize=65536)
def _tunnel_address(address: str, port: int) -> Address:
    return Address(address, port)


def _forward(verdict: Verdict, raw: bytes, targets: list[UpstreamRecord]) -> Decision:
    datagrams = [
        OutgoingDatagram(raw, _tunnel_address(record.address, record.port))
        for record in targets
    ]
    return Decision(verdict, tuple(datagrams))


def _refuse(verdict: Verdict, packet: SynPacket) -> Decision:
    return Decision(verdict, (OutgoingDatagram(refusal_of(packet), None),))


def _to_caller(packet: Packet) -> Decision:
    return Decision(Verdict.RETURNED, (OutgoingDatagram(packet.raw, None),))
