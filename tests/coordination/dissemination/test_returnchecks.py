"""Data centres that come back into service, and what was known of them before."""

import pytest
from attrs import evolve

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.concurrency import TaskSet
from arbutuslift.coordination.dissemination.reportserver import MAX_IDS, ReportServer
from arbutuslift.coordination.dissemination.returnchecks import ReturnChecks
from arbutuslift.coordination.dissemination.startregistry import StartRegistry
from arbutuslift.protocol.channel import Channel
from arbutuslift.state.agreedstate import AgreedState
from arbutuslift.state.configuration import StoredRevision
from arbutuslift.state.routingtable import ServiceLimits
from arbutuslift.transport.bus import MemoryNetwork

from ...builders import routing_table, start
from ..cluster import submission

COLD_START_S = 2.0
LIMITS = ServiceLimits(
    name="alerts",
    max_connections=2000,
    cold_new_flows_per_s=4.0,
    cold_start_s=COLD_START_S,
)
CONTROLS = ("c1", "c2")


def table(revision, *out_of_service, limits=LIMITS):
    return routing_table(
        revision, services=(limits,), out_of_service=frozenset(out_of_service)
    )


def agreed(revision, *out_of_service):
    sent = submission(f"r{revision}", revision - 1)
    document = AgreedState(version=1, out_of_service=out_of_service).encode()
    return StoredRevision(revision=revision, submission=evolve(sent, document=document))


class System:
    """Two control instances and an entry instance, of which each has the tables."""

    def __init__(self):
        self.clock = ManualClock()
        self.network = MemoryNetwork(self.clock)
        self.registries = {}
        self.servers = {}
        self.history = []
        for name in CONTROLS:
            registry = StartRegistry(self.clock, 1.0, lambda: None)
            self.registries[name] = registry
            self.servers[name] = ReportServer(
                Channel(self.network.bus(name)), self.clock, registry, table(1)
            )
        self.tasks = TaskSet(self.fail)
        self.changes = 0
        self.entry_count = 1
        self.sequence = 0
        self.checks = self.new_checks()
        self.checks.apply(table(1))

    def new_checks(self):
        return ReturnChecks(
            Channel(self.network.bus("entry")),
            self.clock,
            self.tasks.spawn,
            lambda: CONTROLS,
            lambda: self.entry_count,
            self.count_change,
        )

    def count_change(self):
        self.changes += 1

    def fail(self, error):
        raise error

    def publish(self, new, *names):
        for name in names or CONTROLS:
            self.servers[name].publish(new, lambda: self.history)

    def report(self, number, control="c1", sent_after_s=None, **fields):
        self.sequence += 1
        fields = {"data_centre": "dc-1", "sequence": self.sequence, **fields}
        record = start(number, **fields)
        self.registries[control].announce(record, sent_after_s=sent_after_s)

    def is_doubtful(self, number):
        return self.checks.is_doubtful(start(number, data_centre="dc-1"), LIMITS)

    async def settle(self):
        await self.clock.advance(0.01)
        self.report(1)
        self.report(2)
        self.is_doubtful(1)
        await self.clock.advance(1.0)
        assert not self.is_doubtful(1)

    async def take_out_and_back(self):
        self.publish(table(2, "dc-1"))
        self.checks.apply(table(2, "dc-1"))
        await self.clock.advance(6.0)
        self.report(1)
        self.report(2)
        self.publish(table(3))
        self.checks.apply(table(3))
        await self.clock.advance(0.01)


@pytest.fixture
async def system():
    opened = System()
    yield opened
    await opened.tasks.close()


async def expect_doubt_until_a_report(system):
    assert system.is_doubtful(1)
    await system.clock.advance(0.5)
    assert system.is_doubtful(1)
    system.report(1)
    await system.clock.advance(0.2)
    assert not system.is_doubtful(1)


async def test_after_a_return_an_upstream_is_in_doubt_until_it_reports(system):
    """Guards against a cold upstream that gets the flows of a warm one."""
    await system.settle()
    await system.take_out_and_back()
    await expect_doubt_until_a_report(system)
    assert system.is_doubtful(2)


async def test_any_control_instance_that_heard_the_report_is_enough(system):
    await system.settle()
    await system.take_out_and_back()
    system.report(1, "c2")
    assert system.is_doubtful(1)
    await system.clock.advance(0.2)
    assert not system.is_doubtful(1)


async def test_a_report_that_was_held_up_ends_no_doubt(system):
    """Guards against a report of before the return that is read after it."""
    await system.settle()
    opened_s = system.clock.monotonic_s()
    await system.take_out_and_back()
    system.report(1, sent_after_s=opened_s)
    assert system.is_doubtful(1)
    await system.clock.advance(0.5)
    await expect_doubt_until_a_report(system)


async def test_a_later_report_on_an_older_connection_begins_no_doubt(system):
    """Guards against a doubt that comes back, since an upstream keeps connections."""
    await system.settle()
    opened_s = system.clock.monotonic_s()
    await system.take_out_and_back()
    system.report(1)
    system.report(1, sent_after_s=opened_s)
    assert system.is_doubtful(1)
    await system.clock.advance(0.2)
    assert not system.is_doubtful(1)


async def test_a_report_of_a_cold_upstream_ends_no_doubt(system):
    """Guards against an answer that overtakes the news of the cold start."""
    await system.settle()
    await system.take_out_and_back()
    system.report(1, "c2", warm_up_left_ms=1500)
    assert system.is_doubtful(1)
    await system.clock.advance(0.5)
    assert system.is_doubtful(1)
    system.report(1, "c2")
    await system.clock.advance(0.2)
    assert not system.is_doubtful(1)


