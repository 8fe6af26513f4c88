"""Guards against upstreams that some instances overload while others have room."""

import heapq
import random
from collections import Counter

import pytest

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.dissemination.loadsums import UpstreamSums
from arbutuslift.coordination.routing.loadtracker import LoadTracker
from arbutuslift.coordination.routing.loadview import LoadView
from arbutuslift.coordination.routing.outlierdetector import OutlierDetector
from arbutuslift.coordination.routing.sharedloadchoice import SharedLoadChoice
from arbutuslift.coordination.routing.upstreamdirectory import UpstreamDirectory
from arbutuslift.coordination.routing.upstreamselector import UpstreamSelector
from arbutuslift.coordination.routing.upstreamweights import UpstreamWeights
from arbutuslift.protocol.feed import StartNews

from ...builders import (
    load_summary,
    route,
    routing_table,
    service_load,
    start,
    upstream_load,
)


class Entry:
    """An entry instance that knows some upstreams and selects by shared load."""

    def __init__(self, clock, upstreams, seed=1):
        self.directory = UpstreamDirectory(clock)
        records = [
            StartNews(start=start(n, slots=2), is_silent=False)
            for n in range(1, upstreams + 1)
        ]
        self.directory.merge_feed_answer("a", records, is_first=True, is_settled=True)
        self.view, self.tracker = LoadView(clock), LoadTracker(clock)
        self.weights = UpstreamWeights(lambda key: "alerts")
        rng = random.Random(seed)
        self.choice = SharedLoadChoice(self.view, self.tracker, self.weights, rng)
        self.selector = UpstreamSelector(
            clock, self.directory, OutlierDetector(clock), "dc-1", rng, self.choice
        )

    def select(self):
        return self.selector.select(route(), routing_table()).start


def numbers(entry, count):
    return Counter(entry.select().number for _ in range(count))


def test_an_upstream_far_above_the_mean_gets_nothing():
    entry = Entry(ManualClock(), 5)
    entry.view.update(load_summary(upstreams=(upstream_load(1, outstanding=5.0),)))
    assert set(numbers(entry, 100)) == {2, 3, 4, 5}


def test_ordinary_differences_of_old_figures_do_not_count():
    """Guards against herds that follow the same figures until the next summary."""
    entry = Entry(ManualClock(), 5)
    loads = [upstream_load(n, outstanding=0.5 + n / 4) for n in range(1, 6)]
    entry.view.update(load_summary(upstreams=tuple(loads)))
    drawn = numbers(entry, 1000)
    assert min(drawn[number] for number in range(1, 6)) > 1000 / 5 / 2


def test_upstreams_that_a_summary_leaves_out_count_in_the_mean():
    """Guards against shunning the busiest upstreams because the others aren't sent."""
    entry = Entry(ManualClock(), 5)
    busiest = upstream_load(1, outstanding=2.0)
    whole = service_load(outstanding=9.0, slots=10)
    entry.view.update(load_summary(upstreams=(busiest,), services=(whole,)))
    drawn = numbers(entry, 1000)
    assert min(drawn[number] for number in range(1, 6)) > 1000 / 5 / 2


def test_requests_of_this_instance_count_at_once():
    """Guards against a burst that follows a summary to a single upstream."""
    entry = Entry(ManualClock(), 2)
    entry.view.update(load_summary())
    entry.tracker.open_flow(b"flow", start(2), is_opening=True)
    assert numbers(entry, 50) == {1: 50}


def test_without_a_recent_summary_the_selection_is_that_of_before():
    clock = ManualClock()
    entry = Entry(clock, 5)
    entry.view.update(load_summary(upstreams=(upstream_load(1, outstanding=5.0),)))
    clock.jump(3.1)
    assert set(numbers(entry, 100)) == {1, 2, 3, 4, 5}


class DataCentre:
    """Entry instances before 20 upstreams with 2 slots each; work takes 60 ms.

    Args:
        is_shared: Whether the instances get the sums of their reports each second.
        slow_factor: Factor by which the first three upstreams are slow.
    """

    def __init__(self, is_shared, slow_factor=1, instances=33, upstreams=20):
        self.clock = ManualClock()
        self.entries = [Entry(self.clock, upstreams, n) for n in range(instances)]
        self.is_shared = is_shared
        self.slow_factor = slow_factor
        self.rng = random.Random(1)
        self.free_at = {n: [0, 0] for n in range(1, upstreams + 1)}
        self.running = []
        self.late = []

    def run(self, seconds, rate_per_s):
        for _ in range(seconds):
            for _ in range(1000):
                self.clock.jump(0.001)
                self.end_requests()
                if self.rng.random() < rate_per_s / 1000:
                    self.begin_request()
            self.share()

    def begin_request(self, aim_s=0.3):
        entry = self.rng.choice(self.entries)
        tracked = entry.selector.select(route(), routing_table())
        now_s, number = self.clock.monotonic_s(), tracked.start.number
        slots = self.free_at[number]
        factor = self.slow_factor if number <= 3 else 1
        begin_s = max(now_s, min(slots))
        end_s = begin_s + self.rng.expovariate(1 / 0.06) * factor
        slots[slots.index(min(slots))] = end_s
        self.late.append(end_s - now_s > aim_s)
        flow = self.rng.randbytes(8)
        tracked.flow_count += 1
        entry.tracker.open_flow(flow, tracked.start, is_opening=False)
        entry.tracker.begin_request(flow, tracked.start, 0.0)
        item = (end_s, flow, entry, tracked, end_s - now_s)
        heapq.heappush(self.running, item)

    def end_requests(self):
        now_s = self.clock.monotonic_s()
        while self.running and self.running[0][0] <= now_s:
            _, flow, entry, tracked, response_s = heapq.heappop(self.running)
            tracked.flow_count -= 1
            tracked.observe_response(response_s, now_s)
            entry.tracker.end_request(flow, response_s)
            entry.tracker.close_flow(tracked.start)

    def share(self):
        reports = [entry.tracker.take_report().upstreams for entry in self.entries]
        if not self.is_shared:
            return
        sums = UpstreamSums()
        for report in reports:
            sums.add(report)
        summary = load_summary(upstreams=tuple(map(sums.load, sums)))
        for entry, report in zip(self.entries, reports, strict=True):
            entry.view.update(summary, report)
            entry.weights.update(summary.upstreams)

    def late_fraction(self):
        return sum(self.late) / len(self.late)


def late_fractions(loads, **options):
    """Return the late parts without and with shared load."""
    fractions = []
    for is_shared in (False, True):
        centre = DataCentre(is_shared, **options)
        for seconds, rate_per_s in loads:
            centre.run(seconds, rate_per_s)
        fractions.append(centre.late_fraction())
    return fractions


@pytest.mark.parametrize("instances", [4, 33])
def test_a_wave_and_a_burst_of_1_8_are_not_later_with_shared_load(instances):
    """Guards against figures, a second old, that send a burst to few upstreams.

    No class or data centre may be more than 0.02 worse off.
    """
    loads = ((4, 200), (4, 340), (4, 1.8 * 300))
    alone, shared = late_fractions(loads, instances=instances)
    assert shared <= alone + 0.02


@pytest.mark.parametrize("slow_factor", [5, 9])
def test_upstreams_slow_by_a_factor_make_fewer_requests_late_with_shared_load(
    slow_factor,
):
    alone, shared = late_fractions(((16, 230),), slow_factor=slow_factor)
    assert shared < alone
