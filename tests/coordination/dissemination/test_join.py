"""Join: the answers that it waits for, and the state transfer."""

import asyncio

import pytest

from arbutuslift.protocol.gossip import StatePage, StatePageWanted

from ...builders import configuration, upstream


async def _restart_partitioned(cluster, reachable):
    cluster[0].membership.active_configuration.activate_if_newer(configuration(3))
    await cluster.clock.advance(6.0)
    await cluster.kill(8)
    others = [name for name in cluster.names[:8] if name not in reachable]
    cluster.network.partition(["entry-8"], others)
    node = cluster.add("entry-8")
    await cluster.clock.advance(12.0)
    return node


@pytest.mark.parametrize(
    ("reachable", "is_joined"),
    [
        ([], False),
        (["entry-0"], False),
        (["entry-0", "entry-1"], True),
        (["entry-0", "entry-5"], True),
        (["entry-0", "entry-3", "entry-4"], False),
    ],
    ids=["nobody", "one member", "quorum", "own data centre", "other data centres"],
)
async def test_join_waits_for_enough_answers(cluster, reachable, is_joined):
    node = await _restart_partitioned(cluster, reachable)
    assert node.membership.join.is_joined == is_joined
    assert node.revision == (3 if is_joined else 0)


async def test_reason_is_reported_without_any_peer(cluster):
    node = await _restart_partitioned(cluster, [])
    result = await _attempt_join(cluster, node)
    assert not result.is_confirmed
    assert "no peer answers" in result.reason


async def _attempt_join(cluster, node):
    task = asyncio.create_task(node.membership.join.attempt())
    await cluster.clock.advance(20.0)
    return await task


async def test_join_waits_for_the_reported_revision(cluster, clock):
    """Guards against an older revision when only peers that are behind answer."""
    cluster[0].membership.active_configuration.activate_if_newer(configuration(1))
    await clock.advance(6.0)
    ahead = cluster[8]
    others = [name for name in cluster.names if name not in ("entry-8", "entry-5")]
    cluster.network.partition(others, ["entry-5", "entry-8"])
    ahead.membership.revision_distributor._is_accepting = False
    ahead.membership.active_configuration.activate_if_newer(configuration(2))
    five = cluster[5].membership
    five.revision_distributor._is_accepting = False
    await cluster.run_until(
        lambda: (
            five.instances.get("entry-8") is not None
            and five.gossip._registers["revision"].get("entry-8").revision == 2
        ),
        15.0,
    )
    await cluster.kill(8)
    cluster.network.heal()
    cluster.network.partition(["entry-8"], ["entry-1", "entry-2"])
    again = cluster.add("entry-8")
    await clock.advance(8.0)
    assert again.revision == 0 and not again.membership.join.is_joined
    cluster[0].membership.active_configuration.activate_if_newer(configuration(2))
    await cluster.run_until(lambda: again.revision == 2, 8.0)


async def test_state_transfer_continues_with_another_peer(cluster, clock):
    """Guards against a join that fails or starts over when its peer fails."""
    for node in cluster:
        for number in range(1, 1500):
            record = upstream(number, address="127.20.0.1")
            node.upstreams.merge(record)
            node.membership.gossip.record_changed(
                "upstream", record.upstream_id, is_unknown_to_peers=False
            )
    node = await cluster.kill(8)
    pages = []
    for number in range(3):
        channel = cluster[number].bus.handler.__self__
        serve = channel._handlers[StatePageWanted]

        async def answer(peer, wanted, number=number, serve=serve):
            if len(pages) == 2:
                pages.append(None)
                cluster.network.remove(cluster.names[number])
                await clock.sleep(100.0)
            page = await serve(peer, wanted)
            pages.append(page)
            return page

        channel.register_handler(StatePageWanted, answer)
    again = cluster.add(node.name)
    await cluster.run_until(lambda: again.membership.join.is_joined, 15.0)
    assert len(list(again.upstreams)) == 1499
    served = [page for page in pages if isinstance(page, StatePage)]
    assert sum(len(page.items) for page in served) < 1.2 * 1499


async def test_pages_stay_below_64_kb(cluster):
    for number in range(1, 1500):
        cluster[0].upstreams.merge(upstream(number))
        cluster[0].membership.gossip.record_changed(
            "upstream", f"{number:032x}", is_unknown_to_peers=False
        )
    await cluster.kill(8)
    cluster.network.sizes.clear()
    again = cluster.add("entry-8")
    await cluster.run_until(lambda: again.membership.join.is_joined, 8.0)
    assert max(cluster.network.sizes) <= 64 * 1024
