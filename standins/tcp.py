"""Minimal TCP endpoint: reliable and in order, without congestion control."""

import asyncio
import random
from collections.abc import Callable
from enum import Enum, auto

from arbutuslift.protocol.packets import (
    ACK,
    FIN,
    PSH,
    RST,
    SYN,
    ResetPacket,
    SynAckPacket,
    TcpPacket,
    encode_tcp,
)
from arbutuslift.state.flowkey import Endpoint

RETRANSMIT_S = 0.25
MAX_RETRANSMITS = 60
SEGMENT_BYTES = 1200
SEQ_MODULUS = 2**32


class ConnectionLost(Exception):
    """The connection was reset or exceeded its retransmissions."""


class State(Enum):
    """Connection states that the stand-ins need."""

    SYN_SENT = auto()
    SYN_RECEIVED = auto()
    ESTABLISHED = auto()
    CLOSED = auto()


class Connection:
    """One end of a TCP connection, which sends packets through a function.

    Args:
        local: This end.
        remote: The other end.
        send: Sends one raw packet.
        is_active: Whether this end sends the SYN.
    """

    def __init__(
        self,
        local: Endpoint,
        remote: Endpoint,
        send: Callable[[bytes], None],
        *,
        is_active: bool,
    ) -> None:
        self.local = local
        self.remote = remote
        self.state = State.SYN_SENT if is_active else State.SYN_RECEIVED
        self.was_refused = False
        self.opened: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.opened.add_done_callback(lambda done: done.exception())
        self._send = send
        self._first_seq = random.getrandbits(32)
        self._next_seq = self._first_seq
        self._remote_seq = 0
        self._unacknowledged: list[tuple[int, int, bytes]] = []
        self._out_of_order: dict[int, TcpPacket] = {}
        self._retransmits = 0
        self._timer: asyncio.TimerHandle | None = None
        self._received: asyncio.Queue[bytes | None] = asyncio.Queue()

    def connect(self) -> None:
        """Send the SYN."""
        self._queue_segment(SYN, b"")

    def accept(self, seq: int) -> None:
        """Answer a SYN; retransmit the answer to a repeated SYN."""
        if not self._unacknowledged and self._next_seq == self._first_seq:
            self._remote_seq = (seq + 1) % SEQ_MODULUS
            self._queue_segment(SYN | ACK, b"")
        else:
            self._retransmit_all()

    def write(self, data: bytes) -> None:
        """Send data reliably."""
        for start in range(0, len(data), SEGMENT_BYTES):
            self._queue_segment(PSH | ACK, data[start : start + SEGMENT_BYTES])

    def finish(self) -> None:
        """Send FIN."""
        if self.state is State.ESTABLISHED:
            self._queue_segment(FIN | ACK, b"")

    async def read(self) -> bytes:
        """Return received data, or empty bytes at the end of the stream.

        Raises:
            ConnectionLost: The connection was reset.
        """
        data = await self._received.get()
        if data is None:
            raise ConnectionLost
        return data

    def handle(self, packet: TcpPacket) -> None:
        """Process a packet of this connection."""
        if self.state is State.CLOSED:
            return
        if isinstance(packet, ResetPacket):
            self._handle_reset(packet)
        elif self.state is State.SYN_SENT:
            self._handle_syn_ack(packet)
        elif self.state is State.SYN_RECEIVED and packet.ack != self._next_seq:
            self._send(encode_tcp(self.local, self.remote, flags=RST, seq=packet.ack))
        elif isinstance(packet, SynAckPacket):
            self._send_ack()
        else:
            self._handle_segment(packet)

    def abort(self) -> None:
        """Close the connection without a packet to the other end."""
        self._mark_lost()

    def _handle_reset(self, packet: ResetPacket) -> None:
        if self.state is State.SYN_SENT:
            if not packet.is_denial and packet.ack == self._next_seq:
                self.was_refused = True
                self._mark_lost()
        elif packet.seq == self._remote_seq:
            self._mark_lost()

    def _handle_syn_ack(self, packet: TcpPacket) -> None:
        if not isinstance(packet, SynAckPacket) or packet.ack != self._next_seq:
            return
        self._remote_seq = (packet.seq + 1) % SEQ_MODULUS
        self._acknowledge(packet.ack)
        self._mark_established()
        self._send_ack()

    def _handle_segment(self, packet: TcpPacket) -> None:
        self._acknowledge(packet.ack)
        if self.state is State.SYN_RECEIVED:
            self._mark_established()
        if not packet.payload and not packet.flags & FIN:
            return
        if (packet.seq - self._remote_seq) % SEQ_MODULUS < SEQ_MODULUS // 2:
            self._out_of_order[packet.seq] = packet
        while self._remote_seq in self._out_of_order:
            self._deliver(self._out_of_order.pop(self._remote_seq))
        self._send_ack()

    def _deliver(self, packet: TcpPacket) -> None:
        self._remote_seq = (self._remote_seq + len(packet.payload)) % SEQ_MODULUS
        if packet.payload:
            self._received.put_nowait(packet.payload)
        if packet.flags & FIN:
            self._remote_seq = (self._remote_seq + 1) % SEQ_MODULUS
            self._received.put_nowait(b"")

    def _mark_established(self) -> None:
        self.state = State.ESTABLISHED
        if not self.opened.done():
            self.opened.set_result(None)

    def _mark_lost(self) -> None:
        self.state = State.CLOSED
        if self._timer:
            self._timer.cancel()
        if not self.opened.done():
            self.opened.set_exception(ConnectionLost())
        self._received.put_nowait(None)

    def _queue_segment(self, flags: int, payload: bytes) -> None:
        self._unacknowledged.append((self._next_seq, flags, payload))
        self._transmit(self._next_seq, flags, payload)
        length = len(payload) + bool(flags & (SYN | FIN))
        self._next_seq = (self._next_seq + length) % SEQ_MODULUS
        self._start_timer()

    def _transmit(self, seq: int, flags: int, payload: bytes) -> None:
        packet = encode_tcp(
            self.local,
            self.remote,
            flags=flags,
            seq=seq,
            ack=self._remote_seq if flags & ACK else 0,
            payload=payload,
        )
        self._send(packet)

    def _send_ack(self) -> None:
        self._transmit(self._next_seq, ACK, b"")

    def _acknowledge(self, ack: int) -> None:
        before = len(self._unacknowledged)
        self._unacknowledged = [
            segment
            for segment in self._unacknowledged
            if (ack - segment[0] - 1) % SEQ_MODULUS >= SEQ_MODULUS // 2
        ]
        if len(self._unacknowledged) < before:
            self._retransmits = 0

    def _start_timer(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(RETRANSMIT_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self.state is State.CLOSED or not self._unacknowledged:
            return
        self._retransmits += 1
        if self._retransmits > MAX_RETRANSMITS:
            self._mark_lost()
            return
        self._retransmit_all()
        self._start_timer()

    def _retransmit_all(self) -> None:
        for seq, flags, payload in self._unacknowledged:
            self._transmit(seq, flags, payload)
