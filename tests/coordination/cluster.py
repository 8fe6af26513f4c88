"""Cluster of members of the replicated log on a manual clock, with fault injection."""

import asyncio
import heapq
import random

from arbutuslift.clock import Clock, ManualClock
from arbutuslift.coordination.agreement.member import Member
from arbutuslift.protocol.channel import Channel
from arbutuslift.state.configuration import Submission
from arbutuslift.state.storage import MemberStorage
from arbutuslift.tracer import NoOpTracer
from arbutuslift.transport.bus import MemoryNetwork

STEP_S = 0.05
LIMIT_S = 60.0


def submission(request_id, expected_revision=0, document=None, author="ops"):
    return Submission(
        document=(document or f"document of {request_id}").encode(),
        expected_revision=expected_revision,
        request_id=request_id,
        author=author,
        submitted_at_s=0.0,
    )


class RecordingTracer(NoOpTracer):
    """Records the spans of changes."""

    def __init__(self):
        self.spans = []

    def change_span(self, name, request_id):
        self.spans.append((name, request_id))
        return super().change_span(name, request_id)


class PruningClock(ManualClock):
    """Drops sleeps that were cancelled, such as timeouts of answered requests."""

    async def advance(self, duration_s):
        self._sleepers = [entry for entry in self._sleepers if not entry[2].done()]
        heapq.heapify(self._sleepers)
        await super().advance(duration_s)


class ProcessClock(Clock):
    """Clock of one process; no sleep ends while the process is frozen."""

    def __init__(self, clock):
        self._clock = clock
        self.running = asyncio.Event()
        self.running.set()

    def monotonic_s(self):
        return self._clock.monotonic_s()

    def wall_s(self):
        return self._clock.wall_s()

    async def sleep(self, duration_s):
        await self._clock.sleep(duration_s)
        await self.running.wait()


class Cluster:
    """Runs members on a memory network.

    Args:
        names: Names of the initial members.
        seed: Seed of the random generators.
        identities: Fixed identities by name, as if disks had no identity of their own;
            random ones without it.
        membership_policy: Policy of the members.
        timing: Intervals of the members.
    """

    def __init__(
        self,
        names=("a", "b", "c"),
        seed=1,
        identities=None,
        membership_policy=None,
        timing=None,
    ):
        self.membership_policy = membership_policy
        self.timing = timing
        self.clock = PruningClock()
        self.network = MemoryNetwork(self.clock)
        self.names = tuple(names)
        self.rng = random.Random(seed)
        self.tracer = RecordingTracer()
        self.members = {}
        self.storages = {}
        self.reported = {}
        self._clocks = {}
        self._identities = identities or {}

    def start(self, *names, initial=None):
        for name in names or self.names:
            if name not in self.storages:
                identity = self._identities.get(name)
                self.storages[name] = MemberStorage.in_memory(identity)
            clock = self._clocks[name] = ProcessClock(self.clock)
            channel = Channel(self.network.bus(name))
            member = Member(
                name=name,
                storage=self.storages[name],
                channel=channel,
                clock=clock,
                rng=random.Random(self.rng.random()),
                initial_member_names=self.names if initial is None else initial,
                tracer=self.tracer,
                membership_policy=self.membership_policy,
                timing=self.timing,
                intent=self.intent_of(name),
                data_centre=self.data_centre_of(name),
            )
            self._block_handler_while_frozen(channel, clock)
            self.reported[name] = []
            member.on_commit(self.reported[name].append)
            member.start()
            self.members[name] = member

    def intent_of(self, name):
        """Return what the disk says of the formation; None for the settings' list."""
        return None

    def data_centre_of(self, name):
        return ""

    @staticmethod
    def _block_handler_while_frozen(channel, clock):
        handle = channel._bus.handler

        async def handle_while_running(peer, body):
            await clock.running.wait()
            return await handle(peer, body)

        channel._bus.handler = handle_while_running

    async def kill(self, name):
        self.network.remove(name)
        # Requests to a member that is killed while frozen must end as well.
        self.unfreeze(name)
        await self.members.pop(name).close()

    async def wipe(self, name):
        if name in self.members:
            await self.kill(name)
        del self.storages[name]

    def freeze(self, name):
        self._clocks[name].running.clear()

    def unfreeze(self, name):
        self._clocks[name].running.set()

    def isolate(self, *names):
        others = [name for name in self.storages if name not in names]
        self.network.partition(list(names), others)

    async def run(self, duration_s):
        await self.clock.advance(duration_s)

    async def run_until(self, condition, limit_s=LIMIT_S, step_s=STEP_S):
        end_s = self.clock.monotonic_s() + limit_s
        while not condition():
            assert self.clock.monotonic_s() < end_s, "timed out"
            await self.clock.advance(step_s)

    async def run_until_done(self, work, limit_s=LIMIT_S):
        """Advance the clock until a coroutine is done; return its result."""
        task = asyncio.ensure_future(work)
        await self.run_until(task.done, limit_s)
        return task.result()

    def leaders(self):
        return [name for name, member in self.members.items() if member.is_leader]

    async def leader(self):
        """Wait until exactly one member is leader, and return its name."""
        await self.run_until(lambda: len(self.leaders()) == 1)
        return self.leaders()[0]

    async def submit(self, name, request_id, expected_revision=0, document=None):
        sent = submission(request_id, expected_revision, document)
        return await self.run_until_done(self.members[name].submit(sent))

    async def submit_many(self, name, count, start=0):
        for number in range(start, start + count):
            await self.submit(name, f"r{number}", number)

    async def histories(self):
        return [await member.history(1000) for member in self.members.values()]

    async def close(self):
        for name in list(self.members):
            await self.kill(name)
