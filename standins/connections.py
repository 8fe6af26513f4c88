"""In-memory ends of connections, driven packet by packet."""

from attrs import define, field

from arbutuslift.protocol.packets import (
    ACK,
    RST,
    SYN,
    ResetPacket,
    SynAckPacket,
    SynPacket,
    decode,
    encode_tcp,
)


@define(eq=False)
class FakeConnection:
    """An upstream's state of one connection.

    Attributes:
        sent_seq: Its next sequence number.
        received_seq: The number that it expects from the caller.
        is_open: Whether the handshake is complete.
    """

    sent_seq: int
    received_seq: int
    is_open: bool = False


@define(eq=False)
class FakeUpstream:
    """Knows its connections and denies every other segment.

    Attributes:
        record: Its newest announcement.
        vip: Address of its service; packets for another are discarded.
        rng: Source of initial sequence numbers.
        connections: Its connections by the caller's end.
        ran: Payloads that it took, in order.
        seen: Packets that reached it.
    """

    record: object
    vip: object
    rng: object
    connections: dict = field(factory=dict)
    ran: list = field(factory=list)
    seen: list = field(factory=list)

    def handle(self, raw):
        """Return the packets with which it answers."""
        packet = decode(raw)
        if packet.destination != self.vip:
            return []
        self.seen.append(raw)
        assert not (isinstance(packet, SynPacket) and packet.payload)
        known = self.connections.get(packet.source)
        if isinstance(packet, ResetPacket):
            if known and packet.seq == known.received_seq:
                del self.connections[packet.source]
            return []
        if isinstance(packet, SynPacket) and not (known and known.is_open):
            return [self._open(packet)]
        if known is None:
            return [self._answer(packet, flags=RST, seq=packet.ack)]
        if not known.is_open and packet.ack != known.sent_seq:
            return [self._answer(packet, flags=RST, seq=packet.ack)]
        if packet.ack == known.sent_seq and packet.seq == known.received_seq:
            known.is_open = True
            known.received_seq += len(packet.payload)
            if packet.payload:
                self.ran.append(packet.payload)
        return [
            self._answer(packet, flags=ACK, seq=known.sent_seq, ack=known.received_seq)
        ]

    def _open(self, packet):
        known = self.connections.get(packet.source)
        if known and known.received_seq == packet.seq + 1:
            first = known.sent_seq - 1
        else:
            first = self.rng.randrange(2**31)
        self.connections[packet.source] = FakeConnection(first + 1, packet.seq + 1)
        return self._answer(packet, flags=SYN | ACK, seq=first, ack=packet.seq + 1)

    def _answer(self, packet, **fields):
        return encode_tcp(packet.destination, packet.source, **fields)


@define(eq=False)
class FakeCaller:
    """One end of a connection, with the acceptance rules of TCP.

    Attributes:
        end: Its address and port.
        vip: Address of the service.
        first: Its initial sequence number.
        state: ``syn_sent``, ``open``, ``refused`` or ``closed``.
        received_seq: The number that it expects from the upstream.
        sent_seq: Its next sequence number that isn't acknowledged.
    """

    end: object
    vip: object
    first: int
    state: str = "syn_sent"
    received_seq: int = 0
    sent_seq: int = 0

    def syn(self):
        """Return the SYN, which carries data as RFC 7413 allows."""
        payload = b"early"
        return encode_tcp(
            self.end, self.vip, flags=SYN, seq=self.first, payload=payload
        )

    def segment(self, payload=b"", flags=ACK):
        """Return a segment with the present numbers."""
        return encode_tcp(
            self.end,
            self.vip,
            flags=flags,
            seq=self.sent_seq,
            ack=self.received_seq,
            payload=payload,
        )

    def handle(self, raw):
        """Take a packet and return whether an open connection was reset."""
        packet = decode(raw)
        if self.state == "syn_sent":
            if packet.ack != self.first + 1 or not packet.flags & ACK:
                return False
            if isinstance(packet, ResetPacket):
                self.state = "refused"
            elif isinstance(packet, SynAckPacket):
                self.state = "open"
                self.sent_seq = self.first + 1
                self.received_seq = packet.seq + 1
            return False
        if self.state != "open":
            return False
        if isinstance(packet, ResetPacket):
            return packet.seq == self.received_seq
        if not isinstance(packet, SynAckPacket) and packet.seq == self.received_seq:
            self.sent_seq = max(self.sent_seq, packet.ack)
        return False
