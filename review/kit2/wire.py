"""Packets as PROTOCOL.md describes them."""

import struct

from .record import plain

HEAD = struct.Struct(">4s4sHHHIIBBII")
TARGET = struct.Struct(">Q")
RST, ACK, SYN, FIN, BOUNCED = 2, 8, 16, 32, 64
# Stands for the keyed sum, whose key only the two ends have.
SUM = 0x1D2C3B4A


@plain
class Packet:
    """One packet; ``src`` and ``dst`` are addresses of four bytes."""

    src: bytes
    sport: int
    dst: bytes
    dport: int
    flags: int
    seq: int = 0
    ack: int = 0
    echo: int = 0
    sum: int = SUM
    data: bytes = b""

    def encode(self) -> bytes:
        """Return the packet as bytes."""
        head = HEAD.pack(
            self.dst,
            self.src,
            self.dport,
            self.sport,
            len(self.data),
            self.echo,
            self.sum,
            self.flags,
            0,
            self.seq,
            self.ack,
        )
        return head + self.data


def decode(datagram: bytes) -> Packet:
    """Return the packet in a datagram."""
    dst, src, dport, sport, length, echo, checksum, flags, _, seq, ack = (
        HEAD.unpack_from(datagram)
    )
    data = datagram[HEAD.size : HEAD.size + length]
    return Packet(src, sport, dst, dport, flags, seq, ack, echo, checksum, data)
