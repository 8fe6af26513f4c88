"""Failure detector: failures, refutation, superseded and frozen processes."""

from attrs import evolve

from arbutuslift.state.instances import InstanceStatus

from ...cluster import Faults


def _all_list_as_alive(cluster, names):
    return all(node.alive == set(names) for node in cluster)


def _status(node, name):
    return node.membership.instances.get(name).status


async def test_dead_instance_is_detected(cluster):
    await cluster.kill(5)
    remaining = [name for name in cluster.names if name != "entry-5"]
    await cluster.run_until(lambda: _all_list_as_alive(cluster, remaining), 12.0)


async def test_two_simultaneous_failures_are_detected(cluster):
    await cluster.kill(4)
    await cluster.kill(0)
    remaining = [name for name in cluster.names if name not in ("entry-0", "entry-4")]
    await cluster.run_until(lambda: _all_list_as_alive(cluster, remaining), 15.0)


async def test_partition_between_two_instances_causes_no_suspicion(cluster, clock):
    """Guards against a suspicion without an indirect probe."""
    before = cluster[4].membership.failure_detector.own_record.heartbeat
    cluster.network.partition(["entry-3"], ["entry-4"])
    await clock.advance(30.0)
    assert _all_list_as_alive(cluster, cluster.names)
    assert cluster[4].membership.failure_detector.own_record.heartbeat == before, (
        "was suspected"
    )


async def test_instances_recover_after_message_loss(cluster, clock):
    cluster.network.faults = Faults(loss=0.2, delay_s=0.1)
    await clock.advance(30.0)
    cluster.network.faults = Faults()
    await cluster.run_until(lambda: _all_list_as_alive(cluster, cluster.names), 15.0)


async def test_false_suspicion_is_refuted(cluster, clock):
    suspected = cluster[1].membership.instances.get("entry-7")
    for status in (InstanceStatus.SUSPECT, InstanceStatus.DEAD):
        record = evolve(suspected, status=status)
        cluster[1].membership.gossip.publish("instance", record)
        await clock.advance(3.0)
        assert _status(cluster[1], "entry-7") == InstanceStatus.ALIVE
        suspected = cluster[1].membership.instances.get("entry-7")
    assert cluster[7].superseded == []


async def test_superseded_process_stops(cluster, clock):
    """Guards against two processes that use one name and its shares of limits."""
    old = cluster[5]
    new = cluster.add("entry-5")
    await cluster.run_until(lambda: old.superseded == ["entry-5"], 8.0)
    await clock.advance(8.0)
    assert new.superseded == []
    assert old.superseded == ["entry-5"], "the callback runs once"


async def test_restart_after_the_clock_was_set_back(cluster, clock):
    """Guards against a new process that stops because of its predecessor's record."""
    await cluster.kill(5)
    cluster.incarnation = 0
    new = cluster.add("entry-5")
    await clock.advance(8.0)
    assert new.superseded == []
    assert _all_list_as_alive(cluster, cluster.names)


async def test_frozen_process_refutes(cluster, clock):
    """Guards against a process that others list as dead after a freeze."""
    frozen = cluster[5]
    gaps = []
    frozen.membership.freeze_detector.on_freeze(gaps.append)
    others = [name for name in cluster.names if name != "entry-5"]
    cluster.network.partition(["entry-5"], others)
    await clock.advance(12.0)
    assert _status(cluster[1], "entry-5") == InstanceStatus.DEAD
    cluster.network.heal()
    clock.jump(2.0)
    await clock.advance(1.0)
    assert len(gaps) == 1
    await cluster.run_until(lambda: _all_list_as_alive(cluster, cluster.names), 12.0)


async def test_frozen_process_announces_itself_and_restarts_deadlines(cluster, clock):
    """Guards against suspicions that expire while this process is frozen."""
    frozen = cluster[5]
    others = [name for name in cluster.names if name != "entry-5"]
    cluster.network.partition(["entry-5"], others)
    suspected = frozen.membership.instances.get("entry-7")
    suspect = evolve(suspected, status=InstanceStatus.SUSPECT)
    frozen.membership.gossip.publish("instance", suspect)
    before = frozen.membership.failure_detector.own_record.heartbeat
    clock.jump(10.0)
    await clock.advance(1.5)
    assert frozen.membership.failure_detector.own_record.heartbeat > before
    assert _status(frozen, "entry-7") == InstanceStatus.SUSPECT


async def test_leaving_instance_is_dead_at_once(cluster, clock):
    cluster[5].membership.failure_detector.leave()
    others = [name for name in cluster.names if name != "entry-5"]
    nodes = [node for node in cluster if node.name != "entry-5"]
    await cluster.run_until(lambda: all(n.alive == set(others) for n in nodes), 3.0)
