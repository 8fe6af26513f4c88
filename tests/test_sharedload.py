"""Guards against load features that act without being asked, or aren't connected."""

import subprocess
import sys
from contextlib import AsyncExitStack

import pytest
from adapter.packets import PlatformCodec
from attrs import evolve

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.concurrency import TaskSet
from arbutuslift.coordination.dissemination.loadserver import LoadServer
from arbutuslift.coordination.dissemination.startregistry import StartRegistry
from arbutuslift.coordination.routing.upstreamdirectory import UpstreamDirectory
from arbutuslift.entry import EntryInstance
from arbutuslift.errors import SettingsError
from arbutuslift.loadfactory import make_load_features
from arbutuslift.loadfeatures import LoadFeatures
from arbutuslift.loadmetrics import control_load_families
from arbutuslift.metricspage import render_metrics
from arbutuslift.protocol.channel import Channel
from arbutuslift.protocol.feed import StartNews
from arbutuslift.rolesettings import LoadSettings
from arbutuslift.state.routingtable import encode_table
from arbutuslift.transport.bus import MemoryNetwork
from arbutuslift.transport.opensockets import open_packet_socket

from .builders import (
    entry_settings,
    load_report,
    load_summary,
    routing_table,
    start,
    upstream_load,
)


class SharedLoadHarness:
    """Shared load of an entry instance that knows five upstreams, and a control."""

    def __init__(self, **switches):
        self.clock = ManualClock()
        network = self.network = MemoryNetwork(self.clock)
        self.starts = StartRegistry(self.clock, 1.0, lambda: None)
        self.directory = UpstreamDirectory(self.clock)
        news = []
        for number in range(1, 6):
            self.starts.announce(start(number))
            news.append(StartNews(start=start(number), is_silent=False))
        self.directory.merge_feed_answer("a", news, is_first=True, is_settled=True)
        self.tasks = TaskSet(lambda error: None)
        self.server = LoadServer(
            Channel(network.bus("control")), self.clock, self.starts, tuple
        )
        settings = evolve(
            entry_settings(),
            seeds=("control",),
            load=LoadSettings(is_load_reported=True, **switches),
        )
        self.load = make_load_features(settings, self.clock, self.directory)
        self.load.start(Channel(network.bus("entry")), self.tasks)
        self.tasks.spawn(self.server.run())


def test_without_the_switch_nothing_is_reported_or_imported():
    """Guards against decisions that change, and a slower start, with load off."""
    clock = ManualClock()
    load = make_load_features(entry_settings(), clock, UpstreamDirectory(clock))
    assert type(load) is LoadFeatures
    assert load.shared_choice is None
    assert load.locality is None
    assert load.families() == []
    code = (
        "import sys, arbutuslift.entry\n"
        "names = ('sharedload', 'protocol.loads', 'coordination.routing.locality')\n"
        "assert not any(f'arbutuslift.{name}' in sys.modules for name in names)\n"
    )
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0


async def test_a_slow_upstream_is_reported_summed_and_gets_fewer_flows():
    harness = SharedLoadHarness()
    load, starts = harness.load, [start(n) for n in range(1, 6)]
    assert not load.shared_choice.is_usable
    for second in range(8):
        for begun in starts:
            for number in range(10):
                flow = bytes([second, begun.number, number])
                load.observer.begin_request(flow, begun, 5.0)
                response_s = 0.4 if begun.number == 1 else 0.05
                load.observer.end_request(flow, response_s)
        await harness.clock.advance(1.0)
    assert load.shared_choice.is_usable
    assert load.view.instances == 1
    assert load.weights.weight(start(1).key) < 0.3
    assert load.weights.slow_count == 1
    page = render_metrics(
        [*load.families(), *control_load_families(harness.server.registry)]
    ).decode()
    assert 'arbutuslift_load_reports_total{outcome="answered"} 8.0' in page
    assert 'arbutuslift_load_reports_total{outcome="accepted"} 8.0' in page
    assert "arbutuslift_slow_upstreams 1.0" in page
    await harness.tasks.close()


