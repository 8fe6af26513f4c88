"""Typed requests over a channel: answers, failures and timeouts."""

import asyncio

import pytest
from attrs import frozen
from structlog.testing import capture_logs

from arbutuslift.clock import ManualClock
from arbutuslift.errors import MessageError, PeerFailure, PeerTimeout
from arbutuslift.protocol.channel import Channel
from arbutuslift.protocol.messages import Failure, Message, decode, encode, register
from arbutuslift.transport.bus import MemoryNetwork


@register
@frozen(kw_only=True)
class Echo(Message):
    text: str


async def _echo(peer, message):
    if message.text == "bad":
        raise MessageError("refused", step="echo")
    return message


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def network(clock):
    return MemoryNetwork(clock)


@pytest.fixture
def channels(network):
    left = Channel(network.bus("left"))
    right = Channel(network.bus("right"))
    right.register_handler(Echo, _echo)
    return left, right


async def test_request_returns_the_answer(clock, channels):
    task = asyncio.create_task(channels[0].request("right", Echo(text="a"), 1.0))
    await clock.advance(0.1)
    assert await task == Echo(text="a")


async def test_failure_of_the_handler_is_raised_at_the_requester(clock, channels):
    task = asyncio.create_task(channels[0].request("right", Echo(text="bad"), 1.0))
    await clock.advance(0.1)
    with pytest.raises(PeerFailure, match="refused"):
        await task


async def test_request_across_a_partition_times_out(clock, network, channels):
    network.partition(["left"], ["right"])
    task = asyncio.create_task(channels[0].request("right", Echo(text="a"), 1.0))
    await clock.advance(1.1)
    with pytest.raises(PeerTimeout):
        await task


@pytest.mark.parametrize(
    "body", [b"", b"\xc1", b"\x90", b"\x92\xa4Nope\x80", b"\x92\xa4Echo\x80"]
)
def test_malformed_messages_are_rejected(body):
    with pytest.raises(MessageError):
        decode(body)


@pytest.mark.parametrize(
    ("is_permitted", "is_answered"), [(True, True), (False, False)]
)
async def test_operator_may_send_only_permitted_messages(
    clock, network, is_permitted, is_answered
):
    # The owner of an operator's key must not vote or gossip as an instance.
    operator = Channel(network.bus("operator-anna"))
    right = Channel(network.bus("right"))
    right.register_handler(Echo, _echo, for_operators=is_permitted)
    task = asyncio.create_task(operator.request("right", Echo(text="a"), 1.0))
    await clock.advance(0.1)
    if is_answered:
        assert await task == Echo(text="a")
    else:
        with pytest.raises(PeerFailure, match="operator"):
            await task


async def test_a_refused_one_way_message_is_logged():
    """Guards against one-way messages of another version that are dropped silently."""
    network = MemoryNetwork(ManualClock())
    channel = Channel(network.bus("a"))
    with capture_logs() as lines:
        assert await channel._handle("b", b"\xc1") is not None
        await channel._handle("b", encode(Failure(step="s", reason="r")))
    refused = [(line["event"], line["peer"]) for line in lines]
    assert refused == [("message_refused", "b")] * 2
