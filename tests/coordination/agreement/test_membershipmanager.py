"""Guards against lost members that aren't replaced, and against lost state."""

import asyncio

import pytest

from arbutuslift.coordination.agreement.enrolment import Enrolment
from arbutuslift.coordination.agreement.membershipmanager import MembershipPolicy

from ..cluster import Cluster

DATA_CENTRES = {
    "a": "dc-1",
    "b": "dc-2",
    "c": "dc-3",
    "d": "dc-1",
    "e": "dc-2",
    "f": "dc-3",
}


class ManagedCluster(Cluster):
    """A cluster whose members enrol and change the membership by a policy."""

    def __init__(self, voters=3, **options):
        super().__init__(
            membership_policy=MembershipPolicy(voter_count=voters), **options
        )
        self.enrolments = {}

    def start(self, *names, initial=None):
        super().start(*names, initial=initial)
        for name in names or self.names:
            member = self.members[name]
            enrolment = Enrolment(
                member, member._channel, self.clock, DATA_CENTRES[name], self.names
            )
            self.enrolments[name] = asyncio.ensure_future(enrolment.run())

    async def kill(self, name):
        self.enrolments.pop(name).cancel()
        await super().kill(name)

    async def voters(self):
        name = await self.leader()
        statuses = await self.run_until_done(self.members[name].members())
        return sorted(s.name for s in statuses if s.role != "learner")

    async def run_until_voters(self, *names):
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


async def test_an_enrolled_instance_replaces_a_lost_member(cluster):
    await cluster.submit("a", "r0", 0, "kept")
    leader = await cluster.leader()
    lost = next(name for name in cluster.names if name != leader)
    await cluster.wipe(lost)
    cluster.start("d", initial=())
    await cluster.run_until_voters("d", *(n for n in cluster.names if n != lost))
    stored = await cluster.run_until_done(cluster.members["d"].current())
    assert stored.submission.document == b"kept"


async def test_a_lost_leader_is_replaced(cluster):
    leader = await cluster.leader()
    await cluster.wipe(leader)
    cluster.start("d", initial=())
    await cluster.run_until_voters("d", *(n for n in cluster.names if n != leader))


@pytest.mark.parametrize("name", ["a", "b", "c"])
async def test_a_wiped_member_rejoins_with_its_new_identity(cluster, name):
    await cluster.submit("a", "r0", 0, "kept")
    await cluster.wipe(name)
    await cluster.run(1.0)
    cluster.start(name, initial=())
    await cluster.run(8.0)
    await cluster.run_until_voters("a", "b", "c")
    other = next(n for n in cluster.names if n != name)
    await cluster.kill(other)
    stored = await cluster.run_until_done(cluster.members[name].current())
    assert stored.submission.document == b"kept"


async def test_a_short_partition_changes_no_voter(cluster):
    leader = await cluster.leader()
    isolated = next(name for name in cluster.names if name != leader)
    cluster.start("d", initial=())
    await cluster.run(2.0)
    cluster.isolate(isolated)
    await cluster.run(2.0)
    cluster.network.heal()
    await cluster.run(3.0)
    assert await cluster.voters() == ["a", "b", "c"]


async def test_voters_are_added_up_to_the_number_of_the_policy():
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
    assert (
        max(sum(DATA_CENTRES[v] == dc for v in voters) for dc in DATA_CENTRES.values())
        == 2
    )
    await cluster.close()


async def test_a_replaced_member_that_returns_is_a_learner(cluster):
    leader = await cluster.leader()
    isolated = next(name for name in cluster.names if name != leader)
    cluster.start("d", initial=())
    cluster.isolate(isolated)
    others = [n for n in cluster.names if n != isolated]
    await cluster.run_until_voters("d", *others)
    cluster.network.heal()
    await cluster.run(5.0)
    assert await cluster.voters() == sorted(["d", *others])
    statuses = await cluster.run_until_done(cluster.members[leader].members())
    assert {s.name: s.role for s in statuses}[isolated] == "learner"
