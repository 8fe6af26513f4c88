"""Simulation of many joined instances in one process on virtual time."""

import asyncio
import gc
import heapq
import logging
import random

import structlog

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.dissemination.groupmembership import GroupMembership
from arbutuslift.protocol.channel import Channel
from arbutuslift.protocol.document import Document, to_canonical_json
from arbutuslift.state.instances import InstanceRecord, RevisionMark
from arbutuslift.state.registers import UpstreamRegister
from arbutuslift.state.revisionstore import MemoryRevisionStore, SavedRevision
from arbutuslift.state.upstreams import UpstreamRecord, UpstreamState, UpstreamView
from arbutuslift.transport.bus import MemoryNetwork

MEMBERS = 5
# The revision in effect on all instances at the start.
FIRST_REVISION = 1
# Headers of TCP, IP and ZeroMQ, and the name of the sender.
MESSAGE_OVERHEAD_BYTES = 80
STEP_S = 0.005


class CoarseClock(ManualClock):
    """Wakes sleepers in steps, which shortens the run of many instances."""

    async def advance(self, duration_s: float) -> None:
        """Move time forward; sleepers wake up to one step late."""
        end_s = self._now_s + duration_s
        await self.run_ready_tasks()
        while self._sleepers and self._sleepers[0][0] <= end_s:
            due_s = min(end_s, self._sleepers[0][0] + STEP_S)
            self._now_s = max(self._now_s, due_s)
            while self._sleepers and self._sleepers[0][0] <= due_s:
                _, _, wake = heapq.heappop(self._sleepers)
                if not wake.done():
                    wake.set_result(None)
            await self.run_ready_tasks()
        self._now_s = end_s


class CountingNetwork(MemoryNetwork):
    """Counts messages and bytes in both directions."""

    def __init__(self, clock: ManualClock, delay_s: float) -> None:
        super().__init__(clock, delay_s)
        self.messages = 0
        self.size_bytes = 0

    async def deliver(self, sender: str, peer: str, body: bytes) -> bytes | None:
        """Deliver a message and count it and its answer."""
        self._count(body)
        answer = await super().deliver(sender, peer, body)
        if answer is not None:
            self._count(answer)
        return answer

    def _count(self, body: bytes) -> None:
        self.messages += 1
        self.size_bytes += len(body) + MESSAGE_OVERHEAD_BYTES


class Node:
    """One simulated instance."""

    def __init__(self, network: CountingNetwork, own: InstanceRecord) -> None:
        self.name = own.name
        self.data_centre = own.data_centre
        self.upstreams = UpstreamView()
        self.membership = GroupMembership(
            network.clock,
            Channel(network.bus(own.name)),
            own,
            lambda: None,
            registers=[UpstreamRegister(self.upstreams)],
            store=_store_with_first_revision(),
            rng=random.Random(own.name),
        )
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start gossip and failure detection without the message exchange of a join."""
        self.membership.join.is_joined = True
        self.membership.revision_distributor.accept_from_peers()
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop immediately."""
        if self._task:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self.membership.revision_distributor.close()

    async def _run(self) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(self.membership.gossip.run())
            group.create_task(self.membership.failure_detector.run())


class Population:
    """Instances whose views already contain each other.

    Args:
        count: Number of instances.
        data_centres: Number of data centres.
        upstreams: Records that every instance holds.
        delay_s: One-way delay of every message.
        is_first_only: Build only the first instance, whose view contains all others.
    """

    def __init__(
        self,
        count: int,
        data_centres: int = 3,
        upstreams: int = 0,
        delay_s: float = 0.05,
        *,
        is_first_only: bool = False,
    ) -> None:
        structlog.configure(
            wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
        )
        self.clock = CoarseClock()
        self.network = CountingNetwork(self.clock, delay_s)
        records = [
            InstanceRecord(
                name=f"entry-{number}",
                incarnation=1,
                data_centre=f"dc-{number % data_centres}",
                endpoint=f"tcp://127.0.{number // 250}.{1 + number % 250}:7300",
                is_member=number < MEMBERS,
            )
            for number in range(count)
        ]
        built = records[:1] if is_first_only else records
        self.nodes = [Node(self.network, record) for record in built]
        self.upstreams = [make_upstream(number) for number in range(upstreams)]
        # Garbage collection over millions of records takes longer than adding them.
        gc.disable()
        for node in self.nodes:
            self._fill(node, records)
        gc.freeze()
        gc.enable()

    async def start(self, warm_up_s: float = 3.0) -> None:
        """Start all instances and advance virtual time."""
        for node in self.nodes:
            node.start()
        await self.clock.advance(warm_up_s)

    async def stop(self) -> None:
        """Stop all instances."""
        for node in self.nodes:
            await node.stop()
        gc.unfreeze()

    def _fill(self, node: Node, records: list[InstanceRecord]) -> None:
        gossip = node.membership.gossip
        for record in records:
            node.membership.instances.merge(record)
            gossip.record_changed("instance", record.name, is_unknown_to_peers=False)
            if record.data_centre == node.data_centre:
                mark = RevisionMark(name=record.name, revision=FIRST_REVISION)
                node.membership.reported_revisions.merge(mark)
                gossip.record_changed(
                    "revision", record.name, is_unknown_to_peers=False
                )
        for upstream in self.upstreams:
            node.upstreams.merge(upstream)
            gossip.record_changed(
                "upstream", upstream.upstream_id, is_unknown_to_peers=False
            )


def _store_with_first_revision() -> MemoryRevisionStore:
    store = MemoryRevisionStore()
    document = to_canonical_json(Document())
    store.save(SavedRevision(revision=FIRST_REVISION, document=document))
    return store


def make_upstream(number: int) -> UpstreamRecord:
    """Return the record of an upstream."""
    return UpstreamRecord(
        upstream_id=f"{number:032x}",
        name=f"upstream-{number}",
        data_centre=f"dc-{number % 12}",
        address=f"127.20.{number // 250}.{1 + number % 250}",
        port=6081,
        service=f"service-{number // 8}",
        work_kinds=("any",),
        state=UpstreamState.READY,
        sequence=1,
    )
