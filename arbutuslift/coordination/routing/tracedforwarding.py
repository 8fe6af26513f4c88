"""Forwarding with a span per hop; used instead of the plain one if traces are on."""

from ...protocol.packets import Packet
from ...traces import RECEIVE, ROUTE, SEND, Traces
from ...transport.fabric import Address, Datagram, Fabric
from .forwarding import Forwarder
from .router import Decision, Router


class TracedFabric(Fabric):
    """Records the sending of traced packets.

    Args:
        fabric: Where packets come from and go to.
        traces: Records hops.
    """

    def __init__(self, fabric: Fabric, traces: Traces) -> None:
        self._fabric = fabric
        self._traces = traces

    async def receive(self) -> Datagram:
        """Wait for the next datagram."""
        return await self._fabric.receive()

    def send(self, data: bytes, destination: Address) -> None:
        """Send one datagram."""
        with self._traces.hop(SEND) as hop:
            hop.note("destination", f"{destination.ip}:{destination.port}")
            self._fabric.send(data, destination)

    def queue_fill(self) -> float:
        """Return how full the receive queue is, from 0 to 1."""
        return self._fabric.queue_fill()

    def close(self) -> None:
        """Release the socket."""
        self._fabric.close()


class TracedRouter(Router):
    """Records the decisions about traced packets.

    Args:
        router: Decides about each packet.
        traces: Records hops.
    """

    def __init__(self, router: Router, traces: Traces) -> None:
        self._router = router
        self._traces = traces

    def route(self, packet: Packet, source: Address) -> Decision:
        """Decide about one packet."""
        with self._traces.hop(ROUTE) as hop:
            decision = self._router.route(packet, source)
            hop.note("verdict", str(decision.verdict))
            return decision


class TracedForwarder(Forwarder):
    """Records every hop of sampled packets; others take the plain path.

    Args:
        fabric: Where packets come from and go to.
        router: Decides about each packet.
        fabric_address: Takes packets for callers.
        traces: Records hops.
    """

    def __init__(
        self, fabric: Fabric, router: Router, fabric_address: Address, traces: Traces
    ) -> None:
        super().__init__(fabric, router, fabric_address)
        self._traces = traces
        self._is_special = traces.sampler()
        self._sampled = Forwarder(
            TracedFabric(fabric, traces), TracedRouter(router, traces), fabric_address
        )
        self._sampled.counts = self.counts

    def _forward_special(self, datagram: Datagram) -> None:
        """Forward a packet with a span per hop."""
        with self._traces.packet_hop(RECEIVE, datagram.data) as hop:
            hop.note("source", f"{datagram.source.ip}:{datagram.source.port}")
            self._sampled.forward(datagram)
