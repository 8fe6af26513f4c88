"""Packets as callers and targets exchange them, see the users' PROTOCOL.md."""

import struct
import zlib

from .model import evolved, frozen_class

# dst, src, dport, sport, len, echo, sum, flags, pad, seq, ack
HEADER = struct.Struct(">4s4sHHHIIBBII")
RST, ACK, SYN, FIN = 2, 8, 16, 32
TARGET_BYTES = 8
SEQ_MODULUS = 1 << 32
# Only callers and targets know the key of the sum.
KEY = b"key of callers and targets"


@frozen_class
class Packet:
    """One packet.

    Attributes:
        dst: Address to which it goes, 4 bytes.
        src: Address from which it comes, 4 bytes.
        dport: Port to which it goes.
        sport: Port from which it comes.
        flags: Bits of SYN, ACK, FIN and RST.
        seq: Number of its first byte of data.
        ack: Number of the next byte that its sender expects.
        echo: Last echo that its sender received on the flow.
        data: Bytes of the connection.
        checksum: Sum as received; 0 in a reset of the system.
    """

    dst: bytes
    src: bytes
    dport: int
    sport: int
    flags: int
    seq: int = 0
    ack: int = 0
    echo: int = 0
    data: bytes = b""
    checksum: int = 0

    @property
    def flow(self) -> tuple[bytes, int]:
        """Return the caller's end of a packet from a caller."""
        return (self.src, self.sport)

    @property
    def is_genuine(self) -> bool:
        """Return whether the sum is that of a caller or target."""
        return self.checksum == _checksum(self)

    def encode(self) -> bytes:
        """Return the packet with its sum as bytes."""
        return _pack(self, _checksum(self), self.echo) + self.data

    def answer(self, flags: int, **changes: object) -> "Packet":
        """Return a packet of the other direction."""
        return evolved(
            self,
            dst=self.src,
            src=self.dst,
            dport=self.sport,
            sport=self.dport,
            flags=flags,
            data=b"",
            **changes,
        )


def decode(datagram: bytes) -> Packet:
    """Return the packet in a datagram."""
    dst, src, dport, sport, length, echo, checksum, flags, _, seq, ack = (
        HEADER.unpack_from(datagram)
    )
    data = datagram[HEADER.size :]
    if len(data) != length:
        raise ValueError(f"{len(data)} bytes of data instead of {length}")
    return Packet(dst, src, dport, sport, flags, seq, ack, echo, data, checksum)


def _pack(packet: Packet, checksum: int, echo: int) -> bytes:
    return HEADER.pack(
        packet.dst,
        packet.src,
        packet.dport,
        packet.sport,
        len(packet.data),
        echo,
        checksum,
        packet.flags,
        0,
        packet.seq % SEQ_MODULUS,
        packet.ack % SEQ_MODULUS,
    )


def _checksum(packet: Packet) -> int:
    """Return the sum over all fields except ``echo``; never 0."""
    return zlib.crc32(KEY + _pack(packet, 0, 0) + packet.data) or 1
