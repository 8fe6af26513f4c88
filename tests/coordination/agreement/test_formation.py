"""Formation of a cluster while processes end and disks are lost at any moment."""

import random

import pytest

from arbutuslift.errors import NoQuorum
from arbutuslift.state.formation import (
    DiskFormationIntent,
    FormationIntent,
    record_first_start,
)

from .formingcluster import ACK_LIMIT_S, FormingCluster


@pytest.mark.parametrize("killed", "abc")
@pytest.mark.parametrize("after_s", [0.0, 0.0011, 0.003, 0.01, 0.1])
async def test_the_cluster_forms_if_a_process_starts_again_early(killed, after_s):
    """Guards against one early restart after which the cluster never forms."""
    cluster = FormingCluster()
    others = [name for name in cluster.names if name != killed]
    cluster.start_first(killed)
    await cluster.run(after_s)
    cluster.start_first(others[0])
    await cluster.run(after_s)
    await cluster.kill(killed)
    cluster.start_first(others[1])
    await cluster.run(1.0)
    cluster.start(killed)
    started_s = cluster.clock.monotonic_s()
    assert (await cluster.accepts_an_order("r0")).revision == 1
    assert cluster.clock.monotonic_s() - started_s < ACK_LIMIT_S
    await cluster.close()


@pytest.mark.parametrize("told", "abc")
async def test_one_process_that_stored_the_list_is_enough(told):
    """Guards against processes that ended before they had stored the list."""
    cluster = FormingCluster()
    cluster.start_first(told)
    cluster.start(*(name for name in cluster.names if name != told))
    assert (await cluster.accepts_an_order("r0")).revision == 1
    await cluster.close()


@pytest.mark.parametrize("names", ["a", "ab"])
async def test_one_or_two_seeds_form_a_cluster(names):
    cluster = FormingCluster(names)
    cluster.start_first(*names)
    assert (await cluster.accepts_an_order("r0")).revision == 1
    await cluster.close()


async def test_a_new_instance_is_not_taken_by_seeds_that_it_does_not_have():
    """Guards against a second cluster after the settings of some were changed."""
    cluster = FormingCluster()
    cluster.start_first("a", "b")
    cluster.intents["c"] = FormationIntent((), ("c", "d", "e"))
    cluster.start("c")
    await cluster.run(3.0)
    assert cluster.clusters_with_entries() == set()
    with pytest.raises(NoQuorum, match="doesn't list"):
        await cluster.submit("a", "r0")
    await cluster.close()


async def test_a_wiped_seed_that_is_told_of_a_first_start_forms_no_cluster():
    """Guards against a second cluster by settings that are wrong at a later start."""
    cluster = FormingCluster()
    cluster.start_first(*cluster.names)
    await cluster.accepts_an_order("r0")
    await cluster.wipe("a")
    cluster.start_first("a")
    await cluster.run(ACK_LIMIT_S)
    assert len(cluster.clusters_with_entries()) == 1
    assert (await cluster.accepts_an_order("r1", 1)).revision == 2
    await cluster.close()


@pytest.mark.parametrize("seed", range(24))
async def test_formation_outlives_ends_at_any_moment(seed):
    """Guards against an end, or a lost disk, after which no cluster or two form."""
    rng = random.Random(seed)
    cluster = FormingCluster("abcde"[: rng.choice((2, 3, 3, 5))], seed=seed)
    unstarted = list(cluster.names)
    # Two members bear the loss of no disk.
    may_wipe = seed % 2 == 0 and len(cluster.names) > 2
    for _ in range(25):
        name = rng.choice(cluster.names)
        if name in unstarted:
            unstarted.remove(name)
            cluster.start_first(name)
        elif name not in cluster.members:
            cluster.start(name)
        elif may_wipe and rng.random() < 0.3:
            may_wipe = False
            await cluster.wipe(name)
        else:
            await cluster.kill(name)
        await cluster.run(rng.choice((0.0, 0.0005, 0.001, 0.002, 0.004, 0.05, 0.3)))
        assert len(cluster.clusters_with_entries()) <= 1
    for name in cluster.names:
        if name in unstarted:
            cluster.start_first(name)
        elif name not in cluster.members:
            cluster.start(name)
    assert (await cluster.accepts_an_order("r0")).revision == 1
    await cluster.run(10.0)
    assert len(cluster.clusters_with_entries()) == 1
    assert (await cluster.accepts_an_order("r1", 1)).revision == 2
    await cluster.close()


def test_the_list_is_stored_at_the_first_start_only(tmp_path):
    seeds = ("c", "a", "b")
    record_first_start(tmp_path, "a", seeds)
    record_first_start(tmp_path, "a", ("a", "x", "y"))
    assert DiskFormationIntent(tmp_path, ()).names == ("a", "b", "c")


def test_a_folder_that_was_used_or_is_of_no_seed_stores_no_list(tmp_path):
    record_first_start(tmp_path / "other", "d", ("a", "b", "c"))
    assert DiskFormationIntent(tmp_path / "other", ()).names == ()
    (tmp_path / "term").write_bytes(b"used")
    record_first_start(tmp_path, "a", ("a", "b", "c"))
    assert DiskFormationIntent(tmp_path, ()).names == ()
