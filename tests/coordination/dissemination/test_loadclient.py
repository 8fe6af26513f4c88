"""Guards against load reports that get lost, or go to control instances apart."""

import asyncio
import random

import pytest

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.dissemination.loadclient import LoadClient
from arbutuslift.coordination.dissemination.loadserver import LoadServer
from arbutuslift.coordination.dissemination.startregistry import StartRegistry
from arbutuslift.coordination.routing.loadview import LoadView
from arbutuslift.protocol.channel import Channel
from arbutuslift.transport.bus import MemoryNetwork

from ...builders import load_report, service_demand, start, upstream_load

CONTROLS = ("a", "b", "c")


class Entry:
    """An entry instance that always reports half a request at upstream 1."""

    def __init__(self, network, clock, name, data_centre="dc-1"):
        self.view = LoadView(clock)
        self.data_centre = data_centre
        self.client = LoadClient(
            Channel(network.bus(name)),
            clock,
            data_centre,
            CONTROLS,
            self.make_report,
            lambda report, summary: self.view.update(summary, report.upstreams),
            random.Random(name),
        )

    def make_report(self, sequence):
        return load_report(
            sequence,
            data_centre=self.data_centre,
            upstreams=(upstream_load(1, outstanding=0.5),),
            services=(service_demand(),),
        )


class LoadNetwork:
    """Three control instances and three entry instances on an in-memory bus."""

    def __init__(self, controls=CONTROLS):
        self.clock = ManualClock()
        self.network = MemoryNetwork(self.clock)
        self.servers = {name: self.open_server(name) for name in controls}
        self.entries = [Entry(self.network, self.clock, f"entry-{n}") for n in range(3)]
        runners = [entry.client for entry in self.entries]
        runners.extend(self.servers.values())
        self.tasks = [asyncio.ensure_future(item.run()) for item in runners]

    def open_server(self, name):
        starts = StartRegistry(self.clock, 1.0, lambda: None)
        starts.announce(start(1, slots=2))
        others = tuple(other for other in CONTROLS if other != name)
        channel = Channel(self.network.bus(name))
        return LoadServer(channel, self.clock, starts, lambda: others)

    @property
    def destinations(self):
        return {entry.client.reporting_to for entry in self.entries}

    def instances(self):
        return [entry.view.instances for entry in self.entries]

    async def run(self, duration_s):
        await self.clock.advance(duration_s)

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


@pytest.fixture
async def loads():
    opened = LoadNetwork()
    await opened.run(2.5)
    yield opened
    await opened.close()


async def test_all_instances_of_a_data_centre_report_to_one_control(loads):
    assert len(loads.destinations) == 1
    assert loads.instances() == [3, 3, 3]
    for entry in loads.entries:
        assert entry.view.is_usable
        assert entry.view.outstanding_elsewhere(start(1).key) == 1.0
        assert entry.view.service("alerts", "dc-1").slots == 2


async def test_each_instance_reports_once_a_second(loads):
    before = [entry.client.answered for entry in loads.entries]
    await loads.run(10.0)
    after = [entry.client.answered for entry in loads.entries]
    assert [b - a for a, b in zip(before, after, strict=True)] == [10, 10, 10]


async def test_every_control_knows_the_services_of_all_data_centres(loads):
    await loads.run(1.5)
    for server in loads.servers.values():
        (row,) = server.registry.services()
        assert (row.arrivals_per_s, row.outstanding) == (3.0, 1.5)


async def test_when_the_control_that_gets_the_reports_is_paused_another_takes_over(
    loads,
):
    (paused,) = loads.destinations
    loads.network.partition([paused], ["entry-0", "entry-1", "entry-2"])
    await loads.run(3.0)
    assert len(loads.destinations) == 1 and paused not in loads.destinations
    assert loads.instances() == [3, 3, 3]
    assert all(entry.view.is_usable for entry in loads.entries)
    loads.network.heal()
    await loads.run(20.0)
    assert loads.destinations == {paused}


async def test_two_controls_that_get_reports_each_have_a_part_of_the_sum(loads):
    (first,) = loads.destinations
    loads.network.partition([first], ["entry-0"])
    await loads.run(6.0)
    assert loads.instances() == [1, 2, 2]
    assert loads.entries[0].view.is_usable


async def test_without_control_instances_the_view_ages_and_returns(loads):
    entries = ["entry-0", "entry-1", "entry-2"]
    loads.network.partition(list(CONTROLS), entries)
    await loads.run(4.2)
    assert not any(entry.view.is_usable for entry in loads.entries)
    assert loads.destinations == {""}
    loads.network.heal()
    await loads.run(18.0)
    assert loads.instances() == [3, 3, 3]


async def test_a_report_that_is_lost_is_missing_for_a_second(loads):
    (first,) = loads.destinations
    others = [name for name in CONTROLS if name != first]
    loads.network.partition([first, *others], ["entry-0"])
    await loads.run(1.0)
    loads.network.heal()
    await loads.run(2.1)
    assert loads.instances() == [3, 3, 3]


async def test_after_a_restart_of_control_the_sums_are_complete_in_a_second(loads):
    (name,) = loads.destinations
    loads.servers[name] = loads.open_server(name)
    await loads.run(2.0)
    assert loads.destinations == {name}
    assert loads.instances() == [3, 3, 3]


async def test_after_a_suspension_one_report_is_sent(loads):
    """Guards against a burst of reports for the seconds that were missed."""
    before = loads.entries[0].client.answered
    loads.clock.jump(30.0)
    await loads.run(1.0)
    assert loads.entries[0].client.answered - before <= 2


async def test_control_instances_of_an_earlier_version_leave_the_view_unusable():
    """Guards against a mixed deployment in which entry instances fail."""
    loads = LoadNetwork(controls=())
    for name in CONTROLS:
        Channel(loads.network.bus(name))
    await loads.run(5.0)
    assert not loads.entries[0].view.is_usable
    assert loads.entries[0].client.answered == 0
    assert not any(task.done() for task in loads.tasks)
    await loads.close()


async def test_an_idle_control_sends_no_totals():
    """Guards against more control traffic while load isn't reported."""
    loads = LoadNetwork()
    sent = []
    for server in loads.servers.values():
        server._channel.send = lambda name, message: sent.append(message)
    loads.tasks[0].cancel(), loads.tasks[1].cancel(), loads.tasks[2].cancel()
    await loads.run(3.0)
    assert sent == []
    await loads.close()
