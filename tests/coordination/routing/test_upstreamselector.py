"""Guards against cold upstreams that the instances together overload."""

import random

import pytest

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.routing.outlierdetector import OutlierDetector
from arbutuslift.coordination.routing.trackedstart import RESPONSE_MAX_AGE_S
from arbutuslift.coordination.routing.upstreamdirectory import UpstreamDirectory
from arbutuslift.coordination.routing.upstreamselector import UpstreamSelector
from arbutuslift.protocol.feed import StartNews
from arbutuslift.state.routingtable import ServiceLimits

from ...builders import route, routing_table, start

LIMIT_PER_S = 10.0


def cold_table(limit_per_s=LIMIT_PER_S):
    limits = ServiceLimits(
        name="alerts",
        max_connections=2000,
        cold_new_flows_per_s=limit_per_s,
        cold_start_s=60,
    )
    return routing_table(services=(limits,))


def open_selectors(clock, count, assumed_count=None):
    selectors = []
    for number in range(count):
        directory = UpstreamDirectory(clock)
        records = (StartNews(start=start(1, warm_up_left_ms=60_000), is_silent=False),)
        directory.merge_feed_answer("a", records, is_first=True, is_settled=True)
        selector = UpstreamSelector(
            clock, directory, OutlierDetector(clock), "dc-1", random.Random(number)
        )
        selector.entry_count = assumed_count or count
        selectors.append(selector)
    return selectors


@pytest.mark.parametrize("count", [1, 3, 9, 59, 1500])
def test_all_instances_together_stay_within_the_limit_of_a_cold_upstream(count):
    clock = ManualClock()
    selectors = open_selectors(clock, count)
    table = cold_table()
    times_s = []
    for _ in range(100):
        clock.jump(0.05)
        for selector in selectors:
            if selector.select(route(), table) is not None:
                times_s.append(clock.monotonic_s())
    most = max((sum(t <= u < t + 1.0 for u in times_s) for t in times_s), default=0)
    # Requirement: at most 1.5 times the limit plus 5 new flows in a second.
    assert most <= LIMIT_PER_S * 1.5 + 5


def test_a_restarted_instance_waits_before_its_first_flow():
    clock = ManualClock()
    (selector,) = open_selectors(clock, 1)
    assert selector.select(route(), cold_table()) is None
    clock.jump(0.2)
    assert selector.select(route(), cold_table()) is not None


def cold_and_warm(limit_per_s):
    """Return the numbers of the upstreams of 40 new flows in 4 s."""
    clock = ManualClock()
    (selector,) = open_selectors(clock, 1)
    warm = StartNews(start=start(2, data_centre="dc-2"), is_silent=False)
    selector._directory.merge_feed_answer("a", (warm,), is_first=False, is_settled=True)
    numbers = []
    for _ in range(40):
        clock.jump(0.1)
        numbers.append(selector.select(route(), cold_table(limit_per_s)).start.number)
    return numbers


def test_a_cold_upstream_beside_warm_ones_gets_what_its_limit_allows():
    """Guards against a cold upstream that gets the flows of a warm one, or none."""
    assert cold_and_warm(2.5).count(1) == 8


def test_a_cold_upstream_beside_warm_ones_gets_nothing_without_a_limit():
    assert cold_and_warm(0.0).count(1) == 0


def flows_in_doubt(limit_per_s):
    """Return the numbers of new flows at a warm upstream that may have turned cold."""
    clock = ManualClock()
    (selector,) = open_selectors(clock, 1)
    warm = StartNews(start=start(1, sequence=2), is_silent=False)
    selector._directory.merge_feed_answer("a", (warm,), is_first=False, is_settled=True)
    selector.is_doubtful = lambda start, limits: True
    count = 0
    for _ in range(40):
        clock.jump(0.1)
        count += selector.select(route(), cold_table(limit_per_s)) is not None
    return count


