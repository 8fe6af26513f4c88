"""Guards against orders that are lost, refused after acceptance, or never answered."""

import asyncio

import pytest

from arbutuslift.coordination.agreement.orderprocessor import OrderProcessor
from arbutuslift.errors import NoQuorum
from arbutuslift.state.agreedstate import PutConfiguration, SetInService

from ..cluster import Cluster


def put(version):
    return PutConfiguration(version=version, source=b"version %d" % version)


class ProcessorCluster:
    """A cluster with an order processor at every member."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.processors = {}
        self.tasks = []
        for name, member in cluster.members.items():
            processor = self.processors[name] = OrderProcessor(member, cluster.clock)
            self.tasks.append(asyncio.ensure_future(processor.run()))

    async def submit(self, name, *orders):
        work = [self.processors[name].submit(order) for order in orders]
        return await self.cluster.run_until_done(asyncio.gather(*work))

    async def current(self, name):
        return await self.cluster.run_until_done(self.processors[name].current())

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.cluster.close()


@pytest.fixture
async def processor_cluster():
    cluster = Cluster()
    cluster.start()
    await cluster.leader()
    opened = ProcessorCluster(cluster)
    yield opened
    await opened.close()


async def test_orders_that_arrive_together_share_a_revision(processor_cluster):
    revisions = await processor_cluster.submit("a", put(3), put(7), put(5))
    assert revisions == [1, 1, 1]
    assert (await processor_cluster.current("b")).version == 7


async def test_a_repeated_order_is_acknowledged_and_changes_nothing(processor_cluster):
    await processor_cluster.submit("a", put(3))
    assert await processor_cluster.submit("b", put(3)) == [1]
    assert await processor_cluster.submit("c", put(2)) == [1]
    assert (await processor_cluster.current("c")).source == b"version 3"


async def test_concurrent_orders_at_two_instances_are_both_acknowledged(
    processor_cluster,
):
    out = SetInService(data_centre="dc-1", in_service=False)
    work = [
        processor_cluster.processors["a"].submit(put(4)),
        processor_cluster.processors["b"].submit(out),
    ]
    await processor_cluster.cluster.run_until_done(asyncio.gather(*work))
    state = await processor_cluster.current("c")
    assert (state.version, state.out_of_service) == (4, ("dc-1",))


async def test_without_a_quorum_nothing_is_acknowledged_or_read(processor_cluster):
    leader = await processor_cluster.cluster.leader()
    processor_cluster.cluster.isolate(leader)
    with pytest.raises(NoQuorum):
        await processor_cluster.submit(leader, put(3))
    with pytest.raises(NoQuorum):
        await processor_cluster.current(leader)


async def test_orders_pending_at_a_closed_processor_fail(processor_cluster):
    processor_cluster.cluster.isolate("a")
    pending = asyncio.ensure_future(processor_cluster.processors["a"].submit(put(3)))
    await processor_cluster.cluster.run(0.1)
    processor_cluster.tasks[0].cancel()
    with pytest.raises(NoQuorum):
        await processor_cluster.cluster.run_until_done(pending)
