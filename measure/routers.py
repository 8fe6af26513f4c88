"""Models of the routing methods that were rejected, for comparison."""

from arbutuslift.coordination.routing.routes import ServiceRoutes
from arbutuslift.coordination.routing.services import ServiceTable
from arbutuslift.coordination.routing.slotrouter import (
    Decision,
    OutgoingDatagram,
    SlotRouter,
    Verdict,
)
from arbutuslift.protocol.packets import Packet, ResetPacket, SynAckPacket, SynPacket
from arbutuslift.state.flows import FlowCache
from arbutuslift.state.hashing import hash_64, rendezvous_order
from arbutuslift.state.upstreams import UpstreamRecord
from arbutuslift.transport.fabric import Address

# Assumed share of callers that offer no TCP timestamps.
WITHOUT_TIMESTAMPS = 0.1


class HashRouter:
    """Sends every packet to the primary of its slot.

    Args:
        services: Services and upstreams.
    """

    def __init__(self, services: ServiceTable) -> None:
        self._services = services

    def route(self, packet: Packet, source: Address) -> Decision:
        """Decide about one packet."""
        flow = packet.key_from_caller()
        routes = self._services.find_by_endpoint(flow[6:])
        if routes is None:
            return self._from_upstream(packet, source)
        record = self._target(packet, flow, routes)
        if record is None:
            return Decision(Verdict.NO_UPSTREAM)
        address = Address(record.address, record.port)
        return Decision(Verdict.KNOWN_FLOW, (OutgoingDatagram(packet.raw, address),))

    def _target(
        self, packet: Packet, flow: bytes, routes: ServiceRoutes
    ) -> UpstreamRecord | None:
        return next(self._services.preference_order(routes, flow), None)

    def _from_upstream(self, packet: Packet, source: Address) -> Decision:
        routes = self._services.find_by_endpoint(packet.key_to_caller()[6:])
        sender = self._services.view.at_address(source.ip, routes.service.name)
        if sender is None:
            return Decision(Verdict.UNKNOWN_SENDER)
        self._record_return(packet, sender)
        return Decision(Verdict.RETURNED, (OutgoingDatagram(packet.raw, None),))

    def _record_return(self, packet: Packet, sender: UpstreamRecord) -> None:
        pass


class CachedHashRouter(HashRouter):
    """Sends packets of flows in the cache to their upstream, others by hash.

    Args:
        services: Services and upstreams.
    """

    def __init__(self, services: ServiceTable) -> None:
        super().__init__(services)
        self._flows = FlowCache()

    def _target(
        self, packet: Packet, flow: bytes, routes: ServiceRoutes
    ) -> UpstreamRecord | None:
        cached = self._cached_upstream(packet, flow)
        return cached or super()._target(packet, flow, routes)

    def _cached_upstream(self, packet: Packet, flow: bytes) -> UpstreamRecord | None:
        entry = self._flows.get(flow)
        if entry is None or isinstance(packet, SynPacket):
            return None
        if not entry.is_in_window(packet.seq, packet.ack):
            return None
        record = self._services.view.get(entry.upstream_id)
        return record if self._services.may_receive_packets(record) else None

    def _record_return(self, packet: Packet, sender: UpstreamRecord) -> None:
        if not isinstance(packet, ResetPacket | SynAckPacket):
            flow = packet.key_to_caller()
            self._flows.confirm(flow, sender.upstream_id, packet.ack, packet.next_seq)


class OwnerRouter(CachedHashRouter):
    """Relays SYNs and packets of unknown flows to the instance that owns their slot.

    Args:
        services: Services and upstreams.
        name: Name of this instance.
        addresses: Addresses of all instances by name.
    """

    def __init__(
        self, services: ServiceTable, name: str, addresses: dict[str, Address]
    ) -> None:
        super().__init__(services)
        self._name = name
        self._addresses = addresses
        self._selected_upstreams: dict[bytes, str] = {}

    def route(self, packet: Packet, source: Address) -> Decision:
        """Decide about one packet."""
        flow = packet.key_from_caller()
        routes = self._services.find_by_endpoint(flow[6:])
        if routes is None or source in self._addresses.values():
            return super().route(packet, source)
        if self._cached_upstream(packet, flow) is not None:
            return super().route(packet, source)
        slot = routes.slot_of(flow).to_bytes(2)
        owner = rendezvous_order(slot, list(self._addresses))[0]
        if owner == self._name:
            return super().route(packet, source)
        relay = OutgoingDatagram(packet.raw, self._addresses[owner])
        return Decision(Verdict.RELAYED, (relay,))

    def _target(
        self, packet: Packet, flow: bytes, routes: ServiceRoutes
    ) -> UpstreamRecord | None:
        if isinstance(packet, SynPacket):
            record = HashRouter._target(self, packet, flow, routes)
            if record is not None:
                self._selected_upstreams[flow] = record.upstream_id
            return record
        cached = self._cached_upstream(packet, flow)
        selected = self._services.view.get(self._selected_upstreams.get(flow, ""))
        if cached is None and self._services.may_receive_packets(selected):
            return selected
        return super()._target(packet, flow, routes)


class TimestampRouter(CachedHashRouter):
    """Reads the upstream from a mark that the caller echoes in its timestamps.

    The mark travels in the packet, so the model keeps it in a map that all instances
    share. It exists from the SYN-ACK on. Callers without timestamps are
    routed as with :class:`CachedHashRouter`.

    Args:
        services: Services and upstreams.
        marks: Upstream of each flow, shared by all instances.
    """

    def __init__(self, services: ServiceTable, marks: dict[bytes, str]) -> None:
        super().__init__(services)
        self._marks = marks

    def _target(
        self, packet: Packet, flow: bytes, routes: ServiceRoutes
    ) -> UpstreamRecord | None:
        marked = self._services.view.get(self._marks.get(flow, ""))
        if isinstance(packet, SynPacket) or not self._services.may_receive_packets(
            marked
        ):
            return super()._target(packet, flow, routes)
        return marked

    def _record_return(self, packet: Packet, sender: UpstreamRecord) -> None:
        super()._record_return(packet, sender)
        flow = packet.key_to_caller()
        offers_timestamps = hash_64(flow) % 100 >= WITHOUT_TIMESTAMPS * 100
        if isinstance(packet, SynAckPacket) and offers_timestamps:
            self._marks[flow] = sender.upstream_id


AnyRouter = SlotRouter | HashRouter
