"""Decides where each packet goes."""

from enum import StrEnum
from functools import singledispatchmethod

from attrs import frozen

from ..protocol.packets import (
    Packet,
    ResetPacket,
    SynAckPacket,
    SynPacket,
    TcpPacket,
    abort_of,
    refusal_of,
    without_payload,
)
from ..state.flowkey import FlowKey
from ..state.flows import FlowCache
from ..state.upstreams import UpstreamRecord
from ..transport.fabric import Address
from .services import ServiceRoutes, ServiceTable


class Verdict(StrEnum):
    """Why a packet was sent or dropped; also the name of its counter."""

    NEW_FLOW = "new_flow"
    KNOWN_FLOW = "known_flow"
    PROBED_FLOW = "probed_flow"
    REFUSED = "refused"
    ABORTED = "aborted"
    RETURNED = "returned"
    DENIAL_WITHHELD = "denial_withheld"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_SENDER = "unknown_sender"
    WRONG_SENDER = "wrong_sender"
    NO_UPSTREAM = "no_upstream"


@frozen
class Send:
    """A datagram to send; ``destination`` None means the fabric."""

    data: bytes
    destination: Address | None


@frozen
class Decision:
    """What to do with a packet."""

    verdict: Verdict
    sends: tuple[Send, ...] = ()


class Router:
    """Routes callers' packets to upstreams and upstreams' packets to callers.

    Args:
        services: Services and upstreams.
        flows: Cache of flows.
    """

    def __init__(self, services: ServiceTable, flows: FlowCache) -> None:
        self._services = services
        self._flows = flows

    def route(self, packet: Packet, source: Address) -> Decision:
        """Decide about one packet.

        Args:
            packet: The decoded packet.
            source: Outer address that it came from.
        """
        routes = self._services.at(packet.destination, packet.protocol)
        if routes is not None:
            return self._from_caller(packet, routes)
        routes = self._services.at(packet.source, packet.protocol)
        if routes is None:
            return Decision(Verdict.UNKNOWN_SERVICE)
        sender = self._services.view.at_address(source.ip, routes.service.name)
        if sender is None:
            return Decision(Verdict.UNKNOWN_SENDER)
        return self._from_upstream(packet, sender, packet.flow_to_caller())

    @singledispatchmethod
    def _from_caller(self, packet: Packet, routes: ServiceRoutes) -> Decision:
        flow = packet.flow_from_caller()
        known = self._services.view.get(self._flows.confirmed_at(flow) or "")
        targets = [known] if self._services.may_admit(known) else []
        targets = targets or self._services.preference(routes, flow)[:1]
        if not targets:
            return Decision(Verdict.NO_UPSTREAM)
        return Decision(Verdict.KNOWN_FLOW, _copies(packet, targets))

    @_from_caller.register
    def _(self, packet: SynPacket, routes: ServiceRoutes) -> Decision:
        flow = packet.flow_from_caller()
        known = self._services.view.get(self._flows.confirmed_at(flow) or "")
        targets = [known] if self._services.may_admit(known) else []
        targets = targets or self._services.preference(routes, flow)
        if not targets:
            refusal = Send(refusal_of(packet), None)
            return Decision(Verdict.REFUSED, (refusal,))
        self._flows.hint(flow, targets[0].upstream_id)
        if packet.payload:
            packet = without_payload(packet)
        return Decision(Verdict.NEW_FLOW, _copies(packet, targets[:1]))

    @_from_caller.register
    def _(self, packet: TcpPacket, routes: ServiceRoutes) -> Decision:
        flow = packet.flow_from_caller()
        entry = self._flows.get(flow)
        if entry is None or not entry.confirmed:
            hint = entry.upstream_id if entry else None
            targets = self._services.candidates(routes, flow, hint)
            if not targets:
                return Decision(Verdict.NO_UPSTREAM)
            return Decision(Verdict.PROBED_FLOW, _copies(packet, targets))
        record = self._services.view.get(entry.upstream_id)
        if self._services.may_receive(record):
            return Decision(Verdict.KNOWN_FLOW, _copies(packet, [record]))
        return Decision(Verdict.ABORTED, (Send(abort_of(packet), None),))

    @singledispatchmethod
    def _from_upstream(
        self, packet: Packet, sender: UpstreamRecord, flow: FlowKey
    ) -> Decision:
        confirmed_at = self._flows.confirmed_at(flow)
        if confirmed_at not in (None, sender.upstream_id):
            return Decision(Verdict.WRONG_SENDER)
        self._flows.confirm(flow, sender.upstream_id)
        return _to_caller(packet)

    @_from_upstream.register
    def _(
        self, packet: SynAckPacket, sender: UpstreamRecord, flow: FlowKey
    ) -> Decision:
        self._flows.hint(flow, sender.upstream_id)
        return _to_caller(packet)

    @_from_upstream.register
    def _(self, packet: ResetPacket, sender: UpstreamRecord, flow: FlowKey) -> Decision:
        confirmed_at = self._flows.confirmed_at(flow)
        if confirmed_at not in (None, sender.upstream_id):
            return Decision(Verdict.WRONG_SENDER)
        if packet.is_denial and confirmed_at is None:
            return Decision(Verdict.DENIAL_WITHHELD)
        self._flows.remove(flow)
        return _to_caller(packet)


def _copies(packet: Packet, targets: list[UpstreamRecord]) -> tuple[Send, ...]:
    return tuple(
        Send(packet.raw, Address(record.address, record.port)) for record in targets
    )


def _to_caller(packet: Packet) -> Decision:
    return Decision(Verdict.RETURNED, (Send(packet.raw, None),))
