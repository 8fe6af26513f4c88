"""Channel: typed requests, failures and timeouts."""

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
    right.on(Echo, _echo)
    return left, right


async def test_request_returns_the_answer(clock, channels):
    task = asyncio.create_task(channels[0].request("right", Echo(text="a"), 1.0))
    await clock.advance(0.1)
    assert await task == Echo(text="a")


async def test_failure_of_the_handler_reaches_the_caller(clock, channels):
    task = asyncio.create_task(channels[0].request("right", Echo(text="bad"), 1.0))
    await clock.advance(0.1)
    with pytest.raises(PeerFailure, match="refused"):
        await task


async def test_request_over_a_cut_times_out(clock, network, channels):
    network.cut(["left"], ["right"])
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


@pytest.mark.parametrize(("is_open", "is_answered"), [(True, True), (False, False)])
async def test_operator_may_send_only_what_is_open_to_operators(
    clock, network, is_open, is_answered
):
    # An operator's key must not let its owner vote or gossip as an instance.
    operator = Channel(network.bus("operator-anna"))
    right = Channel(network.bus("right"))
    right.on(Echo, _echo, for_operators=is_open)
    task = asyncio.create_task(operator.request("right", Echo(text="a"), 1.0))
    await clock.advance(0.1)
    if is_answered:
        assert await task == Echo(text="a")
    else:
        with pytest.raises(PeerFailure, match="operator"):
            await task


async def test_a_message_without_an_answer_that_is_refused_leaves_a_line():
    """Guards against a peer of another version that fails without a trace."""
    network = MemoryNetwork(ManualClock())
    channel = Channel(network.bus("a"))
    with capture_logs() as lines:
        assert await channel._handle("b", b"\xc1") is not None
        await channel._handle("b", encode(Failure(step="s", reason="r")))
    refused = [(line["event"], line["peer"]) for line in lines]
    assert refused == [("message_refused", "b")] * 2
