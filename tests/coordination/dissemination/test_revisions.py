"""Revisions: in effect on every instance within 5 s, never an older one."""

import pytest

from arbutuslift.coordination.dissemination import revisions
from arbutuslift.state.revisionstore import MemoryRevisionStore

from ...builders import configuration, service
from ...cluster import Faults

TARGET_S = 5.0


def _large(revision, count=2100, changed=0):
    services = tuple(
        service(
            name=f"service-{number}",
            address=f"127.10.{number // 250}.{1 + number % 250}",
            warm_up_s=30.0 + (changed if number == 7 else 0),
        )
        for number in range(count)
    )
    return configuration(revision, services=services)


def _all_at(cluster, revision):
    return all(node.revision == revision for node in cluster)


@pytest.mark.parametrize(
    "faults",
    [Faults(), Faults(loss=0.2), Faults(duplication=0.5, delay_s=0.3)],
    ids=["none", "lost", "repeated, late and reordered"],
)
async def test_in_effect_everywhere_within_5_s(cluster, clock, faults):
    cluster.network.faults = faults
    for revision in range(1, 9):
        cluster[revision % 3].membership.active_configuration.activate_if_newer(
            configuration(revision)
        )
        await cluster.run_until(
            lambda wanted=revision: _all_at(cluster, wanted), TARGET_S
        )
    for node in cluster:
        assert node.revisions == sorted(set(node.revisions))


async def test_revision_is_pushed_at_once(cluster, clock):
    """Guards against a revision that waits for the next gossip rounds."""
    cluster[0].membership.active_configuration.activate_if_newer(configuration(1))
    await clock.advance(0.1)
    assert sum(node.revision == 1 for node in cluster) > len(cluster.names) // 2


async def test_reaches_everyone_reachable_despite_partition_and_death(cluster, clock):
    cluster[0].membership.active_configuration.activate_if_newer(configuration(1))
    await clock.advance(5.0)
    cut = cluster.names_in("dc-3")
    cluster.network.partition(cut, [name for name in cluster.names if name not in cut])
    await cluster.kill(4)
    cluster[0].membership.active_configuration.activate_if_newer(configuration(2))
    reachable = [node for node in cluster if node.name not in cut]
    await cluster.run_until(lambda: all(n.revision == 2 for n in reachable), TARGET_S)
    assert {cluster.nodes[name].revision for name in cut} == {1}
    cluster.network.heal()
    await cluster.run_until(lambda: _all_at(cluster, 2), 15.0)


async def test_change_to_one_service_sends_no_whole_document(cluster, clock):
    """Guards against 400 KB to every instance for each of 910 changes a day."""
    cluster[0].membership.active_configuration.activate_if_newer(_large(1))
    await cluster.run_until(lambda: _all_at(cluster, 1), TARGET_S)
    await clock.advance(2.0)
    cluster.network.sizes.clear()
    cluster[0].membership.active_configuration.activate_if_newer(_large(2, changed=1))
    await cluster.run_until(lambda: _all_at(cluster, 2), TARGET_S)
    assert max(cluster.network.sizes) <= 1200


async def test_instance_many_revisions_behind_catches_up(cluster, clock):
    """Guards against a base revision that peers no longer retain."""
    node = await cluster.kill(8)
    for revision in range(1, 50):
        cluster[0].membership.active_configuration.activate_if_newer(
            configuration(revision)
        )
    await clock.advance(5.0)
    again = cluster.add(node.name)
    await cluster.run_until(lambda: again.revision == 49, 10.0)


async def test_pages_continue_with_another_peer(cluster, clock):
    """Guards against a transfer that starts over when its peer fails."""
    cluster[0].membership.active_configuration.activate_if_newer(_large(1))
    await cluster.run_until(lambda: _all_at(cluster, 1), TARGET_S)
    await clock.advance(3.0)
    node = await cluster.kill(8)
    again = cluster.add(node.name)
    offsets = []
    for number in range(8):
        distributor = cluster[number].membership.revision_distributor

        async def answer(peer, wanted, number=number, distributor=distributor):
            offsets.append((number, wanted.offset))
            if len(offsets) == 3:
                cluster.network.remove(cluster.names[number])
                await clock.sleep(100.0)
            return await type(distributor)._answer_page(distributor, peer, wanted)

        cluster[number].bus.handler.__self__.register_handler(
            revisions.DocumentPageWanted, answer
        )
    await cluster.run_until(lambda: again.revision == 1, 10.0)
    positions = [offset for _, offset in offsets]
    assert positions[3] == positions[2] > 0
    assert len({number for number, _ in offsets}) == 2


async def test_restart_without_disk_never_activates_an_older_revision(cluster, clock):
    """Guards against a restart with the revision of a single peer that is behind."""
    cluster[0].membership.active_configuration.activate_if_newer(configuration(1))
    await clock.advance(6.0)
    behind = cluster[1].membership
    cluster.network.partition(["entry-1"], [n for n in cluster.names if n != "entry-1"])
    cluster[0].membership.active_configuration.activate_if_newer(configuration(2))
    await clock.advance(3.0)
    cluster.network.heal()
    before = await cluster.kill(8)
    assert before.revision == 2 and behind.active_configuration.revision <= 2
    cluster.network.partition(["entry-8"], ["entry-0", "entry-2"])
    again = cluster.add("entry-8")
    await cluster.run_until(lambda: again.revision > 0, 15.0)
    assert again.revisions == [2]


async def test_restart_with_disk_keeps_the_revision(cluster, clock):
    cluster.stores["entry-8"] = MemoryRevisionStore()
    await cluster.kill(8)
    cluster.add("entry-8")
    cluster[0].membership.active_configuration.activate_if_newer(configuration(3))
    await clock.advance(6.0)
    await cluster.kill(8)
    cluster.network.partition(["entry-8"], cluster.names[:8])
    again = cluster.add("entry-8")
    assert again.revision == 3
    assert not again.membership.join.is_joined
