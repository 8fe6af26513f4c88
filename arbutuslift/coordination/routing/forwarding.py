"""Forwarding of packets between the fabric and the router."""

from collections import Counter
from collections.abc import Callable

import structlog

from ...errors import PacketError
from ...protocol.packets import decode
from ...transport.fabric import Address, Datagram, Fabric
from .slotrouter import SlotRouter

BAD_PACKET = "bad_packet"

_log = structlog.get_logger()


class Forwarder:
    """Receives, routes and sends packets until cancelled.

    Args:
        fabric: Receives and sends packets.
        router: Decides about each packet.
        fabric_address: Address to which packets for callers are sent.
    """

    def __init__(
        self, fabric: Fabric, router: SlotRouter, fabric_address: Address
    ) -> None:
        self._fabric = fabric
        self._router = router
        self._fabric_address = fabric_address
        self.counts: Counter[str] = Counter()
        self._is_sampled: Callable[[bytes], bool] | None = None

    async def run(self) -> None:
        """Forward packets."""
        while True:
            self.forward(await self._fabric.receive())

    def forward(self, datagram: Datagram) -> None:
        """Forward one packet."""
        # An inline check takes less time than a further call for each packet.
        if self._is_sampled is not None and self._is_sampled(datagram.data):
            self._forward_sampled(datagram)
            return
        try:
            packet = decode(datagram.data)
        except PacketError as error:
            self.counts[BAD_PACKET] += 1
            _log.warning(BAD_PACKET, peer=datagram.source.ip, reason=error.message)
            return
        decision = self._router.route(packet, datagram.source)
        self.counts[decision.verdict] += 1
        for outgoing in decision.datagrams:
            self._fabric.send(
                outgoing.data, outgoing.destination or self._fabric_address
            )

    def _forward_sampled(self, datagram: Datagram) -> None:
        """Forward a packet that ``_is_sampled`` selects; subclasses implement this."""
        raise NotImplementedError
