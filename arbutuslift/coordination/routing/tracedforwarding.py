"""Forwarding with a span per step; used if tracing is enabled."""

from ...protocol.packets import Packet
from ...tracer import RECEIVE, ROUTE, SEND, Tracer
from ...transport.fabric import Address, Datagram, Fabric
from .forwarding import Forwarder
from .slotrouter import Decision, SlotRouter


class TracedFabric(Fabric):
    """Records a span for each packet that it sends.

    Args:
        fabric: Receives and sends packets.
        tracer: Records spans.
    """

    def __init__(self, fabric: Fabric, tracer: Tracer) -> None:
        self._fabric = fabric
        self._tracer = tracer

    async def receive(self) -> Datagram:
        """Wait for the next datagram."""
        return await self._fabric.receive()

    def send(self, data: bytes, destination: Address) -> None:
        """Send one datagram."""
        with self._tracer.span(SEND) as span:
            span.set_attribute("destination", f"{destination.ip}:{destination.port}")
            self._fabric.send(data, destination)

    def queue_fill(self) -> float:
        """Return how full the receive queue is, from 0 to 1."""
        return self._fabric.queue_fill()

    def close(self) -> None:
        """Release the socket."""
        self._fabric.close()


class TracedRouter(SlotRouter):
    """Records a span for each routing decision.

    Args:
        router: Decides about each packet.
        tracer: Records spans.
    """

    def __init__(self, router: SlotRouter, tracer: Tracer) -> None:
        self._router = router
        self._tracer = tracer

    def route(self, packet: Packet, source: Address) -> Decision:
        """Decide about one packet."""
        with self._tracer.span(ROUTE) as span:
            decision = self._router.route(packet, source)
            span.set_attribute("verdict", str(decision.verdict))
            return decision


class TracedForwarder(Forwarder):
    """Records spans for sampled packets and forwards the others without spans.

    Args:
        fabric: Receives and sends packets.
        router: Decides about each packet.
        fabric_address: Address to which packets for callers are sent.
        tracer: Records spans.
    """

    def __init__(
        self,
        fabric: Fabric,
        router: SlotRouter,
        fabric_address: Address,
        tracer: Tracer,
    ) -> None:
        super().__init__(fabric, router, fabric_address)
        self._tracer = tracer
        self._is_sampled = tracer.sampler()
        self._sampled = Forwarder(
            TracedFabric(fabric, tracer), TracedRouter(router, tracer), fabric_address
        )
        self._sampled.counts = self.counts

    def _forward_sampled(self, datagram: Datagram) -> None:
        """Forward a packet with a span per step."""
        with self._tracer.packet_span(RECEIVE, datagram.data) as span:
            span.set_attribute("source", f"{datagram.source.ip}:{datagram.source.port}")
            self._sampled.forward(datagram)
