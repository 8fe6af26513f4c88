"""Guards against losses in series that end all agreement beside ready successors."""

import contextlib
import random

import pytest

from arbutuslift.coordination.agreement.election import ELECTION_SPREAD
from arbutuslift.errors import ConfigurationConflict, NoQuorum
from arbutuslift.membersupervisor import TIMING

from ..managedcluster import DATA_CENTRES, ManagedCluster

CATCH_UP_S = 4.0
ACK_LIMIT_S = 5.0
# What an election leaves of the time after which an instance counts as repaired.
AFTER_ELECTION_S = CATCH_UP_S - ELECTION_SPREAD * TIMING.election_timeout_s


async def open_cluster(spares, seed=1):
    """Return a cluster of three voters and of spare instances that have caught up."""
    cluster = ManagedCluster(seed=seed, timing=TIMING)
    cluster.start()
    await cluster.leader()
    await cluster.submit("a", "r0", 0, "kept")
    if spares:
        cluster.start(*spares, initial=())
    await cluster.run(2 * CATCH_UP_S)
    return cluster


async def check_order(cluster):
    """Check that an order is acknowledged in time, after what was acknowledged."""
    name = sorted(cluster.members)[0]
    started_s = cluster.clock.monotonic_s()
    assert (await cluster.submit(name, "r1", 1)).revision == 2
    assert cluster.clock.monotonic_s() - started_s < ACK_LIMIT_S
    assert cluster.members[name].revisions()[-1].submission.document == b"kept"
    await cluster.close()


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("lost", [0, 1])
async def test_a_successor_of_the_leader_votes_before_another_one_is_lost(seed, lost):
    """Guards against a new leader that counts the silence of a lost one anew."""
    cluster = await open_cluster("d", seed)
    leader = await cluster.leader()
    await cluster.wipe(leader)
    await cluster.run(3.6)
    others = [name for name in cluster.names if name != leader]
    await cluster.wipe(others[lost])
    await check_order(cluster)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("is_leader_wiped", [False, True])
async def test_a_voter_that_was_cut_off_begins_no_count_of_a_lost_one_anew(
    seed, is_leader_wiped
):
    """Guards against a successor without a vote after each change of the leader."""
    cluster = await open_cluster("", seed)
    leader = await cluster.leader()
    lost, isolated = (name for name in cluster.names if name != leader)
    await cluster.wipe(lost)
    successor = next(name for name in "def" if DATA_CENTRES[name] == DATA_CENTRES[lost])
    await cluster.run(CATCH_UP_S)
    # The partition begins before the successor can be admitted.
    cluster.isolate(isolated)
    cluster.start(successor, initial=())
    cluster.isolate(isolated)
    await cluster.run(2 * CATCH_UP_S)
    cluster.network.heal()
    leader = await cluster.leader()
    await cluster.run(AFTER_ELECTION_S)
    other = (
        leader
        if is_leader_wiped
        else next(name for name in cluster.names if name not in (leader, lost))
    )
    await cluster.wipe(other)
    await check_order(cluster)


@pytest.mark.parametrize("seed", range(4))
async def test_a_loss_that_a_lost_leader_saw_is_counted_on_by_the_next(seed):
    """Guards against a chain of lost leaders that each count from their election."""
    cluster = ManagedCluster(seed=seed, voters=5, names="abcde", timing=TIMING)
    cluster.start()
    leader = await cluster.leader()
    await cluster.submit(leader, "r0", 0, "kept")
    cluster.start("f", initial=())
    await cluster.run(2 * CATCH_UP_S)
    lost = next(name for name in "abcde" if name != leader)
    await cluster.wipe(lost)
    await cluster.run(2.4)
    await cluster.wipe(leader)
    await cluster.run(2.4)
    assert lost not in await cluster.voters()
    await check_order(cluster)


@pytest.mark.parametrize("gap_s", [0.0, 0.3, 1.0, 2.5])
@pytest.mark.parametrize(("spares", "count"), [("de", 2), ("def", 2), ("defg", 3)])
@pytest.mark.parametrize("seed", range(3))
async def test_fewer_than_half_are_lost_at_any_pace(spares, count, gap_s, seed):
    """Guards against spare instances that could vote and don't when others are lost."""
    cluster = await open_cluster(spares, seed)
    names = random.Random(seed).sample([*cluster.names, *spares], count)
    for name in names:
        await cluster.wipe(name)
        await cluster.run(gap_s)
    await check_order(cluster)


@pytest.mark.parametrize("seed", range(6))
async def test_instances_are_lost_one_after_the_other_until_the_smallest_number(seed):
    """Guards against lost voters that are kept when there is no successor."""
    cluster = await open_cluster("defg", seed)
    names = random.Random(seed).sample([*cluster.names, *"defg"], 5)
    for name in names:
        await cluster.wipe(name)
        await cluster.run(CATCH_UP_S)
    await check_order(cluster)


@pytest.mark.parametrize("seed", range(4))
async def test_halves_of_an_even_number_form_no_two_clusters(seed):
    """Guards against two leaders that both accept orders in a network partition."""
    cluster = await open_cluster("def", seed)
    half = random.Random(seed).sample([*cluster.names, *"def"], 3)
    cluster.isolate(*half)
    await cluster.run(2 * CATCH_UP_S)
    accepted = 0
    for name in sorted(cluster.members):
        with contextlib.suppress(NoQuorum, ConfigurationConflict):
            stored = await cluster.submit(name, f"r-{name}", 1)
            accepted += stored.revision == 2
    assert accepted <= 1
    cluster.network.heal()
    await cluster.run(CATCH_UP_S)
    name = await cluster.leader()
    newest = await cluster.run_until_done(cluster.members[name].current())
    assert newest.revision == 1 + accepted
    await cluster.close()


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("gap_s", [0.0, 1.0, 2.0, 2.6, 2.9])
async def test_a_lost_voter_is_not_replaced_by_a_lost_learner(seed, gap_s):
    """Guards against a vote for one that was lost before the time-out of the voter."""
    cluster = await open_cluster("d", seed)
    leader = await cluster.leader()
    lost = next(name for name in cluster.names if name != leader)
    await cluster.wipe(lost)
    await cluster.run(gap_s)
    await cluster.wipe("d")
    await cluster.run(2 * CATCH_UP_S)
    await check_order(cluster)
