"""Random sequences of faults, submissions and reads, compared with a simple model."""

import asyncio
import random

import pytest

from arbutuslift.errors import ConfigurationConflict, MembershipChangeError, NoQuorum

from ..cluster import Cluster, submission

STEPS = 120
SEEDS = range(12)


class ReferenceModel:
    """Revisions and answers that clients and callbacks received."""

    def __init__(self):
        self.by_revision = {}
        self.answers = {}
        self.newest = 0

    def record_revision(self, stored):
        known = self.by_revision.setdefault(stored.revision, stored)
        assert known == stored, "a revision changed its document"
        ids = [s.submission.request_id for s in self.by_revision.values()]
        assert len(ids) == len(set(ids)), "a request was accepted twice"

    def record_answer(self, sent, accepted):
        first = self.answers.setdefault(sent.request_id, accepted)
        assert first == accepted, "a resend got another answer"
        if accepted:
            assert accepted.submission == sent
            self.record_revision(accepted)
            self.newest = max(self.newest, accepted.revision)


class RandomRun:
    """One run, determined by its seed."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.cluster = Cluster("abc" if seed % 2 else "abcde", seed=seed)
        self.model = ReferenceModel()
        self.sent = []
        self.tasks = []
        self.wiped = None
        self.frozen = set()

    async def run(self):
        self.cluster.start()
        await self.cluster.leader()
        actions = [self.submit] * 36 + [self.resend] * 10 + [self.read] * 12
        actions += [self.kill] * 6 + [self.restart] * 10
        actions += [self.partition] * 5 + [self.heal] * 8
        actions += [self.freeze] * 4 + [self.unfreeze] * 6 + [self.jump]
        actions += [self.lose_disk] * 3 + [self.replace] * 6
        for _ in range(STEPS):
            for action in self.rng.choices(actions, k=self.rng.choice((1, 2))):
                await action()
            await self.cluster.run(self.rng.choice((0.0, 0.002, 0.05, 0.5, 4.0)))
            self.check_reports()
        await self.recover()

    def random_member(self):
        """Return a random member that runs and isn't frozen, or None."""
        candidates = [name for name in self.cluster.members if name not in self.frozen]
        return self.rng.choice(candidates) if candidates else None

    def start_at_random_member(self, work):
        """Start ``work(member)`` at a random member."""
        if name := self.random_member():
            member = self.cluster.members[name]
            self.tasks.append(asyncio.ensure_future(work(member)))

    async def submit(self):
        for _ in range(self.rng.choice((1, 1, 1, 1, 2))):
            expected = max(0, self.model.newest - self.rng.choice((0, 0, 0, 1)))
            self.sent.append(submission(f"q{len(self.sent)}", expected))
            self.send(self.sent[-1])

    async def resend(self):
        if self.sent:
            self.send(self.rng.choice(self.sent))

    def send(self, sent):
        async def record(member):
            try:
                accepted = await member.submit(sent)
            except ConfigurationConflict:
                accepted = None
            except NoQuorum:
                return
            self.model.record_answer(sent, accepted)

        self.start_at_random_member(record)

    async def read(self):
        newest = self.model.newest

        async def check(member):
            try:
                found = await member.current()
            except NoQuorum:
                return
            assert (found.revision if found else 0) >= newest, "a read was stale"

        self.start_at_random_member(check)

    async def kill(self):
        if self.cluster.members:
            name = self.rng.choice(list(self.cluster.members))
            self.frozen.discard(name)
            await self.cluster.kill(name)

    async def restart(self):
        down = [n for n in self.cluster.storages if n not in self.cluster.members]
        if down:
            self.cluster.start(self.rng.choice(down))

    async def partition(self):
        size = self.rng.randrange(1, len(self.cluster.names))
        self.cluster.isolate(*self.rng.sample(self.cluster.names, size))

    async def heal(self):
        self.cluster.network.heal()

    async def freeze(self):
        if name := self.random_member():
            self.frozen.add(name)
            self.cluster.freeze(name)

    async def unfreeze(self):
        while self.frozen:
            self.cluster.unfreeze(self.frozen.pop())

    async def lose_disk(self):
        if self.wiped is None:
            self.wiped = self.rng.choice(self.cluster.names)
            self.frozen.discard(self.wiped)
            await self.cluster.wipe(self.wiped)
            self.cluster.start(self.wiped)

    async def replace(self):
        if self.wiped is not None:
            self.start_at_random_member(self.replace_wiped)

    async def replace_wiped(self, server):
        name = self.wiped
        try:
            await server.replace_member(name, name)
        except (MembershipChangeError, NoQuorum):
            return
        if self.wiped == name:
            self.wiped = None

    async def jump(self):
        self.cluster.clock.jump(self.rng.choice((1.0, 10.0)))

    def check_reports(self):
        for task in [task for task in self.tasks if task.done()]:
            self.tasks.remove(task)
            task.result()
        for reported in self.cluster.reported.values():
            for stored in reported:
                self.model.record_revision(stored)
            numbers = [stored.revision for stored in reported]
            start = numbers[0] if numbers else 0
            assert numbers == list(range(start, start + len(numbers)))

    async def recover(self):
        """End all faults and check that every member has the history of the model."""
        cluster = self.cluster
        await self.unfreeze()
        cluster.network.heal()
        for name in [*cluster.storages]:
            if name not in cluster.members:
                cluster.start(name)
        for _ in range(20):
            if self.wiped is not None:
                server = next(name for name in cluster.names if name != self.wiped)
                await cluster.run_until_done(
                    self.replace_wiped(cluster.members[server]), 200
                )
                await cluster.run(1)
        assert self.wiped is None
        await cluster.run_until(lambda: all(task.done() for task in self.tasks), 200)
        newest = await cluster.run_until_done(cluster.members["a"].current())
        revision = newest.revision if newest else 0
        assert revision >= self.model.newest
        await cluster.submit("b", "last", revision)
        for sent in self.sent[-20:]:
            self.send(sent)
        await cluster.run(15)
        self.check_reports()
        assert not self.tasks
        expected_history = [
            s for _, s in sorted(self.model.by_revision.items(), reverse=True)
        ]
        assert len(expected_history) == revision + 1
        for history in await cluster.histories():
            assert history == expected_history[:100]
        for reported in cluster.reported.values():
            assert reported[-1] == expected_history[0]


@pytest.mark.parametrize("seed", SEEDS)
async def test_random_faults_keep_every_accepted_revision(seed, monkeypatch):
    memberstate = "arbutuslift.coordination.agreement.memberstate"
    monkeypatch.setattr(f"{memberstate}.SNAPSHOT_ENTRIES", 10)
    monkeypatch.setattr(
        "arbutuslift.coordination.agreement.replication.CHUNK_BYTES", 500
    )
    run = RandomRun(seed)
    try:
        await run.run()
    finally:
        for task in run.tasks:
            task.cancel()
        await run.cluster.close()
