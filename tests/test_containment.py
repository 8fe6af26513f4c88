"""Guards against messages and records that end a process or what it follows."""

import ast
import asyncio
from contextlib import AsyncExitStack
from pathlib import Path

import msgpack
import pytest
from attrs import evolve

import arbutuslift
from arbutuslift.clock import ManualClock
from arbutuslift.coordination.concurrency import RESTART_DELAY_S, TaskSet
from arbutuslift.coordination.dissemination.feedclient import RETRY_S, FeedClient
from arbutuslift.errors import MessageError, StorageError
from arbutuslift.protocol.channel import Channel
from arbutuslift.protocol.feed import FeedAnswer, FeedRequest, LossReport, StartNews
from arbutuslift.protocol.messages import decode, encode
from arbutuslift.state.codec import encode_value
from arbutuslift.state.fieldcodec import to_row
from arbutuslift.state.startstore import SavedStarts
from arbutuslift.transport.bus import MemoryNetwork

from .builders import start
from .test_entry import first_answer, make_instance

PACKAGE = Path(arbutuslift.__file__).parent
# The agreed state may end a process whose invariants it breaks, a message may not.
MAY_END_THE_PROCESS = {"self._supervisor.run()", "self._control.run()"}


@pytest.mark.parametrize(
    "module", ["control.py", "entry.py", "instance.py", "sharedload.py"]
)
def test_only_the_agreement_may_end_a_process(module):
    tree = ast.parse((PACKAGE / module).read_text())
    spawned = {
        ast.unparse(node.args[0])
        for node in ast.walk(tree)
        if isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and node.func.attr == "spawn"
    }
    assert spawned <= MAY_END_THE_PROCESS


async def test_a_loop_that_fails_runs_again_and_the_others_go_on():
    clock = ManualClock()
    failures = []
    runs = []

    async def run():
        runs.append(1)
        if len(runs) < 3:
            raise OverflowError("a number of 65 bits")
        await clock.sleep(1000)

    async def fail():
        raise ValueError("once")

    tasks = TaskSet(failures.append)
    tasks.spawn_loop(run, clock)
    tasks.spawn_contained(fail())
    await clock.advance(5 * RESTART_DELAY_S)
    assert (len(runs), tasks.contained_failures, failures) == (3, 3, [])
    await tasks.close()


def answer_with(*rows):
    """Return an encoded answer of the feed with rows in place of its news."""
    name, row = msgpack.unpackb(encode(first_answer()))
    position = [field.name for field in FeedAnswer.__attrs_attrs__].index("news")
    row[position] = list(rows)
    return msgpack.packb([name, row])


def news_row(**changes):
    row = to_row(StartNews(start=start(1), is_silent=False))
    names = [field.name for field in type(start(1)).__attrs_attrs__]
    for name, value in changes.items():
        row[0][names.index(name)] = value
    return row


@pytest.mark.parametrize(
    "changes",
    [
        {"born_ms": 2**64 - 1},
        {"born_ms": -1},
        {"port": 70000},
        {"port": 0},
        {"number": -1},
        {"ip": "1.2.3.4.5"},
        {"ip": ""},
        {"phase": 9},
        {"sequence": "1"},
    ],
)
def test_a_record_that_cannot_be_used_costs_only_itself(changes):
    """Guards against entry instances that end, or stop following, by one record."""
    answer = decode(answer_with(news_row(**changes), news_row(), 7, []))
    assert [item.start for item in answer.news] == [start(1)]


async def test_refused_records_and_messages_are_counted():
    clock = ManualClock()
    network = MemoryNetwork(clock)
    left, right = Channel(network.bus("left")), Channel(network.bus("right"))
    await right._handle("left", answer_with(news_row(port=0), news_row()))
    await right._handle("left", b"\xff")
    await left.send("right", LossReport(upstream_id="i-1", born_ms=2**70))
    with pytest.raises(MessageError):
        await left.request("right", LossReport(upstream_id="\ud800", born_ms=1), 1.0)
    assert right.refusals == {"record": 1, "message": 1}
    assert left.refusals == {"not_encodable": 2}


async def test_an_answer_that_cannot_be_encoded_is_a_failure_at_the_requester():
    clock = ManualClock()
    channel = Channel(MemoryNetwork(clock).bus("a"))

    async def handle(peer, message):
        return evolve(message, born_ms=2**70)

    channel.register_handler(LossReport, handle)
    request = encode(LossReport(upstream_id="i-1", born_ms=1))
    assert decode(await channel._handle("b", request)).step == "encode message"


async def test_a_table_that_cannot_be_read_leaves_the_former_in_effect():
    """Guards against entry instances that end by the table of another version."""
    async with AsyncExitStack() as stack:
        instance = make_instance(stack, ManualClock())
        instance._start_receiving = lambda: None
        instance._on_answer("a", first_answer())
        table = instance._router.table
        with pytest.raises(StorageError):
            instance._on_answer("a", evolve(first_answer(), table=b"malformed"))
        assert instance._router.table is table


async def test_an_answer_that_fails_is_asked_for_again_after_a_delay():
    """Guards against a busy loop, and a feed that nobody follows any more."""
    clock = ManualClock()
    network = MemoryNetwork(clock)
    requests, used = [], []

    async def handle(peer, request):
        requests.append(clock.monotonic_s())
        if len(requests) > 4:
            await clock.sleep(1.0)
        return evolve(first_answer(), position=len(requests))

    def use(name, answer):
        if len(requests) < 4:
            raise OverflowError("a number of 65 bits")
        used.append(answer.position)

    Channel(network.bus("a")).register_handler(FeedRequest, handle)
    channel = Channel(network.bus("entry"))
    client = FeedClient(channel, clock, ("a",), "dc-1", int, use, lambda name: None)
    task = asyncio.ensure_future(client.run())
    await clock.advance(2.0)
    assert used[0] == 4
    gaps_s = [b - a for a, b in zip(requests[:3], requests[1:4], strict=True)]
    assert min(gaps_s) >= RETRY_S
    task.cancel()


async def test_a_packet_that_fails_does_not_hold_up_the_next(monkeypatch):
    async with AsyncExitStack() as stack:
        instance = make_instance(stack, ManualClock())
        handled = []

        def handle(datagram):
            handled.append(datagram)
            raise OverflowError("a number of 65 bits")

        monkeypatch.setattr(instance, "_handle", handle)
        for _ in range(3):
            instance._socket.sendto(b"x", instance._socket.getsockname())
        instance._receive()
        assert len(handled) == 3


@pytest.mark.parametrize("changes", [{"sequence": 2**70}, {"service": "\ud800"}])
def test_a_start_that_cannot_be_stored_is_a_storage_error(changes):
    with pytest.raises(StorageError):
        encode_value(SavedStarts(starts=(start(1, **changes),)))