async def test_a_weight_returns_while_control_is_unreachable():
    harness = SharedLoadHarness()
    await harness.clock.advance(1.5)
    key = start(1).key
    harness.load.weights.update([upstream_load(1, failures=2)])
    assert harness.load.weights.weight(key) < 1.0
    harness.load.client.set_controls(("gone",))
    await harness.clock.advance(16.0)
    assert harness.load.weights.weight(key) == 1.0
    await harness.tasks.close()


async def test_locality_learns_each_summary_once_with_the_table_in_effect():
    """Guards against steps that are taken twice, or for services without a route."""
    harness = SharedLoadHarness(is_locality_weighted=True)
    given, learnt = [], []
    harness.load.on_locality = given.append
    await harness.clock.advance(2.0)
    assert harness.load.locality is None
    harness.load.apply(routing_table(out_of_service=frozenset({"dc-9"})))
    await harness.clock.advance(1.0)
    assert given == [harness.load.locality]
    answered = harness.load.client.answered
    harness.load.locality.update = lambda *arguments: learnt.append(arguments)
    await harness.clock.advance(3.0)
    assert len(learnt) == harness.load.client.answered - answered == 3
    view, services, out_of_service = learnt[0]
    assert view is harness.load.view
    assert [service.name for service in services] == ["alerts"]
    assert out_of_service == {"dc-9"}
    await harness.tasks.close()


async def test_flows_leave_a_data_centre_by_the_rows_of_real_reports():
    """Guards against rows that mean something else to those who send them."""
    harness = SharedLoadHarness(is_locality_weighted=True)
    remote = [start(n, data_centre="dc-2") for n in range(11, 16)]
    for begun in remote:
        harness.starts.announce(begun)
    settings = evolve(
        entry_settings(),
        data_centre="dc-2",
        seeds=("control",),
        load=LoadSettings(is_load_reported=True, is_locality_weighted=True),
    )
    other = make_load_features(settings, harness.clock, harness.directory)
    other.start(Channel(harness.network.bus("other")), harness.tasks)
    for load in (harness.load, other):
        load.apply(routing_table())
    # Five slots each: 20 requests of 50 ms are outstanding here, one there.
    for _ in range(8):
        for load, starts, count in (
            (harness.load, [start(n) for n in range(1, 6)], 20),
            (other, remote, 1),
        ):
            for number in range(count):
                flow = bytes([number, starts[0].number])
                begun = starts[number % 5]
                load.observer.record_arrival("alerts", begun)
                load.observer.end_request(flow, 0.05 * max(1, count / 5))
                load.observer.begin_request(flow, begun, 5.0)
        await harness.clock.advance(1.0)
    assert harness.load.locality.highest_fractions()["dc-2"] >= 0.2
    assert other.locality.highest_fractions()["dc-1"] == 0.0
    await harness.tasks.close()


async def test_an_entry_instance_asks_locality_only_if_its_settings_say_so():
    """Guards against other decisions with the feature off, or none with it on."""
    for is_weighted in (False, True):
        async with AsyncExitStack() as stack:
            packets = open_packet_socket("127.0.0.1", 0)
            stack.callback(packets.close)
            load = LoadSettings(is_load_reported=True, is_locality_weighted=is_weighted)
            settings = evolve(entry_settings(), load=load)
            instance = EntryInstance(
                settings, packets, PlatformCodec(), ManualClock(), stack, lambda: None
            )
            instance._apply("control", encode_table(routing_table()))
            instance.add_load_features()
            instance._load._on_summary(load_report(), load_summary())
            assert (instance._selector.locality is not None) == is_weighted
            names = {family.name for family in instance.metrics.families()}
            assert ("arbutuslift_remote_fraction" in names) == is_weighted


def test_load_settings_out_of_range_or_in_contradiction_are_refused():
    """Guards against an instance that starts and then decides by senseless values."""
    clock = ManualClock()
    load = LoadSettings(
        is_locality_weighted=True, upstream_queue_length=-1, remote_price_per_gb=-1.0
    )
    settings = evolve(entry_settings(), load=load)
    with pytest.raises(SettingsError) as caught:
        make_load_features(settings, clock, UpstreamDirectory(clock))
    assert [fault.path for fault in caught.value.faults] == [
        "load.is_locality_weighted",
        "load.upstream_queue_length",
        "load.remote_price_per_gb",
    ]
