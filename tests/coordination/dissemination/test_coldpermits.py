"""Guards against cold upstreams that many entry instances together overload."""

import asyncio
import random

import pytest

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.concurrency import TaskSet
from arbutuslift.coordination.dissemination.coldgranters import GRANTERS, granters_of
from arbutuslift.coordination.dissemination.coldpermits import VALID_S, ColdPermits
from arbutuslift.coordination.dissemination.coldpermitserver import ColdPermitServer
from arbutuslift.coordination.dissemination.startregistry import StartRegistry
from arbutuslift.coordination.routing.coldadmission import EvenColdShares
from arbutuslift.protocol.channel import Channel
from arbutuslift.protocol.coldpermits import ColdPermitRequest
from arbutuslift.state.routingtable import ServiceLimits
from arbutuslift.transport.bus import MemoryNetwork
from measure.coldpermits import play_cold_start

from ...builders import routing_table, start

LIMIT_PER_S = 10.0


def bound(limit_per_s):
    """Return the new flows that a cold upstream may get in a second."""
    return 1.5 * limit_per_s + 5


@pytest.mark.parametrize("count", [1, 9, 50, 300])
async def test_any_number_of_instances_stays_within_the_limit(count):
    play = await play_cold_start(count)
    assert 0 < play.peak <= bound(4.0)
    assert play.first_wait_s < 1.5


@pytest.mark.parametrize("limit_per_s", [0.5, 4.0, 40.0])
async def test_a_restart_of_all_granters_does_not_exceed_the_limit(limit_per_s):
    """Guards against a granter that forgets what it granted."""
    play = await play_cold_start(50, limit_per_s, restarted=5)
    assert 0 < play.peak <= bound(limit_per_s)


async def test_an_instance_that_is_cut_off_opens_no_flow():
    assert (await play_cold_start(9, cut_off=9)).flows == 0
    assert 0 < (await play_cold_start(9, cut_off=3)).peak <= bound(4.0)


class OneInstance:
    """A control instance and an entry instance."""

    def __init__(self, limit_per_s=LIMIT_PER_S, *, is_known=True, has_permits=True):
        self.clock = ManualClock()
        self.network = MemoryNetwork(self.clock)
        self.tasks = TaskSet(pytest.fail)
        self.outcomes = []
        channel = Channel(self.network.bus("control"))
        if has_permits:
            registry = StartRegistry(self.clock, 1.0, lambda: None)
            if is_known:
                registry.announce(start(1))
            limits = ServiceLimits(
                name="alerts",
                max_connections=2000,
                cold_new_flows_per_s=limit_per_s,
                cold_start_s=60,
            )
            table = routing_table(services=(limits,))
            ColdPermitServer(channel, self.clock, registry, lambda: table, tuple)
        self.permits = ColdPermits(
            Channel(self.network.bus("entry")),
            self.clock,
            self.tasks.spawn,
            random.Random(1),
            EvenColdShares(self.clock, random.Random(1)),
            lambda: self.outcomes.append(1),
        )
        self.permits.set_controls(("control",))

    def may_open(self):
        return self.permits.may_open(start(1), LIMIT_PER_S, 1)


async def test_a_permit_is_used_once_and_soon():
    """Guards against permits that add to those of the next second."""
    instance = OneInstance()
    await instance.clock.advance(1.0)
    assert not instance.may_open()
    assert instance.permits.is_pending(start(1).key)
    await instance.clock.advance(0.05)
    assert (instance.may_open(), instance.outcomes) == (True, [1])
    assert not instance.permits.is_pending(start(1).key)
    instance.permits.record_flow(start(1).key)
    assert not instance.may_open()
    await instance.clock.advance(0.2)
    assert not instance.may_open()
    await instance.clock.advance(0.05)
    assert instance.may_open()
    await instance.clock.advance(VALID_S + 0.01)
    assert not instance.may_open()
    await instance.tasks.close()


async def test_a_restarted_granter_grants_nothing_within_an_interval():
    instance = OneInstance(limit_per_s=0.5)
    for _ in range(11):
        await instance.clock.advance(0.1)
        assert not instance.may_open()
    await instance.tasks.close()


@pytest.mark.parametrize("options", [{"is_known": False}, {"limit_per_s": 0.0}])
async def test_an_unknown_start_or_limit_gets_no_permit(options):
    instance = OneInstance(**options)
    for _ in range(20):
        await instance.clock.advance(0.2)
        assert not instance.may_open()
    await instance.tasks.close()


async def test_control_instances_of_an_earlier_version_leave_the_even_share():
    """Guards against a cold service that nobody serves during a rolling upgrade."""
    instance = OneInstance(has_permits=False)
    await instance.clock.advance(5.0)
    assert not instance.may_open()
    await instance.clock.advance(0.1)
    assert instance.may_open()
    await instance.tasks.close()


async def test_a_start_of_another_birth_gets_no_permit():
    """Guards against a late request that takes the permit of the next start."""
    instance = OneInstance()
    await instance.clock.advance(5.0)
    late = ColdPermitRequest(upstream_id=start(1).upstream_id, born_ms=1)
    request = instance.permits._channel.request("control", late, 1.0)
    task = asyncio.ensure_future(request)
    await instance.clock.advance(0.1)
    assert not task.result().is_granted


def test_all_instances_agree_on_the_granters():
    names = tuple(f"c{number}" for number in range(13))
    chosen = granters_of("i-1", names)
    assert len(chosen) == GRANTERS
    assert granters_of("i-1", names[::-1]) == chosen
    assert {granters_of(f"i-{n}", names)[0] for n in range(200)} == set(names)
