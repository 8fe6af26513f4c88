"""Guards against lost members that nobody replaces, and against lost state."""

import asyncio

import pytest

from arbutuslift.coordination.agreement.enrolment import Enrolment
from arbutuslift.coordination.agreement.membershipmanager import MembershipPolicy

from ..cluster import Cluster

CENTRES = {"a": "dc-1", "b": "dc-2", "c": "dc-3", "d": "dc-1", "e": "dc-2", "f": "dc-3"}


class ManagedCluster(Cluster):
    """A cluster whose members enrol, as control instances do."""

    def __init__(self, voters=3, **options):
        super().__init__(membership_policy=MembershipPolicy(voters=voters), **options)
        self.enrolments = {}

    def start(self, *names, initial=None):
        super().start(*names, initial=initial)
        for name in names or self.names:
            member = self.members[name]
            enrolment = Enrolment(
                member, member._channel, self.clock, CENTRES[name], self.names
            )
            self.enrolments[name] = asyncio.ensure_future(enrolment.run())

    async def kill(self, name):
        self.enrolments.pop(name).cancel()
        await super().kill(name)

    async def voters(self):
        name = await self.leader()
        statuses = await self.run_until_done(self.members[name].members())
        return sorted(s.name for s in statuses if s.role != "learner")

    async def until_voters(self, *names):
        wanted = sorted(names)
        for _ in range(200):
            await self.run(0.2)
            if self.leaders() and await self.voters() == wanted:
                return
        raise AssertionError(f"{await self.voters()} instead of {wanted}")


@pytest.fixture
async def cluster():
    opened = ManagedCluster()
    opened.start()
    await opened.leader()
    yield opened
    await opened.close()


async def test_a_replacement_takes_the_place_of_a_lost_member(cluster):
    await cluster.submit("a", "r0", 0, "kept")
    leader = await cluster.leader()
    lost = next(name for name in cluster.names if name != leader)
    await cluster.wipe(lost)
    cluster.start("d", initial=())
    await cluster.until_voters("d", *(n for n in cluster.names if n != lost))
    stored = await cluster.run_until_done(cluster.members["d"].current())
    assert stored.submission.document == b"kept"


async def test_a_lost_leader_is_replaced_too(cluster):
    leader = await cluster.leader()
    await cluster.wipe(leader)
    cluster.start("d", initial=())
    await cluster.until_voters("d", *(n for n in cluster.names if n != leader))


@pytest.mark.parametrize("name", ["a", "b", "c"])
async def test_a_wiped_member_comes_back_with_its_new_identity(cluster, name):
    await cluster.submit("a", "r0", 0, "kept")
    await cluster.wipe(name)
    await cluster.run(1.0)
    cluster.start(name, initial=())
    await cluster.run(8.0)
    await cluster.until_voters("a", "b", "c")
    other = next(n for n in cluster.names if n != name)
    await cluster.kill(other)
    stored = await cluster.run_until_done(cluster.members[name].current())
    assert stored.submission.document == b"kept"


async def test_a_short_absence_changes_nothing(cluster):
    leader = await cluster.leader()
    away = next(name for name in cluster.names if name != leader)
    cluster.start("d", initial=())
    await cluster.run(2.0)
    cluster.isolate(away)
    await cluster.run(2.0)
    cluster.network.heal()
    await cluster.run(3.0)
    assert await cluster.voters() == ["a", "b", "c"]


async def test_voters_grow_to_the_number_that_the_losses_ask_for():
    cluster = ManagedCluster(voters=5)
    cluster.start()
    for name in "def":
        cluster.start(name, initial=())
    for _ in range(100):
        await cluster.run(0.2)
        if cluster.leaders() and len(await cluster.voters()) == 5:
            break
    voters = await cluster.voters()
    assert len(voters) == 5
    assert max(sum(CENTRES[v] == dc for v in voters) for dc in CENTRES.values()) == 2
    await cluster.close()


async def test_a_member_that_was_replaced_and_returns_only_learns(cluster):
    leader = await cluster.leader()
    away = next(name for name in cluster.names if name != leader)
    cluster.start("d", initial=())
    cluster.isolate(away)
    rest = [n for n in cluster.names if n != away]
    await cluster.until_voters("d", *rest)
    cluster.network.heal()
    await cluster.run(5.0)
    assert await cluster.voters() == sorted(["d", *rest])
    statuses = await cluster.run_until_done(cluster.members[leader].members())
    assert {s.name: s.role for s in statuses}[away] == "learner"