def test_an_upstream_in_doubt_gets_no_more_than_a_cold_one():
    """Guards against a belief from before an absence that is trusted after it."""
    assert flows_in_doubt(2.5) == 8


def test_without_a_limit_no_upstream_is_in_doubt():
    assert flows_in_doubt(0.0) == 40


def test_a_flow_waits_for_the_report_of_an_upstream_in_doubt():
    """Guards against callers that are refused just before the report comes."""
    clock = ManualClock()
    (selector,) = open_selectors(clock, 1)
    selector.is_doubtful = lambda start, limits: True
    assert not selector.awaits_permit(route(), cold_table())
    warm = StartNews(start=start(1, sequence=2), is_silent=False)
    selector._directory.merge_feed_answer("a", (warm,), is_first=False, is_settled=True)
    assert selector.awaits_permit(route(), cold_table())
    assert not selector.awaits_permit(route(), cold_table(0.0))


def test_limit_of_zero_means_no_limit():
    clock = ManualClock()
    (selector,) = open_selectors(clock, 1)
    assert all(selector.select(route(), cold_table(0.0)) for _ in range(5))


def test_route_without_services_gets_no_upstream():
    clock = ManualClock()
    (selector,) = open_selectors(clock, 1)
    without_shares = route(services=())
    assert selector.select(without_shares, cold_table(0.0)) is None


def test_slow_upstream_gets_fewer_new_flows():
    clock = ManualClock()
    directory = UpstreamDirectory(clock)
    records = [StartNews(start=start(n), is_silent=False) for n in range(1, 5)]
    directory.merge_feed_answer("a", records, is_first=True, is_settled=True)
    selector = UpstreamSelector(
        clock, directory, OutlierDetector(clock), "dc-1", random.Random(1)
    )
    starts = directory.of_service("alerts")
    for upstream in starts:
        response_s = 0.2 if upstream is starts[0] else 0.02
        upstream.observe_response(response_s, clock.monotonic_s())
    for _ in range(62):
        selector.select(route(), cold_table(0.0)).flow_count += 1
    assert starts[0].flow_count == 2
    assert all(upstream.flow_count == 20 for upstream in starts[1:])
    clock.jump(RESPONSE_MAX_AGE_S + 1)
    selected = [selector.select(route(), cold_table(0.0)) for _ in range(3)]
    assert all(upstream is starts[0] for upstream in selected)


class FixedLocality:
    """A choice of data centre that doesn't depend on load."""

    def __init__(self, chosen):
        self.chosen = chosen
        self.offered = {}

    def choose(self, service, candidates_by_data_centre, rng):
        assert service == "alerts"
        self.offered = candidates_by_data_centre
        return self.chosen


def open_selector_of_two_data_centres():
    clock = ManualClock()
    directory = UpstreamDirectory(clock)
    records = [
        StartNews(start=start(n, data_centre=f"dc-{1 + n % 2}"), is_silent=False)
        for n in range(4)
    ]
    directory.merge_feed_answer("a", records, is_first=True, is_settled=True)
    return UpstreamSelector(
        clock, directory, OutlierDetector(clock), "dc-1", random.Random(1)
    )


def test_locality_chooses_among_data_centres_in_service():
    """Guards against new flows to a data centre out of service."""
    selector = open_selector_of_two_data_centres()
    selector.locality = FixedLocality("dc-2")
    assert selector.select(route(), cold_table(0.0)).start.data_centre == "dc-2"
    assert set(selector.locality.offered) == {"dc-1", "dc-2"}
    selector.locality = FixedLocality("dc-1")
    out = routing_table(out_of_service=frozenset({"dc-2"}))
    assert selector.select(route(), out).start.data_centre == "dc-1"
    assert set(selector.locality.offered) == {"dc-1"}


def test_without_locality_flows_stay_while_local_upstreams_answer_in_time():
    selector = open_selector_of_two_data_centres()
    for _ in range(10):
        selected = selector.select(route(), cold_table(0.0))
        selected.flow_count += 1
        assert selected.start.data_centre == "dc-1"
