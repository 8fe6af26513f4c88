"""Guards against orders that are lost, refused after acceptance, or never answered."""

import asyncio

import pytest

from arbutuslift.coordination.agreement.orderprocessor import (
    SENDER_PATIENCE_S,
    OrderProcessor,
    OrderSender,
)
from arbutuslift.errors import ConfigurationConflict, NoQuorum, OrderAbandoned
from arbutuslift.state.agreedstate import PutConfiguration, SetInService

from ..cluster import Cluster


def put(version):
    return PutConfiguration(version=version, source=b"version %d" % version)


TAKE_OUT = SetInService(data_centre="dc-1", in_service=False)
TAKE_BACK = SetInService(data_centre="dc-1", in_service=True)


class ProcessorCluster:
    """A cluster with an order processor at every member."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.processors = {}
        self.tasks = []
        for name, member in cluster.members.items():
            processor = self.processors[name] = OrderProcessor(member, cluster.clock)
            self.tasks.append(asyncio.ensure_future(processor.run()))

    async def submit(self, name, *orders, sender=None):
        work = [self.processors[name].submit(order, sender) for order in orders]
        return await self.cluster.run_until_done(asyncio.gather(*work))

    async def current(self, name):
        return await self.cluster.run_until_done(self.processors[name].current())

    def sender(self, *, age_s=0.0, is_connected=lambda: True):
        arrived_s = self.cluster.clock.boottime_s() - age_s
        return OrderSender(arrived_s=arrived_s, is_connected=is_connected)

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
    work = [
        processor_cluster.processors["a"].submit(put(4)),
        processor_cluster.processors["b"].submit(TAKE_OUT),
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


@pytest.mark.parametrize("late", [TAKE_OUT, TAKE_BACK])
async def test_an_order_that_waited_in_a_frozen_process_is_not_carried_out(
    processor_cluster, late
):
    """Guards against a data centre that returns by an order that was given up."""
    newest = TAKE_OUT if late is TAKE_BACK else TAKE_BACK
    await processor_cluster.submit("a", TAKE_OUT, newest)
    sender = processor_cluster.sender(age_s=SENDER_PATIENCE_S)
    with pytest.raises(OrderAbandoned):
        await processor_cluster.submit("b", late, sender=sender)
    state = await processor_cluster.current("c")
    assert state.out_of_service == (() if newest is TAKE_BACK else ("dc-1",))


async def test_an_order_whose_sender_has_closed_the_connection_is_not_carried_out(
    processor_cluster,
):
    """Guards against an order that a partition held up, with the end behind it."""
    await processor_cluster.submit("a", TAKE_OUT)
    sender = processor_cluster.sender(is_connected=lambda: False)
    with pytest.raises(OrderAbandoned):
        await processor_cluster.submit("b", TAKE_BACK, sender=sender)
    assert (await processor_cluster.current("c")).out_of_service == ("dc-1",)


async def test_an_order_is_not_merged_anew_after_its_sender_has_given_up(
    processor_cluster, monkeypatch
):
    """Guards against a pending order on top of newer ones after a conflict."""
    is_connected = True
    member = processor_cluster.cluster.members["b"]
    submit = member.submit

    async def submit_after_newer_orders(submission):
        nonlocal is_connected
        monkeypatch.setattr(member, "submit", submit)
        await processor_cluster.processors["a"].submit(TAKE_OUT)
        is_connected = False
        raise ConfigurationConflict("a newer revision", current=None, step="submit")

    await processor_cluster.submit("a", TAKE_OUT)
    monkeypatch.setattr(member, "submit", submit_after_newer_orders)
    sender = processor_cluster.sender(is_connected=lambda: is_connected)
    with pytest.raises(OrderAbandoned):
        await processor_cluster.submit("b", TAKE_BACK, sender=sender)
    assert (await processor_cluster.current("c")).out_of_service == ("dc-1",)


async def test_an_order_that_waited_for_a_quorum_too_long_is_not_carried_out(
    processor_cluster, monkeypatch
):
    """Guards against an order that is carried out when a partition ends."""
    await processor_cluster.submit("a", TAKE_OUT)
    member = processor_cluster.cluster.members["b"]
    read = member.current

    async def read_after_a_partition():
        await processor_cluster.cluster.clock.sleep(SENDER_PATIENCE_S)
        return await read()

    monkeypatch.setattr(member, "current", read_after_a_partition)
    sender = processor_cluster.sender()
    with pytest.raises(OrderAbandoned):
        await processor_cluster.submit("b", TAKE_BACK, sender=sender)
    assert (await processor_cluster.current("c")).out_of_service == ("dc-1",)


async def test_an_order_of_a_waiting_sender_and_a_late_configuration_are_carried_out(
    processor_cluster,
):
    """Guards against a refusal of orders that nothing has superseded."""
    sender = processor_cluster.sender()
    await processor_cluster.submit("a", TAKE_OUT, sender=sender)
    late = processor_cluster.sender(age_s=60.0, is_connected=lambda: False)
    await processor_cluster.submit("b", put(4), sender=late)
    state = await processor_cluster.current("c")
    assert (state.version, state.out_of_service) == (4, ("dc-1",))
