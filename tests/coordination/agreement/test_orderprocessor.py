"""Guards against orders that are lost, refused after acceptance, or held forever."""

import asyncio

import pytest

from arbutuslift.coordination.agreement.orderprocessor import OrderProcessor
from arbutuslift.errors import NoQuorum
from arbutuslift.state.agreedstate import PutConfiguration, SetInService

from ..cluster import Cluster


def put(version):
    return PutConfiguration(version=version, source=b"version %d" % version)


class Desks:
    """A desk at every member of a cluster."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.desks = {}
        self.tasks = []
        for name, member in cluster.members.items():
            desk = self.desks[name] = OrderProcessor(member, cluster.clock)
            self.tasks.append(asyncio.ensure_future(desk.run()))

    async def submit(self, name, *orders):
        work = [self.desks[name].submit(order) for order in orders]
        return await self.cluster.run_until_done(asyncio.gather(*work))

    async def current(self, name):
        return await self.cluster.run_until_done(self.desks[name].current())

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.cluster.close()


@pytest.fixture
async def desks():
    cluster = Cluster()
    cluster.start()
    await cluster.leader()
    opened = Desks(cluster)
    yield opened
    await opened.close()


async def test_orders_that_arrive_together_share_a_revision(desks):
    revisions = await desks.submit("a", put(3), put(7), put(5))
    assert revisions == [1, 1, 1]
    assert (await desks.current("b")).version == 7


async def test_a_resend_is_acknowledged_and_changes_nothing(desks):
    await desks.submit("a", put(3))
    assert await desks.submit("b", put(3)) == [1]
    assert await desks.submit("c", put(2)) == [1]
    assert (await desks.current("c")).source == b"version 3"


async def test_two_operators_at_two_instances_both_get_their_acknowledgement(desks):
    out = SetInService(data_centre="dc-1", in_service=False)
    work = [desks.desks["a"].submit(put(4)), desks.desks["b"].submit(out)]
    await desks.cluster.run_until_done(asyncio.gather(*work))
    state = await desks.current("c")
    assert (state.version, state.out_of_service) == (4, ("dc-1",))


async def test_without_a_quorum_nothing_is_acknowledged_or_read(desks):
    leader = await desks.cluster.leader()
    desks.cluster.isolate(leader)
    with pytest.raises(NoQuorum):
        await desks.submit(leader, put(3))
    with pytest.raises(NoQuorum):
        await desks.current(leader)


async def test_a_desk_that_closes_leaves_no_caller_waiting(desks):
    desks.cluster.isolate("a")
    waiting = asyncio.ensure_future(desks.desks["a"].submit(put(3)))
    await desks.cluster.run(0.1)
    desks.tasks[0].cancel()
    with pytest.raises(NoQuorum):
        await desks.cluster.run_until_done(waiting)
