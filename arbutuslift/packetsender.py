"""Sending half of an entry instance: packets to upstreams and resets to callers."""

import asyncio
import socket
from collections import Counter
from collections.abc import Callable

import structlog

from .clock import Clock
from .coordination.routing.egressqueue import EgressQueue, OutgoingPacket
from .coordination.routing.packetdecision import Verdict
from .coordination.routing.trackedstart import TrackedStart
from .transport.callerpackets import CallerPacket, PacketCodec

_log = structlog.get_logger()


class PacketSender:
    """Sends packets at the pace of the link, and resets at once.

    Args:
        sock: Socket to send from; it isn't closed here.
        codec: Wire format of packets.
        clock: Source of time.
        link_bytes_per_s: Bandwidth of the link, 0 if it isn't limited.
        caller_port: Port at which callers receive packets.

    Attributes:
        queue: Packets that wait for the link.
        dropped: Packets that were dropped here.
    """

    def __init__(
        self,
        sock: socket.socket,
        codec: PacketCodec,
        clock: Clock,
        link_bytes_per_s: float,
        caller_port: int,
    ) -> None:
        self.dropped: Counter[Verdict] = Counter()
        self._socket = sock
        self._codec = codec
        self._clock = clock
        self._caller_port = caller_port
        self.queue = EgressQueue(clock, link_bytes_per_s, self.send, self._on_dropped)
        self._has_queued = asyncio.Event()

    def forward(self, packet: CallerPacket, upstream: TrackedStart) -> None:
        """Send a packet to an upstream as soon as the link takes it."""
        datagram = self._codec.encapsulate(
            packet.datagram, upstream.start.number, upstream.tag
        )
        self.pace(packet, datagram, upstream.start.address)

    def pace(
        self, packet: CallerPacket, datagram: bytes, address: tuple[str, int]
    ) -> None:
        """Send a datagram as soon as the link takes it."""
        self.queue.push(
            OutgoingPacket(
                packet.flow, packet.seq, packet.data_length_bytes, datagram, address
            )
        )
        if self.queue.queued_bytes:
            self._has_queued.set()

    def reset(self, packet: CallerPacket) -> None:
        """Send a reset to the caller of a packet."""
        caller = socket.inet_ntoa(packet.caller_ip)
        self.send(self._codec.encode_reset(packet), (caller, self._caller_port))

    def send(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Send a datagram now; one that can't be sent is lost."""
        try:
            self._socket.sendto(datagram, address)
        except OSError as error:
            # The datagram is lost, as it would be in the network. Senders retransmit.
            _log.warning("send_failed", peer=address[0], reason=str(error))

    async def run(self, drop_stale: Callable[[], None]) -> None:
        """Send queued packets at the pace of the link until cancelled.

        Args:
            drop_stale: Drops what waited while the process was suspended.
        """
        while True:
            await self._has_queued.wait()
            await self._clock.sleep(self.queue.wait_s())
            drop_stale()
            self.queue.send_due()
            if not self.queue.queued_bytes:
                self._has_queued.clear()

    def _on_dropped(self, packet: OutgoingPacket) -> None:
        verdict = Verdict.DROPPED_LINK_FULL
        self.dropped[verdict] += 1
        _log.warning(verdict, flow=packet.flow.hex(), peer=packet.address[0])
