"""Guards against an agreed configuration that ends every process that reads it."""

import asyncio
import json

import pytest
from adapter.configurations import routing_table

from arbutuslift.coordination.agreement.orderprocessor import OrderProcessor
from arbutuslift.coordination.applicabletables import ApplicableTables
from arbutuslift.state.agreedstate import (
    MAX_VERSION,
    AgreedState,
    PutConfiguration,
    SetInService,
    apply_order,
)
from arbutuslift.state.configuration import ConfigurationState, Submission

from ..platform.test_configurations import CONFIGURATION
from .cluster import Cluster

TAKE_OUT = SetInService(data_centre="dc-1", in_service=False)


def good(version):
    content = json.dumps(CONFIGURATION | {"version": version})
    return PutConfiguration(version=version, source=content.encode())


def poison(version):
    """An order that an earlier version accepted, with a number of 21 digits."""
    (first, *others) = CONFIGURATION["routes"]
    routes = [first | {"priority": 10**20}, *others]
    content = json.dumps(CONFIGURATION | {"version": version, "routes": routes})
    return PutConfiguration(version=version, source=content.encode())


class Revisions:
    """Agreed revisions, one for each order."""

    def __init__(self, *orders):
        self.agreed = ConfigurationState()
        self.state = AgreedState()
        for order in orders:
            self.add(order)

    def add(self, order):
        self.state = apply_order(order, self.state)
        submission = Submission(
            document=self.state.encode(),
            expected_revision=self.agreed.revision,
            request_id=f"r{self.agreed.revision}",
            author="a",
            submitted_at_s=0.0,
        )
        self.agreed.apply(submission)

    def table(self, tables=None):
        tables = tables or ApplicableTables(routing_table)
        return tables.table_of(self.agreed.newest, lambda: self.agreed.history(1000))


def test_the_last_configuration_that_can_be_read_stays_in_effect():
    table = Revisions(good(1), good(3), poison(5), TAKE_OUT).table()
    assert (table.revision, table.version) == (4, 3)
    assert table.out_of_service == {"dc-1"}


def test_a_newer_configuration_mends_it():
    tables = ApplicableTables(routing_table)
    revisions = Revisions(good(1), poison(5))
    assert revisions.table(tables).version == 1
    assert tables.unusable_version == 5
    revisions.add(good(6))
    assert revisions.table(tables).version == 6
    assert tables.unusable_version == 0


def test_without_any_usable_configuration_there_is_no_table():
    assert Revisions(poison(1), TAKE_OUT).table() is None
    assert Revisions(poison(1), good(2)).table().version == 2


def test_a_member_that_starts_from_a_snapshot_decides_alike():
    """Guards against members that diverge after a restart or a rolling upgrade."""
    revisions = Revisions(good(1), poison(5), TAKE_OUT, poison(7))
    table = revisions.table()
    revisions.agreed = ConfigurationState.decode(revisions.agreed.encode())
    assert revisions.table() == table


def test_a_version_out_of_range_does_not_shut_out_later_ones():
    revisions = Revisions(good(1), poison(MAX_VERSION + 1), good(2))
    assert revisions.table().version == 2


@pytest.mark.parametrize("document", [b"", b"\xff", b"\x83\xa7version\xff"])
def test_a_state_that_cannot_be_decoded_puts_nothing_in_effect(document):
    revisions = Revisions(good(1))
    submission = Submission(
        document=document,
        expected_revision=1,
        request_id="x",
        author="a",
        submitted_at_s=0.0,
    )
    revisions.agreed.apply(submission)
    assert revisions.table() is None


async def test_members_agree_during_a_rolling_restart_over_such_an_entry():
    """Guards against members that diverge, or an order that can't mend the log."""
    cluster = Cluster()
    cluster.start()
    await cluster.leader()

    async def order(name, order):
        processor = OrderProcessor(cluster.members[name], cluster.clock)
        task = asyncio.ensure_future(processor.run())
        await cluster.run_until_done(processor.submit(order))
        task.cancel()

    async def versions():
        tables = []
        for member in cluster.members.values():
            newest = await cluster.run_until_done(member.current())
            tables.append(
                ApplicableTables(routing_table).table_of(newest, member.revisions)
            )
        assert all(table == tables[0] for table in tables)
        return [table.version for table in tables]

    for each in (good(1), poison(5), TAKE_OUT):
        await order("a", each)
    for name in cluster.names:
        assert await versions() == [1, 1, 1]
        await cluster.kill(name)
        await cluster.run(2.0)
        cluster.start(name)
        await cluster.run(2.0)
    await order("b", good(6))
    assert await versions() == [6, 6, 6]
    await cluster.close()
