"""Guards against cold upstreams that fall over under all instances together."""

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


def open_pickers(clock, count, believed=None):
    pickers = []
    for number in range(count):
        directory = UpstreamDirectory(clock)
        news = (StartNews(start=start(1, warm_up_left_ms=60_000), is_silent=False),)
        directory.receive("a", news, is_first=True, is_settled=True)
        picker = UpstreamSelector(
            clock, directory, OutlierDetector(clock), "dc-1", random.Random(number)
        )
        picker.entry_count = believed or count
        pickers.append(picker)
    return pickers


@pytest.mark.parametrize("count", [1, 3, 9, 59, 1500])
def test_all_instances_together_keep_the_limit_of_a_cold_upstream(count):
    clock = ManualClock()
    pickers = open_pickers(clock, count)
    table = cold_table()
    times_s = []
    for _ in range(100):
        clock.jump(0.05)
        for picker in pickers:
            if picker.select(route(), table) is not None:
                times_s.append(clock.monotonic_s())
    most = max((sum(t <= u < t + 1.0 for u in times_s) for t in times_s), default=0)
    # The bound of the users: the limit times 1.5, plus 5.
    assert most <= LIMIT_PER_S * 1.5 + 5


def test_a_restarted_instance_waits_before_its_first_flow():
    clock = ManualClock()
    (picker,) = open_pickers(clock, 1)
    assert picker.select(route(), cold_table()) is None
    clock.jump(0.2)
    assert picker.select(route(), cold_table()) is not None


def test_a_limit_of_zero_stands_for_none():
    clock = ManualClock()
    (picker,) = open_pickers(clock, 1)
    assert all(picker.select(route(), cold_table(0.0)) for _ in range(5))


def test_a_weight_of_zero_gets_no_flow():
    clock = ManualClock()
    (picker,) = open_pickers(clock, 1)
    only = route(services=())
    assert picker.select(only, cold_table(0.0)) is None


def test_a_slow_upstream_does_not_keep_its_share():
    clock = ManualClock()
    directory = UpstreamDirectory(clock)
    news = [StartNews(start=start(n), is_silent=False) for n in range(1, 5)]
    directory.receive("a", news, is_first=True, is_settled=True)
    picker = UpstreamSelector(
        clock, directory, OutlierDetector(clock), "dc-1", random.Random(1)
    )
    known = directory.of_service("alerts")
    for upstream in known:
        response_s = 0.2 if upstream is known[0] else 0.02
        upstream.observe_response(response_s, clock.monotonic_s())
    for _ in range(62):
        picker.select(route(), cold_table(0.0)).flow_count += 1
    assert known[0].flow_count == 2
    assert all(upstream.flow_count == 20 for upstream in known[1:])
    clock.jump(RESPONSE_MAX_AGE_S + 1)
    chosen = [picker.select(route(), cold_table(0.0)) for _ in range(3)]
    assert all(upstream is known[0] for upstream in chosen)
