"""In-memory fakes of callers and upstreams, driven packet by packet."""

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
        sent_seq: The upstream's next sequence number.
        received_seq: The sequence number expected next from the caller.
        is_open: Whether the handshake is complete.
    """

    sent_seq: int
    received_seq: int
    is_open: bool = False


@define(eq=False)
class FakeUpstream:
    """Answers segments of its connections and resets all others.

    Attributes:
        record: Its newest announcement.
        vip: Address of its service; packets for another are discarded.
        rng: Source of initial sequence numbers.
        connections: Connections by the caller's endpoint.
        ran: Payloads that were accepted, in order.
        seen: Packets that arrived.
    """

    record: object
    vip: object
    rng: object
    connections: dict = field(factory=dict)
    ran: list = field(factory=list)
    seen: list = field(factory=list)

    def handle(self, raw):
        """Process a packet and return the packets that answer it."""
        packet = decode(raw)
        if packet.destination != self.vip:
            return []
        self.seen.append(raw)
        assert not (isinstance(packet, SynPacket) and packet.payload)
        connection = self.connections.get(packet.source)
        if isinstance(packet, ResetPacket):
            if connection and packet.seq == connection.received_seq:
                del self.connections[packet.source]
            return []
        if isinstance(packet, SynPacket) and not (connection and connection.is_open):
            return [self._open(packet)]
        if connection is None:
            return [self._answer(packet, flags=RST, seq=packet.ack)]
        if not connection.is_open and packet.ack != connection.sent_seq:
            return [self._answer(packet, flags=RST, seq=packet.ack)]
        if packet.ack == connection.sent_seq and packet.seq == connection.received_seq:
            connection.is_open = True
            connection.received_seq += len(packet.payload)
            if packet.payload:
                self.ran.append(packet.payload)
        return [
            self._answer(
                packet, flags=ACK, seq=connection.sent_seq, ack=connection.received_seq
            )
        ]

    def _open(self, packet):
        connection = self.connections.get(packet.source)
        if connection and connection.received_seq == packet.seq + 1:
            initial_seq = connection.sent_seq - 1
        else:
            initial_seq = self.rng.randrange(2**31)
        self.connections[packet.source] = FakeConnection(
            initial_seq + 1, packet.seq + 1
        )
        return self._answer(
            packet, flags=SYN | ACK, seq=initial_seq, ack=packet.seq + 1
        )

    def _answer(self, packet, **fields):
        return encode_tcp(packet.destination, packet.source, **fields)


@define(eq=False)
class FakeCaller:
    """One end of a connection, with the acceptance rules of TCP.

    Attributes:
        end: The caller's address and port.
        vip: Address of the service.
        first: The caller's initial sequence number.
        state: ``syn_sent``, ``open``, ``refused`` or ``closed``.
        received_seq: The sequence number expected next from the upstream.
        sent_seq: The caller's first sequence number that isn't acknowledged.
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
        """Return a segment with the current sequence numbers."""
        return encode_tcp(
            self.end,
            self.vip,
            flags=flags,
            seq=self.sent_seq,
            ack=self.received_seq,
            payload=payload,
        )

    def handle(self, raw):
        """Process a packet and return whether it resets the open connection."""
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
