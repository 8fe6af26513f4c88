"""Guards against entry instances that miss updates or apply old ones."""

import asyncio

import pytest

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.dissemination.feedclient import FeedClient
from arbutuslift.coordination.dissemination.feedserver import (
    MAX_STARTS_PER_ANSWER,
    FeedServer,
)
from arbutuslift.coordination.routing.upstreamdirectory import UpstreamDirectory
from arbutuslift.protocol.channel import Channel
from arbutuslift.protocol.feed import StartNews
from arbutuslift.state.routingtable import decode_table, with_route_times
from arbutuslift.state.starts import Phase
from arbutuslift.transport.bus import MemoryNetwork

from ...builders import route, routing_table, start
from .test_startregistry import announced_starts


class Feed:
    """Control instances and one entry instance on an in-memory bus."""

    def __init__(self, *names):
        self.clock = ManualClock()
        self.network = MemoryNetwork(self.clock)
        self.names = names
        self.servers = {}
        self.tasks = []
        self.directory = UpstreamDirectory(self.clock)
        self.revision = 0
        self.tables = 0
        self.restored = []
        for epoch, name in enumerate(names, 1):
            self.open_server(name, epoch)
        self.client = FeedClient(
            Channel(self.network.bus("entry")),
            self.clock,
            names[:1],
            "dc-1",
            lambda: self.revision,
            self.on_answer,
            self.directory.remove_source,
        )
        self.tasks.append(asyncio.ensure_future(self.client.run()))

    def open_server(self, name, epoch):
        others = tuple(other for other in self.names if other != name)
        channel = Channel(self.network.bus(name))
        server = FeedServer(channel, self.clock, epoch, 1.0, lambda: others)
        self.servers[name] = server
        self.tasks.append(asyncio.ensure_future(server.run()))

    def on_answer(self, source, answer):
        self.directory.merge_feed_answer(
            source,
            answer.news,
            is_first=answer.is_first,
            is_settled=answer.is_settled,
        )
        self.entry_count = answer.entry_count
        self.restored.extend(n.start for n in answer.news if n.is_remembered)
        if answer.table:
            self.tables += 1
            self.revision = max(self.revision, decode_table(answer.table).revision)

    def phases(self):
        known = self.directory.of_service("alerts")
        return {k.start.number: k.start.phase for k in known}

    async def run(self, duration_s):
        await self.clock.advance(duration_s)

    async def run_until_done(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        while not task.done():
            await self.clock.advance(0.05)
        return task.result()

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


@pytest.fixture
async def feed():
    opened = Feed("a", "b", "c")
    await opened.run(0.5)
    yield opened
    await opened.close()


async def test_changes_arrive_at_once(feed):
    feed.servers["a"].registry.announce(start(1))
    await feed.run(0.02)
    assert feed.phases() == {1: Phase.READY}
    feed.servers["b"].registry.announce(start(1, sequence=2, phase=Phase.DRAINING))
    await feed.run(0.02)
    assert feed.phases() == {1: Phase.DRAINING}


async def test_route_times_are_those_of_the_newest_table(feed):
    """Guards against times of a former table that are put on the routes of the new."""
    for revision, aim_s in ((1, 0.5), (2, 0.3)):
        table = routing_table(revision, (route(1, aim_s=aim_s),))
        feed.servers["a"].publish(table)
    answer = await feed.run_until_done(feed.client.request_route_times("a"))
    assert answer.revision == 2
    assert with_route_times(routing_table(2, (route(1),)), answer.times) == table


async def test_a_control_instance_of_an_earlier_version_tells_no_route_times(feed):
    feed.network.bus("old")
    assert await feed.run_until_done(feed.client.request_route_times("old")) is None


async def test_a_start_that_turns_cold_again_is_cold_everywhere(feed):
    """Guards against a cold upstream that gets the flows of a warm one."""
    feed.servers["a"].registry.announce(start(1))
    await feed.run(1.0)
    feed.servers["b"].registry.announce(start(1, sequence=2, warm_up_left_ms=9000))
    await feed.run(0.02)
    (tracked,) = feed.directory.of_service("alerts")
    assert 8.0 < tracked.cold_until_s - feed.clock.monotonic_s() < 10.0
    feed.servers["c"].registry.announce(start(1, sequence=3))
    await feed.run(0.02)
    assert tracked.cold_until_s == 0.0


async def test_a_start_that_turns_cold_while_controls_are_apart_is_cold_after(feed):
    """Guards against a lost update, after which one instance takes it for warm."""
    feed.servers["a"].registry.announce(start(1))
    await feed.run(1.0)
    feed.network.partition(["b"], ["a", "c", "entry"])
    feed.servers["b"].registry.announce(start(1, sequence=2, warm_up_left_ms=9000))
    await feed.run(1.0)
    feed.network.heal()
    feed.servers["b"].registry.announce(start(1, sequence=3, warm_up_left_ms=8000))
    await feed.run(0.6)
    (tracked,) = feed.directory.of_service("alerts")
    assert 7.0 < tracked.cold_until_s - feed.clock.monotonic_s() < 9.0


async def test_control_instances_share_announcements(feed):
    feed.servers["a"].registry.announce(start(1))
    await feed.run(0.1)
    assert len(announced_starts(feed.servers["c"].registry)) == 1


async def test_a_lost_update_is_repaired_by_comparison(feed):
    feed.network.partition(["a"], ["b", "c"])
    feed.servers["a"].registry.announce(start(1))
    await feed.run(0.5)
    assert announced_starts(feed.servers["c"].registry) == ()
    feed.network.heal()
    await feed.run(4.0)
    assert len(announced_starts(feed.servers["c"].registry)) == 1


async def test_the_newest_table_is_sent_once(feed):
    for server in feed.servers.values():
        server.publish(routing_table(4))
    await feed.run(1.5)
    assert feed.revision == 4
    assert feed.tables == 1


async def test_a_table_of_a_single_control_instance_arrives(feed):
    feed.servers["c"].publish(routing_table(4))
    await feed.run(2.5)
    assert feed.revision == 4


async def test_updates_arrive_while_the_first_instance_is_unreachable(feed):
    feed.network.partition(["entry"], ["a"])
    feed.servers["b"].registry.announce(start(1))
    feed.servers["b"].publish(routing_table(4))
    await feed.run(5.0)
    assert feed.phases() == {1: Phase.READY}
    assert feed.revision == 4


async def test_a_restarted_control_instance_sends_all_starts_again(feed):
    feed.servers["a"].registry.announce(start(1))
    await feed.run(0.1)
    for name in "abc":
        feed.open_server(name, 50)
    feed.servers["a"].registry.announce(start(2))
    await feed.run(7.0)
    assert feed.phases() == {1: Phase.READY, 2: Phase.READY}


async def test_upstreams_that_no_control_instance_lists_turn_silent(feed):
    feed.servers["a"].registry.announce(start(1))
    await feed.run(0.1)
    for name in "abc":
        feed.open_server(name, 50)
    await feed.run(4.0)
    assert not feed.directory.is_silent(start(1))
    await feed.run(6.0)
    assert feed.directory.is_silent(start(1))


async def test_control_instances_count_their_subscribers(feed):
    await feed.run(1.5)
    assert feed.entry_count == 1


async def test_an_instance_may_stop_when_no_other_is_absent(feed):
    assert await feed.run_until_done(feed.client.wait_for_stop_permit(2.0))


async def test_a_stop_does_not_wait_for_unreachable_control_instances(feed):
    feed.network.partition(["entry"], ["a", "b", "c"])
    before_s = feed.clock.monotonic_s()
    assert not await feed.run_until_done(feed.client.wait_for_stop_permit(2.0))
    assert feed.clock.monotonic_s() - before_s < 3.0


async def test_a_new_subscriber_receives_the_restored_starts():
    """Guards against flows that stall until their upstream announces itself again."""
    feed = Feed("a")
    registry = feed.servers["a"].registry
    registry.add_restored((start(1), start(2)))
    registry.announce(start(2, sequence=2))
    await feed.run(0.5)
    assert feed.restored == [start(1)]
    registry.announce(start(1, sequence=2))
    await feed.run(1.5)
    assert feed.restored == [start(1)]
    assert set(feed.phases()) == {1, 2}
    await feed.close()


async def test_identical_starts_are_not_sent_again(feed):
    """Guards against sending 16,000 starts to every control every few seconds."""
    registries = [server.registry for server in feed.servers.values()]
    for number in range(1, 30):
        registries[number % 3].announce(start(number))
    await feed.run(4.0)
    assert all(len(announced_starts(registry)) == 29 for registry in registries)
    received = []
    for registry in registries:
        registry.receive = lambda starts, announced_ids: received.extend(starts)
    await feed.run(10.0)
    assert received == []


async def test_only_differing_starts_are_sent(feed):
    registries = [server.registry for server in feed.servers.values()]
    for number in range(1, 200):
        registries[number % 3].announce(start(number))
    await feed.run(4.0)
    for registry in registries[1:]:
        registry.receive((StartNews(start=start(500), is_silent=False),), ())
    received = []
    receive = registries[0].receive
    registries[0].receive = lambda starts, announced_ids: (
        received.extend(starts),
        receive(starts, announced_ids),
    )
    await feed.run(4.0)
    assert len(announced_starts(registries[0])) == 200
    assert 0 < len(received) < 40


async def test_a_new_subscriber_receives_a_long_list_in_bounded_answers():
    """Guards against a first answer that takes longer than the request time-out."""
    feed = Feed("a")
    registry = feed.servers["a"].registry
    for number in range(1, 3 * MAX_STARTS_PER_ANSWER):
        registry.announce(start(number, ip=f"127.20.{number // 250}.{number % 250}"))
    sizes = []
    on_answer = feed.client._on_answer

    def record(source, answer):
        sizes.append(len(answer.news))
        on_answer(source, answer)

    feed.client._on_answer = record
    await feed.run(1.0)
    assert len(feed.phases()) == 3 * MAX_STARTS_PER_ANSWER - 1
    assert max(sizes) <= MAX_STARTS_PER_ANSWER
    await feed.close()
