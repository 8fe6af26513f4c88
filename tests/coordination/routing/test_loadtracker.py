"""Guards against load reports that misstate what passed through an instance."""

import pytest

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.routing.loadtracker import LoadTracker
from arbutuslift.state.loadfigures import ServiceDemand, UpstreamLoad

from ...builders import start

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
    (load,) = report.upstreams
    assert load == UpstreamLoad(
        upstream_id=start(1).upstream_id,
        born_ms=start(1).born_ms,
        open_flows=1,
        outstanding=pytest.approx(0.25),
        answered=1,
        response_sum_ms=250,
        failures=0,
    )
    (demand,) = report.services
    assert demand == ServiceDemand(
        service="alerts",
        arrivals=1,
        rejected=0,
        remote=0,
        outstanding=pytest.approx(0.25),
    )


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
