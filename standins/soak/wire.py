"""Encoding of the users' packets, as callers and targets exchange them."""

import struct

from attrs import evolve, frozen

# Destination and source address, destination and source port, length, echo,
# checksum, flags, padding, sequence number, acknowledgement number.
HEADER = struct.Struct(">4s4sHHHIIBBII")
TARGET_BYTES = 8
RST, ACK, SYN, FIN = 2, 8, 16, 32
# Placeholder for the keyed checksum, whose key only callers and targets have.
SUM = 0x5A5A5A5A


@frozen(kw_only=True)
class Packet:
    """One packet; ``source`` and ``destination`` are address and port."""

    source: tuple[bytes, int]
    destination: tuple[bytes, int]
    flags: int
    seq: int = 0
    ack: int = 0
    echo: int = 0
    checksum: int = SUM
    data: bytes = b""

    def encode(self) -> bytes:
        """Return the packet as bytes."""
        head = HEADER.pack(
            self.destination[0],
            self.source[0],
            self.destination[1],
            self.source[1],
            len(self.data),
            self.echo,
            self.checksum,
            self.flags,
            0,
            self.seq,
            self.ack,
        )
        return head + self.data

    def answer(self, flags: int, **changes: object) -> "Packet":
        """Return a packet in the other direction, with these flags and changes."""
        return evolve(
            self,
            source=self.destination,
            destination=self.source,
            flags=flags,
            **changes,
        )


def decode(datagram: bytes) -> Packet:
    """Return the packet in a datagram."""
    dst, src, dport, sport, length, echo, checksum, flags, _, seq, ack = (
        HEADER.unpack_from(datagram)
    )
    data = datagram[HEADER.size :]
    if len(data) != length:
        raise ValueError("length")
    return Packet(
        source=(src, sport),
        destination=(dst, dport),
        flags=flags,
        seq=seq,
        ack=ack,
        echo=echo,
        checksum=checksum,
        data=data,
    )
