"""Guards against lost members that aren't replaced, and against lost state."""

import asyncio
import random

import pytest

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.agreement.enrolment import ENROL_INTERVAL_S, Enrolment
from arbutuslift.protocol.channel import Channel
from arbutuslift.protocol.enrolment import EnrolAnswer
from arbutuslift.transport.bus import MemoryNetwork

from ..managedcluster import DATA_CENTRES, ManagedCluster

CATCH_UP_S = 4.0


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


@pytest.mark.parametrize("lost", [0, 1])
async def test_the_data_centre_of_the_leader_counts_when_a_voter_is_chosen(
    cluster, lost
):
    """Guards against two of three voters in the data centre of the leader."""
    leader = await cluster.leader()
    others = [name for name in ("a", "b", "c") if name != leader]
    same = next(n for n in "def" if DATA_CENTRES[n] == DATA_CENTRES[leader])
    gone = others[lost]
    replacement = next(n for n in "def" if DATA_CENTRES[n] == DATA_CENTRES[gone])
    cluster.start(*sorted((same, replacement)), initial=())
    await cluster.run(CATCH_UP_S)
    await cluster.wipe(gone)
    await cluster.run_until_voters(
        leader, replacement, *(name for name in others if name != gone)
    )


async def test_a_replaced_member_that_returns_is_a_learner(cluster):
    leader = await cluster.leader()
    isolated = next(name for name in cluster.names if name != leader)
    # One of another data centre would give the vote back for the sake of the quorum.
    added = next(n for n in "def" if DATA_CENTRES[n] == DATA_CENTRES[isolated])
    cluster.start(added, initial=())
    cluster.isolate(isolated)
    others = [n for n in cluster.names if n != isolated]
    await cluster.run_until_voters(added, *others)
    cluster.network.heal()
    await cluster.run(5.0)
    assert await cluster.voters() == sorted([added, *others])
    statuses = await cluster.run_until_done(cluster.members[leader].members())
    assert {s.name: s.role for s in statuses}[isolated] == "learner"


@pytest.fixture
async def extended(cluster):
    """Return the cluster with two more instances that have caught up."""
    await cluster.submit("a", "r0", 0, "kept")
    cluster.start("d", "e", initial=())
    await cluster.run(2 * CATCH_UP_S)
    return cluster


async def stop_in_series(cluster, names, gap_s):
    """Stop processes for good, each some time after the one before got its signal."""
    stops = []
    for name in names:
        stops.append(asyncio.ensure_future(cluster.stop(name)))
        await cluster.run(gap_s)
    await cluster.run_until(lambda: all(stop.done() for stop in stops))
    for stop in stops:
        stop.result()


@pytest.mark.parametrize("gap_s", [0.0, 0.1, 0.5, 2.0])
@pytest.mark.parametrize("order", [(0, 1), (1, 0), (1, 2)])
async def test_planned_ends_in_series_leave_a_quorum_of_caught_up_learners(
    extended, gap_s, order
):
    """Guards against two planned replacements that end all agreement for ever."""
    leader = await extended.leader()
    voters = [leader, *(n for n in ("a", "b", "c") if n != leader)]
    await stop_in_series(extended, [voters[n] for n in order], gap_s)
    stored = await extended.run_until_done(extended.members["d"].current(), 5.0)
    assert stored.submission.document == b"kept"
    assert (await extended.submit("e", "r1", 1)).revision == 2


@pytest.mark.parametrize("gap_s", [0.0, 0.1, 1.0, 2.0])
@pytest.mark.parametrize("order", [(0, 1), (1, 0), (1, 2)])
async def test_kills_in_series_leave_a_quorum_of_caught_up_learners(
    extended, gap_s, order
):
    """Guards against two losses within the time-out that end all agreement for ever."""
    leader = await extended.leader()
    voters = [leader, *(n for n in ("a", "b", "c") if n != leader)]
    for name in [voters[n] for n in order]:
        await extended.wipe(name)
        await extended.run(gap_s)
    assert (await extended.submit("d", "r1", 1)).revision == 2


async def test_a_planned_end_of_all_former_voters_leaves_the_two_that_are_left(
    extended,
):
    await stop_in_series(extended, ("a", "b", "c"), 1.0)
    assert (await extended.submit("e", "r1", 1)).revision == 2


async def test_a_member_without_a_successor_ends_at_once(cluster):
    """Guards against a rolling restart that waits for a handover to nobody."""
    for name in ("a", "b", "c"):
        started_s = cluster.clock.monotonic_s()
        await cluster.run_until_done(cluster.stop(name))
        assert cluster.clock.monotonic_s() - started_s < 0.6
        cluster.start(name)
        await cluster.run(2.0)
    assert await cluster.voters() == ["a", "b", "c"]


