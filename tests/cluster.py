"""Several instances in one process, connected by an in-memory network with faults."""

import asyncio
import random

from attrs import frozen

from arbutuslift.coordination.dissemination.groupmembership import GroupMembership
from arbutuslift.coordination.dissemination.join import Seed
from arbutuslift.protocol.channel import Channel
from arbutuslift.state.instances import InstanceRecord
from arbutuslift.state.loads import LoadRegister
from arbutuslift.state.registers import UpstreamRegister
from arbutuslift.state.upstreams import UpstreamView
from arbutuslift.transport.bus import MemoryNetwork


@frozen(kw_only=True)
class Faults:
    """Probabilities per message, and the longest additional delay."""

    loss: float = 0.0
    duplication: float = 0.0
    delay_s: float = 0.0


class FaultyNetwork(MemoryNetwork):
    """Network that loses, delays, reorders and duplicates messages pseudo-randomly."""

    def __init__(self, clock, seed=1):
        super().__init__(clock)
        self.faults = Faults()
        self.rng = random.Random(seed)
        self.sizes = []

    async def deliver(self, sender, peer, body):
        self.sizes.append(len(body))
        if self.rng.random() < self.faults.loss:
            return await asyncio.get_running_loop().create_future()
        if self.rng.random() < self.faults.duplication:
            again = super().deliver(sender, peer, body)
            asyncio.create_task(asyncio.wait_for(again, 0.1))
        await self.clock.sleep(self.rng.uniform(0, self.faults.delay_s))
        return await super().deliver(sender, peer, body)


class Node:
    """An instance with its bus and its membership of the group."""

    def __init__(self, cluster, name, data_centre, incarnation, store, seed):
        self.name = name
        self.data_centre = data_centre
        self.upstreams = UpstreamView()
        self.loads = LoadRegister(self.upstreams)
        self.superseded = []
        self.revisions = []
        self.bus = cluster.network.bus(name)
        own = InstanceRecord(
            name=name,
            incarnation=incarnation,
            data_centre=data_centre,
            endpoint=f"memory:{name}:{incarnation}",
            is_member=name in cluster.members,
        )
        self.membership = GroupMembership(
            cluster.clock,
            Channel(self.bus),
            own,
            lambda: self.superseded.append(name),
            registers=[UpstreamRegister(self.upstreams), self.loads],
            store=store,
            seeds=[Seed(member, "memory") for member in cluster.members],
            members=lambda: cluster.members,
            rng=random.Random(seed),
        )
        self.membership.active_configuration.on_change(
            lambda configuration: self.revisions.append(configuration.revision)
        )
        self.task = None

    @property
    def revision(self):
        return self.membership.active_configuration.revision

    @property
    def alive(self):
        return {record.name for record in self.membership.instances.alive_instances()}

    def start(self):
        self.task = asyncio.create_task(self.membership.run())


class Cluster:
    """Nine instances in three data centres; the first three are members."""

    def __init__(self, clock, count=9, seed=1):
        self.clock = clock
        self.network = FaultyNetwork(clock, seed)
        self.rng = random.Random(seed)
        self.names = [f"entry-{number}" for number in range(count)]
        self.members = self.names[:3]
        self.nodes = {}
        self.stores = {}
        self.incarnation = 0

    def add(self, name):
        self.incarnation += 1
        centre = f"dc-{1 + self.names.index(name) % 3}"
        node = Node(
            self,
            name,
            centre,
            self.incarnation,
            self.stores.get(name),
            self.rng.random(),
        )
        self.nodes[name] = node
        node.start()
        return node

    async def start(self):
        for name in self.names:
            self.add(name)
        await self.clock.advance(4.0)
        return self

    def __getitem__(self, number):
        return self.nodes[self.names[number]]

    def __iter__(self):
        return iter(self.nodes.values())

    def names_in(self, data_centre):
        return [node.name for node in self if node.data_centre == data_centre]

    async def kill(self, number):
        node = self.nodes.pop(self.names[number])
        self.network.remove(node.name)
        node.task.cancel()
        await asyncio.gather(node.task, return_exceptions=True)
        await node.bus.close()
        return node

    async def close(self):
        for number, name in enumerate(self.names):
            if name in self.nodes:
                await self.kill(number)

    async def run_until(self, condition, timeout_s):
        """Advance the clock until the condition holds, and return the elapsed time."""
        start_s = self.clock.monotonic_s()
        while not condition():
            elapsed_s = self.clock.monotonic_s() - start_s
            assert elapsed_s < timeout_s, "condition not reached in virtual time"
            await self.clock.advance(0.1)
        return self.clock.monotonic_s() - start_s
