"""Guards against load reports that misstate what passed through an instance."""

import pytest
from attrs import evolve

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.routing.loadtracker import LoadTracker
from arbutuslift.state.flowtags import tag_of

from ...builders import route, routing_table, service_demand, start, upstream_load
from .test_flowtagrouter import RouterHarness

FLOW = b"flow"


class Tracker(LoadTracker):
    """A tracker on a manual clock, in data centre dc-1."""

    def __init__(self):
        self.clock = ManualClock()
        super().__init__(self.clock, "dc-1")


def test_a_request_counts_from_its_data_packet_to_the_acknowledgement():
    tracker = Tracker()
    tracker.record_arrival("alerts", start(1))
    tracker.open_flow(FLOW, start(1), is_opening=True)
    tracker.record_progress(FLOW)
    tracker.begin_request(FLOW, start(1), 5.0)
    assert tracker.outstanding(start(1).key) == 1
    assert tracker.outstanding_of_service("alerts") == 1
    tracker.clock.jump(0.25)
    tracker.end_request(FLOW, 0.25)
    tracker.clock.jump(0.75)
    report = tracker.take_report()
    assert report.interval_ms == 1000
    mean = pytest.approx(0.25)
    (load,) = report.upstreams
    assert load == upstream_load(1, outstanding=mean, answered=1, response_sum_ms=250)
    assert report.services == (service_demand(outstanding=mean),)


def test_a_flow_counts_as_outstanding_from_its_syn():
    """Guards against a burst that is seen only when its requests arrive."""
    tracker = Tracker()
    tracker.open_flow(FLOW, start(1), is_opening=True)
    assert tracker.outstanding(start(1).key) == 1
    tracker.record_progress(FLOW)
    assert tracker.outstanding(start(1).key) == 0


def test_a_request_of_a_vanished_caller_ends_with_the_time_out_of_its_route():
    tracker = Tracker()
    tracker.begin_request(FLOW, start(1), 5.0)
    tracker.clock.jump(4.9)
    tracker.take_report()
    assert tracker.outstanding(start(1).key) == 1
    tracker.clock.jump(0.2)
    tracker.take_report()
    assert tracker.outstanding(start(1).key) == 0
    assert tracker.outstanding_of_service("alerts") == 0


def test_rejected_and_remote_flows_are_counted_by_service():
    tracker = Tracker()
    tracker.record_arrival("alerts", None)
    tracker.record_arrival("alerts", start(1, data_centre="dc-2"))
    (demand,) = tracker.take_report().services
    assert (demand.arrivals, demand.rejected, demand.remote) == (2, 1, 1)


def test_an_upstream_without_news_is_left_out_and_forgotten():
    """Guards against reports and memory that grow with every start ever used."""
    tracker = Tracker()
    tracker.open_flow(FLOW, start(1), is_opening=False)
    tracker.record_failure(start(1))
    assert [row.failures for row in tracker.take_report().upstreams] == [1]
    assert tracker.take_report().upstreams == ()
    tracker.close_flow(start(1))
    assert [row.open_flows for row in tracker.take_report().upstreams] == [0]
    assert tracker.take_report().upstreams == ()
    assert not tracker._starts


def test_an_end_without_a_beginning_changes_nothing():
    tracker = Tracker()
    tracker.end_request(FLOW, 0.1)
    tracker.close_flow(start(1))
    assert tracker.take_report().upstreams == ()


class TrackedRouter(RouterHarness):
    """A router whose flows a tracker counts, with a time-out of 5 s on its route."""

    def __init__(self, *starts):
        table = routing_table(1, (evolve(route(), timeout_s=5.0),))
        self.tracker = Tracker()
        super().__init__(
            *starts, table=table, clock=self.tracker.clock, observer=self.tracker
        )

    def outstanding(self, number=1):
        return self.tracker.outstanding(start(number).key)

    def report(self):
        return self.tracker.take_report()


def test_the_router_reports_a_request_and_its_answer():
    entry = TrackedRouter(start(1))
    entry.syn()
    assert entry.outstanding() == 1
    entry.data(data_length_bytes=0)
    assert entry.outstanding() == 0
    entry.data()
    entry.wait(0.1)
    entry.data()
    assert entry.outstanding() == 1
    entry.data(seq=101, ack=2, data_length_bytes=0)
    assert entry.outstanding() == 0
    (load,) = entry.report().upstreams
    assert (load.open_flows, load.answered, load.response_sum_ms) == (1, 1, 100)


def test_a_request_ends_with_its_flow():
    """Guards against load that stays after callers reset or end their flows."""
    for fields in ({"is_reset": True}, {"is_fin": True, "data_length_bytes": 0}):
        entry = TrackedRouter(start(1))
        entry.syn()
        entry.data()
        entry.wait(0.1)
        entry.data(seq=101, **fields)
        assert entry.outstanding() == 0
        (load,) = entry.report().upstreams
        assert (load.open_flows, load.answered) == (0, 0)


def test_an_answer_acknowledged_with_the_next_request_has_no_response_time():
    entry = TrackedRouter(start(1))
    entry.data(tag=tag_of(start(1)))
    entry.wait(3.0)
    entry.data(seq=101, ack=2)
    assert entry.outstanding() == 1
    assert [row.answered for row in entry.report().upstreams] == [0]


def test_a_moved_syn_is_one_arrival_and_a_failure():
    entry = TrackedRouter(start(1), start(2))
    first = entry.syn().upstream.start
    entry.wait(0.2)
    second = entry.syn(copies=1).upstream.start
    assert entry.outstanding(first.number) == 0
    assert entry.outstanding(second.number) == 1
    report = entry.report()
    assert [demand.arrivals for demand in report.services] == [1]
    failures = {row.upstream_id: row.failures for row in report.upstreams}
    assert failures == {first.upstream_id: 1, second.upstream_id: 0}


def test_a_refused_flow_is_an_arrival_that_was_rejected():
    entry = TrackedRouter()
    entry.syn()
    (demand,) = entry.report().services
    assert (demand.service, demand.arrivals, demand.rejected) == ("alerts", 1, 1)


def test_the_router_ends_requests_of_vanished_callers():
    entry = TrackedRouter(start(1))
    entry.data(tag=tag_of(start(1)))
    entry.wait(5.1)
    entry.router.expire()
    assert entry.outstanding() == 0