async def test_what_another_control_instance_heard_ends_no_doubt(system):
    """Guards against a report of before the return that is heard of after it."""
    await system.settle()
    await system.take_out_and_back()
    heard = (start(1, data_centre="dc-1").upstream_id,)
    for _ in range(5):
        assert system.is_doubtful(1)
        await system.clock.advance(0.3)
        system.registries["c1"].receive((), heard)
    await system.clock.advance(0.2)
    assert system.is_doubtful(1)


async def test_each_report_while_out_of_service_gets_a_connection(system):
    """Guards against warm upstreams in doubt until their second report."""
    server, clock = system.servers["c1"], system.clock
    upstream = start(1, data_centre="dc-1")
    await clock.advance(0.01)
    opened_s = clock.monotonic_s()
    assert not server.needs_new_connection(upstream, opened_s)
    system.publish(table(2, "dc-1"))
    assert server.needs_new_connection(upstream, opened_s)
    await clock.advance(1.0)
    assert server.needs_new_connection(upstream, clock.monotonic_s())
    system.publish(table(3))
    assert server.needs_new_connection(upstream, clock.monotonic_s())
    await clock.advance(0.01)
    assert not server.needs_new_connection(upstream, clock.monotonic_s())
    other = start(2, data_centre="dc-2")
    assert not server.needs_new_connection(other, opened_s)


async def test_without_a_limit_no_connection_is_renewed(system):
    """Guards against new connections that nothing is gained by."""
    unlimited = evolve(LIMITS, cold_new_flows_per_s=0.0)
    system.publish(table(2, "dc-1", limits=unlimited))
    upstream = start(1, data_centre="dc-1")
    assert not system.servers["c1"].needs_new_connection(upstream, 0.0)


async def test_without_an_answer_the_doubt_ends_with_the_longest_cold_start(system):
    """Guards against a data centre that isn't used as long as control is away."""
    await system.settle()
    await system.take_out_and_back()
    system.network.partition(["entry"], list(CONTROLS))
    assert system.is_doubtful(1)
    await system.clock.advance(COLD_START_S)
    assert system.is_doubtful(1)
    await system.clock.advance(0.5)
    assert not system.is_doubtful(1)


async def test_a_table_missed_in_between_may_have_taken_any_data_centre_out(system):
    """Guards against an instance that was cut off while a data centre was out."""
    await system.settle()
    system.publish(table(2, "dc-1"))
    await system.clock.advance(6.0)
    system.report(1)
    system.publish(table(3))
    system.checks.apply(table(3))
    await expect_doubt_until_a_report(system)


async def test_one_answer_clears_a_data_centre_that_was_in_service(system):
    """Guards against warm upstreams that get few flows after each reconnection."""
    await system.settle()
    system.history = [agreed(2)]
    system.publish(table(3))
    system.checks.apply(table(3))
    assert system.is_doubtful(1)
    await system.clock.advance(0.02)
    assert not system.is_doubtful(1)
    assert system.changes


async def test_control_sees_a_return_in_revisions_that_had_no_table(system):
    """Guards against a return that is missed since two revisions came together."""
    await system.settle()
    system.history = [agreed(3), agreed(2, "dc-1")]
    system.publish(table(3))
    system.checks.apply(table(3))
    assert system.is_doubtful(1)
    await system.clock.advance(0.5)
    assert system.is_doubtful(1)


async def test_control_that_misses_a_revision_takes_all_for_returned(system):
    await system.settle()
    system.publish(table(4))
    system.checks.apply(table(4))
    assert system.is_doubtful(1)
    await system.clock.advance(0.5)
    assert system.is_doubtful(1)


async def test_control_with_an_older_table_clears_nothing(system):
    """Guards against an answer of an instance that hasn't heard of the return."""
    await system.settle()
    system.publish(table(2, "dc-1"), "c1")
    system.checks.apply(table(2, "dc-1"))
    await system.clock.advance(6.0)
    system.report(1)
    system.publish(table(3), "c1")
    system.checks.apply(table(3))
    assert system.is_doubtful(1)
    await system.clock.advance(0.5)
    assert system.is_doubtful(1)


async def test_an_instance_that_starts_asks_before_it_trusts(system):
    """Guards against a start just after a return."""
    await system.settle()
    await system.take_out_and_back()
    system.checks = system.new_checks()
    assert system.is_doubtful(1)
    system.checks.apply(table(3))
    await expect_doubt_until_a_report(system)


async def test_many_instances_ask_less_often(system):
    """Guards against control instances that all entry instances keep busy."""
    await system.settle()
    system.entry_count = 300
    await system.take_out_and_back()
    assert system.is_doubtful(1)
    await system.clock.advance(0.1)
    assert system.is_doubtful(1)
    system.report(1)
    await system.clock.advance(0.2)
    assert system.is_doubtful(1)
    await system.clock.advance(0.9)
    assert not system.is_doubtful(1)


async def test_more_upstreams_than_an_answer_holds_are_told_in_several(system):
    await system.settle()
    await system.take_out_and_back()
    await system.clock.advance(0.01)
    for number in range(3, MAX_IDS + 10):
        system.report(number)
    assert system.is_doubtful(MAX_IDS + 9)
    await system.clock.advance(0.01)
    await system.clock.advance(0.2)
    assert not any(system.is_doubtful(n) for n in range(3, MAX_IDS + 10))