async def test_a_member_behind_a_partition_ends_in_time(extended):
    """Guards against a process that is killed since it waits for a leader."""
    leader = await extended.leader()
    name = next(n for n in ("a", "b", "c") if n != leader)
    extended.isolate(name)
    started_s = extended.clock.monotonic_s()
    await extended.run_until_done(extended.stop(name))
    assert extended.clock.monotonic_s() - started_s < 4.0


async def test_a_learner_that_is_about_to_end_takes_no_vote(extended):
    """Guards against a vote that moves to an instance which ends before it."""
    leader = await extended.leader()
    voter = next(n for n in ("a", "b", "c") if n != leader)
    await stop_in_series(extended, ("d", voter), 0.0)
    await extended.run_until_voters("e", *(n for n in "abc" if n != voter))


async def test_a_member_that_was_stopped_and_started_again_may_vote_again(extended):
    """Guards against an announced end that outlives the process which announced it."""
    leader = await extended.leader()
    stopped, lost = (n for n in ("a", "b", "c") if n != leader)
    await stop_in_series(extended, (stopped,), 1.0)
    extended.start(stopped, initial=())
    await extended.run(CATCH_UP_S)
    await extended.wipe(lost)
    await extended.run(CATCH_UP_S)
    await stop_in_series(extended, ("d", "e"), CATCH_UP_S)
    assert stopped in await extended.voters()
    assert (await extended.submit(stopped, "r1", 1)).revision == 2


@pytest.mark.parametrize("seed", range(4))
async def test_rolling_restarts_at_any_pace_lose_no_vote(seed):
    """Guards against a rolling restart faster than votes move."""
    rng = random.Random(seed)
    cluster = ManagedCluster(seed=seed)
    cluster.start()
    await cluster.leader()
    cluster.start("d", "e", "f", initial=())
    await cluster.run(CATCH_UP_S)
    for number, name in enumerate("abcdefabcdef"):
        await cluster.run_until_done(cluster.stop(name), 4.0)
        await cluster.run(rng.uniform(0.0, 2.0))
        cluster.start(name, initial=())
        await cluster.run(rng.uniform(0.0, 2.0))
        sender = rng.choice("abcdef")
        assert (await cluster.submit(sender, f"r{number}", number)).revision
    await cluster.close()


class FormerLeader:
    """A member whose last leader no longer sends anything to it."""

    identity = b"i" * 16
    is_leader = False
    hears_leader = False
    leader_name = "former"
    control_names = ()


class Answering(Channel):
    """Answers enrolments; each instance knows the leaders that ``hints`` gives."""

    def __init__(self, hints):
        super().__init__(MemoryNetwork(ManualClock()).bus("learner"))
        self.hints = hints
        self.asked = []

    async def request(self, peer, message, timeout_s):
        self.asked.append(peer)
        hint = self.hints[peer]
        return EnrolAnswer(is_leader=hint == peer, leader_name=hint, controls=())


@pytest.mark.parametrize(
    "hints",
    [
        {"former": "former", "b": "leader", "leader": "leader"},
        {"former": "b", "b": "former", "leader": "leader"},
    ],
)
async def test_a_learner_asks_others_than_a_former_leader(hints):
    """Guards against a learner that is never admitted, since it asks one for ever."""
    channel, clock = Answering(hints), ManualClock()
    enrolment = Enrolment(FormerLeader(), channel, clock, "dc-1", tuple(hints))
    task = asyncio.ensure_future(enrolment.run())
    await clock.advance(2 * len(hints) * ENROL_INTERVAL_S)
    assert "leader" in channel.asked
    task.cancel()


@pytest.mark.parametrize("seed", range(6))
async def test_after_random_faults_every_instance_follows_the_leader(seed):
    """Guards against an instance that stays out of the agreement for ever."""
    rng = random.Random(seed)
    count = rng.randint(5, 6)
    cluster = ManagedCluster(voters=5 if count > 4 else 3)
    names = list(DATA_CENTRES)[:count]
    cluster.start()
    await cluster.leader()
    for name in names[3:]:
        cluster.start(name, initial=())
        await cluster.run(rng.uniform(0.1, 2.0))
    for _ in range(8):
        name = rng.choice(names)
        fault = rng.choice(("kill", "isolate", "isolate", "freeze"))
        if fault == "kill":
            await cluster.kill(name)
            await cluster.run(rng.uniform(0.1, 4.0))
            cluster.start(name, initial=())
        elif fault == "isolate":
            cluster.isolate(*rng.sample(names, rng.randint(1, 2)))
            await cluster.run(rng.uniform(0.5, 8.0))
            cluster.network.heal()
        else:
            cluster.freeze(name)
            await cluster.run(rng.uniform(0.5, 4.0))
            cluster.unfreeze(name)
        await cluster.run(rng.uniform(0.0, 2.0))
    for _ in range(60):
        await cluster.run(0.5)
        if all(m.is_leader or m.hears_leader for m in cluster.members.values()):
            break
    assert [
        name
        for name, member in cluster.members.items()
        if not (member.is_leader or member.hears_leader)
    ] == []
    await cluster.close()
