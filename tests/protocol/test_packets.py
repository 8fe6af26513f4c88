"""Packets: what is decoded, and what is rejected."""

import pytest

from arbutuslift.errors import PacketError
from arbutuslift.protocol.packets import (
    ACK,
    SynPacket,
    decode,
    refusal_of,
    without_payload,
)

from .. import builders


def test_payload_of_a_syn_is_removed_with_correct_checksums():
    # Data that travels with a SYN could run at two upstreams.
    packet = without_payload(decode(builders.syn(payload=b"claim")))
    again = decode(packet.raw)
    assert isinstance(again, SynPacket)
    assert again.payload == b""
    assert again.seq == 100


def test_refusal_acknowledges_the_syn():
    refusal = decode(refusal_of(decode(builders.syn())))
    assert refusal.flags & ACK
    assert (refusal.seq, refusal.ack) == (0, 101)
    assert refusal.destination == builders.caller()


def _flipped(raw: bytes, index: int) -> bytes:
    return raw[:index] + bytes([raw[index] ^ 0x55]) + raw[index + 1 :]


@pytest.mark.parametrize(
    "raw",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"\x45", id="one byte"),
        pytest.param(builders.syn()[:-1], id="truncated"),
        pytest.param(builders.syn() + b"\0", id="trailing byte"),
        pytest.param(b"\0" * 10_000, id="oversized"),
        pytest.param(_flipped(builders.syn(), 10), id="IPv4 checksum"),
        pytest.param(_flipped(builders.syn(), 36), id="TCP checksum"),
        pytest.param(_flipped(builders.syn(), 9), id="other protocol"),
    ],
)
def test_malformed_packets_are_rejected(raw):
    with pytest.raises(PacketError):
        decode(raw)
