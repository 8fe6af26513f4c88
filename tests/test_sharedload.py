"""Guards against load features that act without being asked, or aren't connected."""

import subprocess
import sys

from attrs import evolve

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.concurrency import TaskSet
from arbutuslift.coordination.dissemination.loadserver import LoadServer
from arbutuslift.coordination.dissemination.startregistry import StartRegistry
from arbutuslift.coordination.routing.upstreamdirectory import UpstreamDirectory
from arbutuslift.loadfeatures import LoadFeatures, make_load_features
from arbutuslift.loadmetrics import control_load_families
from arbutuslift.metricspage import render_metrics
from arbutuslift.protocol.channel import Channel
from arbutuslift.protocol.feed import StartNews
from arbutuslift.rolesettings import LoadSettings
from arbutuslift.transport.bus import MemoryNetwork

from .builders import entry_settings, start, upstream_load


class SharedLoadHarness:
    """Shared load of an entry instance that knows five upstreams, and a control."""

    def __init__(self):
        self.clock = ManualClock()
        network = MemoryNetwork(self.clock)
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
            load=LoadSettings(is_load_reported=True),
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
    assert load.families() == []
    code = (
        "import sys, arbutuslift.entry\n"
        "names = ('sharedload', 'protocol.loads')\n"
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
