"""Packet codec: decoded fields and rejected packets."""

import dpkt
import pytest
from hypothesis import example, given, settings, strategies as st

from arbutuslift.errors import PacketError
from arbutuslift.protocol.packets import (
    ACK,
    SynPacket,
    TcpPacket,
    decode,
    encode_tcp,
    encode_udp,
    refusal_of,
    without_payload,
)

from .. import builders


def test_payload_of_a_syn_is_removed_with_correct_checksums():
    # A request carried in a SYN could be run by two upstreams.
    packet = without_payload(decode(builders.syn(payload=b"claim")))
    decoded = decode(packet.raw)
    assert isinstance(decoded, SynPacket)
    assert decoded.payload == b""
    assert decoded.seq == 100


def test_refusal_acknowledges_the_syn():
    refusal = decode(refusal_of(decode(builders.syn())))
    assert refusal.flags & ACK
    assert (refusal.seq, refusal.ack) == (0, 101)
    assert refusal.destination == builders.caller()


def _with_flipped_bits(raw: bytes, index: int) -> bytes:
    return raw[:index] + bytes([raw[index] ^ 0x55]) + raw[index + 1 :]


@pytest.mark.parametrize(
    "raw",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"\x45", id="one byte"),
        pytest.param(builders.syn()[:-1], id="truncated"),
        pytest.param(builders.syn() + b"\0", id="trailing byte"),
        pytest.param(b"\0" * 10_000, id="oversized"),
        pytest.param(_with_flipped_bits(builders.syn(), 10), id="IPv4 checksum"),
        pytest.param(_with_flipped_bits(builders.syn(), 36), id="TCP checksum"),
        pytest.param(_with_flipped_bits(builders.syn(), 9), id="other protocol"),
    ],
)
def test_malformed_packets_are_rejected(raw):
    with pytest.raises(PacketError):
        decode(raw)


valid_packets = st.builds(
    encode_tcp,
    st.just(builders.caller()),
    st.just(builders.SERVICE),
    flags=st.integers(0, 63),
    seq=st.integers(0, 2**32 - 1),
    ack=st.integers(0, 2**32 - 1),
    payload=st.binary(max_size=40),
) | st.builds(
    encode_udp,
    st.just(builders.caller()),
    st.just(builders.SERVICE),
    st.binary(max_size=40),
)


@st.composite
def damaged_packets(draw):
    raw = bytearray(draw(valid_packets))
    for index, value in draw(
        st.lists(st.tuples(st.integers(0, 59), st.integers(0, 255)), max_size=3)
    ):
        raw[index % len(raw)] = value
    return bytes(raw[: draw(st.integers(0, 100)) or None])


def fields_by_dpkt(raw):
    """Return the fields if dpkt accepts the packet and computes the same checksums."""
    ip = dpkt.ip.IP(raw)
    body = raw[ip.hl * 4 :]
    if ip.v != 4 or ip.hl < 5 or ip.len != len(raw) or ip.mf or ip.offset:
        return None
    if dpkt.in_cksum(raw[: ip.hl * 4]):
        return None
    pseudo_header = ip.src + ip.dst + bytes([0, ip.p]) + len(body).to_bytes(2)
    is_right = dpkt.in_cksum(pseudo_header + body) == 0
    if isinstance(ip.data, dpkt.tcp.TCP) and ip.data.off >= 5 and is_right:
        tcp = ip.data
        return ip.src, tcp.sport, tcp.dport, tcp.seq, tcp.ack, tcp.flags, tcp.data
    if not isinstance(ip.data, dpkt.udp.UDP) or ip.data.ulen != len(body):
        return None
    is_right = is_right or not ip.data.sum
    return (ip.src, ip.data.sport, ip.data.dport) if is_right else None


@settings(derandomize=True, max_examples=1000)
@given(damaged_packets() | st.binary(max_size=80))
@example(b"")
def test_decoding_equals_dpkt_on_damaged_packets(raw):
    # An unexpected exception would end the task that forwards packets.
    try:
        expected = fields_by_dpkt(raw)
    except (dpkt.UnpackError, ValueError, IndexError):
        expected = None
    try:
        packet = decode(raw)
    except PacketError:
        assert expected is None
        return
    found = (packet.source.ip, packet.source.port, packet.destination.port)
    if isinstance(packet, TcpPacket):
        found += (packet.seq, packet.ack, packet.flags, packet.payload)
    assert found == expected
    assert packet.key_from_caller() == packet.flow_from_caller().to_bytes()
    assert packet.key_to_caller() == packet.flow_to_caller().to_bytes()
