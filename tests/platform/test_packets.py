"""Guards against packets that are altered when they are forwarded."""

import pytest
from adapter.packets import PlatformCodec
from hypothesis import given, strategies as st

from arbutuslift.errors import PacketError

# The two examples in the protocol documentation of the platform.
SYN = bytes.fromhex("c61200016440000701bb9c41000000000000a1b2c3d510001122334400000000")
RESET = bytes.fromhex(
    "64400007c61200019c4101bb0000000000000000000002000000000000000000"
)

codec = PlatformCodec()


def packet(flags=8, tag=0, seq=1, ack=2, data=b""):
    return b"".join(
        (
            SYN[:12],
            len(data).to_bytes(2, "big"),
            tag.to_bytes(4, "big"),
            bytes.fromhex("a1b2c3d5"),
            bytes([flags, 0]),
            seq.to_bytes(4, "big"),
            ack.to_bytes(4, "big"),
            data,
        )
    )


def test_the_syn_in_the_platform_documentation():
    decoded = codec.decode(SYN)
    assert decoded.is_syn
    assert decoded.service_ip == bytes([198, 18, 0, 1])
    assert decoded.service_port == 443
    assert decoded.caller_ip == bytes([100, 64, 0, 7])
    assert decoded.seq == 0x11223344


def test_the_reset_in_the_platform_documentation():
    assert codec.encode_reset(codec.decode(SYN)) == RESET


def test_the_reset_of_an_open_flow_is_in_the_window_of_the_caller():
    reset = codec.encode_reset(codec.decode(packet(ack=77)))
    assert int.from_bytes(reset[24:28], "big") == 77
    assert reset[18:22] == bytes(4)


@given(st.integers(0, 2**64 - 1), st.integers(1, 2**32 - 1), st.binary(max_size=1200))
def test_only_the_tag_of_a_forwarded_packet_changes(number, tag, data):
    sent = packet(data=data)
    encapsulated = codec.encapsulate(sent, number, tag)
    assert encapsulated[:8] == number.to_bytes(8, "big")
    assert encapsulated[8:] == sent[:14] + tag.to_bytes(4, "big") + sent[18:]
    assert codec.decode(encapsulated[8:]).tag == tag


@pytest.mark.parametrize(
    "datagram",
    [
        b"",
        SYN[:31],
        SYN + b"x",
        packet(flags=1),
        packet(flags=128),
        packet(data=bytes(1201)),
        packet(data=b"abc")[:-1],
    ],
)
def test_malformed_packets_are_refused(datagram):
    with pytest.raises(PacketError):
        codec.decode(datagram)


@given(st.binary(max_size=1300))
def test_any_bytes_are_decoded_or_refused(datagram):
    try:
        codec.decode(datagram)
    except PacketError:
        return


def test_the_request_id_is_read_if_it_is_complete():
    head = b"GET /x HTTP/1.1\r\nHost: a\r\nX-Request-Id: 83326a8f844a1794\r\n\r\n"
    assert codec.request_id(packet(data=head)) == "83326a8f844a1794"
    assert codec.request_id(packet(data=head[:40])) == ""
    assert codec.request_id(SYN) == ""
