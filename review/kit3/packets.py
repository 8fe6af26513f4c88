"""Packets between consumers and targets, as PROTOCOL.md gives their layout."""

import socket
import struct
from typing import NamedTuple

HEADER = struct.Struct(">4s4sHHHIIBBII")
TARGET_BYTES = 8
RST, ACK, SYN, FIN = 2, 8, 16, 32
# Stands for the keyed sum; only the system's own resets have a sum of 0.
SUM = 0x5A5A5A5A


class Packet(NamedTuple):
    """One packet."""

    dst: str
    dport: int
    src: str
    sport: int
    flags: int
    seq: int = 0
    ack: int = 0
    echo: int = 0
    total: int = SUM
    data: bytes = b""

    def encode(self) -> bytes:
        """Return the packet as bytes."""
        head = HEADER.pack(
            socket.inet_aton(self.dst),
            socket.inet_aton(self.src),
            self.dport,
            self.sport,
            len(self.data),
            self.echo,
            self.total,
            self.flags,
            0,
            self.seq & 0xFFFFFFFF,
            self.ack & 0xFFFFFFFF,
        )
        return head + self.data

    def answer(self, flags: int, **changes: object) -> "Packet":
        """Return a packet in the other direction."""
        return self._replace(
            dst=self.src,
            dport=self.sport,
            src=self.dst,
            sport=self.dport,
            flags=flags,
            data=b"",
        )._replace(**changes)


def decode(datagram: bytes) -> Packet:
    """Return the packet in a datagram."""
    dst, src, dport, sport, _, echo, total, flags, _, seq, ack = HEADER.unpack_from(
        datagram
    )
    return Packet(
        socket.inet_ntoa(dst),
        dport,
        socket.inet_ntoa(src),
        sport,
        flags,
        seq,
        ack,
        echo,
        total,
        datagram[HEADER.size :],
    )
