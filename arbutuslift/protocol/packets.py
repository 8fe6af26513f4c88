"""Codec of IPv4 packets with TCP or UDP inside, over dpkt."""

import struct

import dpkt
from attrs import evolve, frozen

from ..errors import PacketError
from ..state.flowkey import Endpoint, FlowKey

PROTOCOL_TCP = dpkt.ip.IP_PROTO_TCP
PROTOCOL_UDP = dpkt.ip.IP_PROTO_UDP
MAX_PACKET_BYTES = 9216

FIN = dpkt.tcp.TH_FIN
SYN = dpkt.tcp.TH_SYN
RST = dpkt.tcp.TH_RST
PSH = dpkt.tcp.TH_PUSH
ACK = dpkt.tcp.TH_ACK


@frozen(kw_only=True)
class Packet:
    """A decoded packet; ``raw`` is the packet as received."""

    raw: bytes
    source: Endpoint
    destination: Endpoint
    protocol: int

    def flow_from_caller(self) -> FlowKey:
        """Return the flow if a caller sent this packet."""
        return FlowKey(self.source, self.destination, self.protocol)

    def flow_to_caller(self) -> FlowKey:
        """Return the flow if an upstream sent this packet."""
        return FlowKey(self.destination, self.source, self.protocol)


@frozen(kw_only=True)
class UdpPacket(Packet):
    """A UDP datagram."""


@frozen(kw_only=True)
class TcpPacket(Packet):
    """A TCP segment that is neither SYN nor RST."""

    seq: int
    ack: int
    flags: int
    payload: bytes


@frozen(kw_only=True)
class SynPacket(TcpPacket):
    """A caller's request for a connection."""


@frozen(kw_only=True)
class SynAckPacket(TcpPacket):
    """An upstream's answer to a SYN."""


@frozen(kw_only=True)
class ResetPacket(TcpPacket):
    """A reset."""

    @property
    def is_denial(self) -> bool:
        """Whether the sender doesn't know the connection (RFC 9293 3.5.2)."""
        return not self.flags & ACK


def decode(raw: bytes) -> Packet:
    """Decode one packet.

    Args:
        raw: IPv4 packet from its first header byte.

    Returns:
        The subclass of :class:`Packet` that fits.

    Raises:
        PacketError: Truncated, oversized, fragmented, of another protocol or
            with a wrong checksum.
    """
    if len(raw) > MAX_PACKET_BYTES:
        raise _error(f"{len(raw)} bytes, more than {MAX_PACKET_BYTES}")
    try:
        ip = dpkt.ip.IP(raw)
    except (dpkt.UnpackError, ValueError, IndexError) as error:
        raise _error(f"not IPv4: {error}") from error
    _check_ip(ip, raw)
    if ip.p == PROTOCOL_TCP and isinstance(ip.data, dpkt.tcp.TCP):
        return _decode_tcp(ip, raw)
    if ip.p == PROTOCOL_UDP and isinstance(ip.data, dpkt.udp.UDP):
        _check_udp(ip)
        return UdpPacket(
            raw=raw,
            source=Endpoint(ip.src, ip.data.sport),
            destination=Endpoint(ip.dst, ip.data.dport),
            protocol=PROTOCOL_UDP,
        )
    raise _error(f"protocol {ip.p} or its header is not supported")


def encode_tcp(
    source: Endpoint,
    destination: Endpoint,
    *,
    flags: int,
    seq: int,
    ack: int = 0,
    payload: bytes = b"",
    window: int = 65535,
) -> bytes:
    """Return an IPv4 packet with one TCP segment and correct checksums."""
    segment = dpkt.tcp.TCP(
        sport=source.port,
        dport=destination.port,
        seq=seq % 2**32,
        ack=ack % 2**32,
        flags=flags,
        win=window,
        data=payload,
    )
    return _encode_ip(source, destination, PROTOCOL_TCP, segment)


def encode_udp(source: Endpoint, destination: Endpoint, payload: bytes) -> bytes:
    """Return an IPv4 packet with one UDP datagram and correct checksums."""
    datagram = dpkt.udp.UDP(sport=source.port, dport=destination.port, data=payload)
    datagram.ulen = len(datagram)
    return _encode_ip(source, destination, PROTOCOL_UDP, datagram)


def without_payload(packet: SynPacket) -> SynPacket:
    """Return the SYN without its payload, so that no data precedes the handshake."""
    ip = dpkt.ip.IP(packet.raw)
    ip.data.data = b""
    ip.len = 0
    ip.sum = 0
    ip.data.sum = 0
    return evolve(packet, raw=bytes(ip), payload=b"")


def refusal_of(packet: SynPacket) -> bytes:
    """Return the reset that refuses a SYN (RFC 9293 3.5.2, first case)."""
    return encode_tcp(
        packet.destination,
        packet.source,
        flags=RST | ACK,
        seq=0,
        ack=packet.seq + 1 + len(packet.payload),
    )


def abort_of(packet: TcpPacket) -> bytes:
    """Return the reset that ends the flow of a caller's segment (RFC 9293 3.5.2)."""
    return encode_tcp(packet.destination, packet.source, flags=RST, seq=packet.ack)


def _encode_ip(
    source: Endpoint, destination: Endpoint, protocol: int, body: dpkt.Packet
) -> bytes:
    return bytes(
        dpkt.ip.IP(src=source.ip, dst=destination.ip, p=protocol, ttl=64, data=body)
    )


def _check_ip(ip: dpkt.ip.IP, raw: bytes) -> None:
    if ip.v != 4 or ip.hl < 5:
        raise _error("not IPv4")
    if ip.len != len(raw):
        raise _error(f"header says {ip.len} bytes, datagram has {len(raw)}")
    if ip.mf or ip.offset:
        raise _error("fragments are not supported")
    if dpkt.in_cksum(raw[: ip.hl * 4]) != 0:
        raise _error("wrong IPv4 header checksum")


def _decode_tcp(ip: dpkt.ip.IP, raw: bytes) -> TcpPacket:
    segment = ip.data
    if segment.off < 5:
        raise _error("TCP header shorter than 20 bytes")
    if _transport_checksum(ip, raw[ip.hl * 4 :]) != 0:
        raise _error("wrong TCP checksum")
    kind = _tcp_class(segment.flags)
    return kind(
        raw=raw,
        source=Endpoint(ip.src, segment.sport),
        destination=Endpoint(ip.dst, segment.dport),
        protocol=PROTOCOL_TCP,
        seq=segment.seq,
        ack=segment.ack,
        flags=segment.flags,
        payload=bytes(segment.data),
    )


def _tcp_class(flags: int) -> type[TcpPacket]:
    if flags & RST:
        return ResetPacket
    if flags & SYN:
        return SynAckPacket if flags & ACK else SynPacket
    return TcpPacket


def _check_udp(ip: dpkt.ip.IP) -> None:
    body = bytes(ip.data)
    if ip.data.ulen != len(body):
        raise _error("wrong UDP length")
    if ip.data.sum and _transport_checksum(ip, body) != 0:
        raise _error("wrong UDP checksum")


def _transport_checksum(ip: dpkt.ip.IP, body: bytes) -> int:
    pseudo_header = struct.pack(">4s4sxBH", ip.src, ip.dst, ip.p, len(body))
    return dpkt.in_cksum(pseudo_header + body)


def _error(message: str) -> PacketError:
    return PacketError(message, step="decode packet")
