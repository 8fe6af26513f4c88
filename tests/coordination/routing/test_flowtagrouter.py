"""Guards against packets sent to a wrong upstream, and resets of open flows."""

import random

import pytest

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.routing import flowtagrouter
from arbutuslift.coordination.routing.flowtagrouter import FlowTagRouter, Verdict
from arbutuslift.coordination.routing.outlierdetector import OutlierDetector
from arbutuslift.coordination.routing.upstreamdirectory import UpstreamDirectory
from arbutuslift.coordination.routing.upstreamselector import UpstreamSelector
from arbutuslift.protocol.feed import StartNews
from arbutuslift.state.flowtags import tag_of
from arbutuslift.state.starts import Phase

from ...builders import caller_packet, route, routing_table, start


class RouterHarness:
    """A flow tag router and the objects that it uses, on a manual clock."""

    def __init__(
        self,
        *starts,
        table=None,
        seed=1,
        data_centre="dc-1",
        restored=False,
        clock=None,
        observer=None,
    ):
        self.clock = clock or ManualClock()
        self.directory = UpstreamDirectory(self.clock, may_use_restored_starts=restored)
        self.outlier_detector = OutlierDetector(self.clock)
        self.selector = UpstreamSelector(
            self.clock,
            self.directory,
            self.outlier_detector,
            data_centre,
            random.Random(seed),
        )
        self.suspected = []
        self.router = FlowTagRouter(
            self.clock,
            self.directory,
            self.outlier_detector,
            self.selector,
            self.suspected.append,
            observer=observer,
        )
        self.learn(*starts)
        self.router.apply(table or routing_table())

    def learn(self, *starts, silent=False, source="control"):
        records = [StartNews(start=s, is_silent=silent) for s in starts]
        self.directory.merge_feed_answer(
            source, records, is_first=False, is_settled=False
        )

    def syn(self, number=1, copies=0):
        return self.router.route(caller_packet(number, is_syn=True, ack=copies))

    def data(self, number=1, tag=0, **fields):
        fields = {"data_length_bytes": 100, "seq": 1, "ack": 1} | fields
        return self.router.route(caller_packet(number, tag=tag, **fields))

    def wait(self, duration_s):
        self.clock.jump(duration_s)


def test_packet_goes_to_the_start_of_its_tag():
    harness = RouterHarness(start(1), start(2))
    decision = harness.data(tag=tag_of(start(2)))
    assert decision.verdict is Verdict.FORWARDED
    assert decision.upstream.start.key == start(2).key


def test_packet_without_a_tag_goes_to_the_upstream_of_its_tracked_flow():
    harness = RouterHarness(*(start(n) for n in range(1, 9)))
    selected = harness.syn().upstream
    assert harness.data().upstream is selected


def test_packet_with_an_unknown_tag_is_dropped_and_not_reset():
    decision = RouterHarness(start(1)).data(tag=12345)
    assert decision.verdict is Verdict.DROPPED_UNKNOWN_TAG


def test_flow_continues_while_its_upstream_drains():
    harness = RouterHarness(start(1), start(2))
    tag = tag_of(start(1))
    harness.learn(start(1, phase=Phase.DRAINING, sequence=2))
    assert harness.data(tag=tag).verdict is Verdict.FORWARDED
    assert all(harness.syn(n).upstream.start.number == 2 for n in range(20))


def test_flow_continues_while_its_data_centre_is_out_of_service():
    harness = RouterHarness(start(1), start(2, data_centre="dc-2"))
    harness.router.apply(routing_table(2, out_of_service=frozenset({"dc-1"})))
    assert harness.data(tag=tag_of(start(1))).verdict is Verdict.FORWARDED
    assert all(harness.syn(n).upstream.start.number == 2 for n in range(20))


def test_a_flow_of_the_former_start_goes_on_at_the_next_start_of_the_upstream():
    """Guards against resets of flows that opened before the next start registered."""
    former, present = start(1, born_ms=10), start(1, born_ms=20)
    harness = RouterHarness(former, start(2))
    harness.learn(present)
    decision = harness.data(tag=tag_of(former))
    assert decision.verdict is Verdict.FORWARDED
    assert decision.upstream.start == present
    harness.learn(start(1, born_ms=20, sequence=2, phase=Phase.GONE))
    decision = harness.data(tag=tag_of(former))
    assert decision.verdict is Verdict.RESET_UPSTREAM_GONE


@pytest.mark.parametrize(
    "present",
    [
        start(3, born_ms=20, ip=start(1).ip),
        start(1, born_ms=20, service="archive"),
        start(1, born_ms=20, port=7000),
    ],
)
def test_a_flow_of_a_start_that_is_gone_goes_to_no_other_upstream(present):
    """Guards against packets of one service or upstream that reach another."""
    former = start(1, born_ms=10)
    harness = RouterHarness(former, start(2))
    harness.learn(present)
    decision = harness.data(tag=tag_of(former))
    assert decision.verdict is Verdict.RESET_UPSTREAM_GONE


def test_a_flow_of_a_start_that_is_gone_is_reset():
    harness = RouterHarness(start(1, born_ms=10), start(2))
    harness.learn(start(1, born_ms=10, sequence=2, phase=Phase.GONE))
    decision = harness.data(tag=tag_of(start(1, born_ms=10)))
    assert decision.verdict is Verdict.RESET_UPSTREAM_GONE


def test_flow_whose_route_is_removed_is_reset():
    harness = RouterHarness(start(1))
    harness.router.apply(routing_table(2, (route(444),)))
    decision = harness.data(tag=tag_of(start(1)))
    assert decision.verdict is Verdict.RESET_ROUTE_REMOVED


def test_older_routing_table_is_ignored():
    harness = RouterHarness(start(1), table=routing_table(5))
    assert not harness.router.apply(routing_table(4, ()))
    assert harness.syn().verdict is Verdict.NEW_FLOW


def test_syn_without_a_route_or_an_upstream_is_refused():
    harness = RouterHarness(table=routing_table(1, ()))
    assert harness.syn().verdict is Verdict.REFUSED_NO_ROUTE
    harness.router.apply(routing_table(2))
    assert harness.syn().verdict is Verdict.REFUSED_NO_UPSTREAM


def test_packets_are_dropped_before_the_first_routing_table():
    harness = RouterHarness(start(1))
    harness.router.table = None
    assert harness.syn().verdict is Verdict.DROPPED_NO_TABLE


def test_early_copy_of_a_syn_goes_to_the_same_upstream():
    harness = RouterHarness(*(start(n) for n in range(1, 9)))
    first = harness.syn()
    harness.wait(0.05)
    assert harness.syn(copies=1).upstream is first.upstream


def test_a_late_copy_of_a_syn_goes_to_another_upstream():
    harness = RouterHarness(*(start(n) for n in range(1, 9)))
    first = harness.syn()
    harness.wait(0.2)
    second = harness.syn(copies=1)
    assert second.verdict is Verdict.SYN_MOVED
    assert second.upstream is not first.upstream


def test_late_copy_of_a_syn_goes_to_the_same_upstream_if_it_is_the_only_one():
    harness = RouterHarness(start(1))
    harness.syn()
    harness.wait(0.2)
    assert harness.syn(copies=1).upstream.start.number == 1


def test_flows_without_answers_exclude_an_upstream_until_it_answers():
    harness = RouterHarness(start(1), start(2, data_centre="dc-2"))
    for number in (1, 2):
        assert harness.syn(number).upstream.start.number == 1
        harness.wait(0.2)
        harness.syn(number, copies=1)
    assert all(harness.syn(n).upstream.start.number == 2 for n in range(3, 9))
    harness.data(50, tag=tag_of(start(1)), ack=1)
    harness.data(50, tag=tag_of(start(1)), ack=2)
    assert harness.syn(60).upstream.start.number == 1


@pytest.mark.parametrize("repeats", [1, 5])
def test_failures_of_one_flow_alone_exclude_no_upstream(repeats):
    harness = RouterHarness(start(1), start(2, data_centre="dc-2"))
    for _ in range(repeats):
        harness.data(tag=tag_of(start(1)))
        harness.wait(0.3)
    assert harness.syn(9).upstream.start.number == 1


def test_silent_upstream_is_selected_only_if_there_is_no_other():
    harness = RouterHarness(start(1))
    harness.learn(start(1), silent=True)
    assert harness.syn(1).upstream.start.number == 1
    harness.learn(start(2, data_centre="dc-2"))
    assert harness.syn(2).upstream.start.number == 2


def test_upstream_that_announces_itself_to_one_control_instance_is_not_silent():
    harness = RouterHarness(start(1))
    harness.learn(start(1), silent=True, source="a")
    harness.learn(start(1), silent=False, source="b")
    assert not harness.directory.is_silent(start(1))
    harness.directory.remove_source("b")
    harness.directory.remove_source("control")
    assert harness.directory.is_silent(start(1))


def test_cold_upstream_gets_new_flows_only_if_there_is_no_warm_one():
    harness = RouterHarness(
        start(1, warm_up_left_ms=2000), start(2, data_centre="dc-2")
    )
    assert all(harness.syn(n).upstream.start.number == 2 for n in range(9))
    harness.learn(start(2, data_centre="dc-2", phase=Phase.GONE))
    assert harness.syn(20).upstream.start.number == 1


def test_new_flows_are_distributed_evenly():
    harness = RouterHarness(*(start(n) for n in range(1, 5)))
    for number in range(40):
        harness.syn(number)
    assert {known.flow_count for known in harness.directory.of_service("alerts")} == {
        10
    }


def test_finished_and_idle_flows_do_not_count_as_load():
    harness = RouterHarness(start(1))
    harness.syn(1)
    harness.syn(2)
    harness.data(2, is_fin=True)
    assert harness.directory.of_service("alerts")[0].flow_count == 1
    harness.wait(16)
    harness.router.expire()
    assert harness.directory.of_service("alerts")[0].flow_count == 0
    assert harness.router.flow_count == 0


def test_number_of_tracked_flows_is_bounded(monkeypatch):
    monkeypatch.setattr("arbutuslift.coordination.routing.flowtagrouter.MAX_FLOWS", 3)
    harness = RouterHarness(start(1))
    for number in range(10):
        harness.syn(number)
    assert harness.router.flow_count == 3
    assert harness.directory.of_service("alerts")[0].flow_count == 3


def test_flow_of_an_unreachable_upstream_is_reset():
    harness = RouterHarness(start(1), start(2))
    harness.directory.find(tag_of(start(1))).is_lost = True
    decision = harness.data(tag=tag_of(start(1)))
    assert decision.verdict is Verdict.RESET_UPSTREAM_LOST
    assert all(harness.syn(n).upstream.start.number == 2 for n in range(9))


def test_new_flows_stay_in_the_data_centre_until_its_upstreams_answer_late():
    harness = RouterHarness(start(1), start(2, data_centre="dc-2"))
    assert all(harness.syn(n).upstream.start.number == 1 for n in range(30))
    for ack in range(2, 60, 2):
        harness.data(99, tag=tag_of(start(1)), seq=ack, ack=ack)
        harness.wait(0.06)
        harness.data(
            99, tag=tag_of(start(1)), seq=ack, ack=ack + 1, data_length_bytes=0
        )
    assert all(harness.syn(n).upstream.start.number == 2 for n in range(30, 40))


def test_pause_before_the_next_request_is_not_measured_as_response_time():
    harness = RouterHarness(start(1))
    harness.data(tag=tag_of(start(1)), seq=1, ack=1)
    harness.wait(5.0)
    harness.data(tag=tag_of(start(1)), seq=2, ack=2)
    assert harness.directory.find(tag_of(start(1))).response_s == 0.0


def test_repeated_request_is_distinguished_from_a_new_one():
    harness = RouterHarness(start(1))
    tag = tag_of(start(1))
    assert harness.data(tag=tag, seq=1).verdict is Verdict.FORWARDED
    harness.wait(0.2)
    assert harness.data(tag=tag, seq=1).verdict is Verdict.REPEATED
    assert harness.data(tag=tag, seq=2, ack=2).verdict is Verdict.FORWARDED


def test_caller_that_an_upstream_refused_is_sent_to_others():
    harness = RouterHarness(*(start(n) for n in range(1, 5)))
    selected = []
    for port in range(4):
        packet = caller_packet(7, flow=bytes([port]) * 12, is_syn=True)
        selected.append(harness.router.route(packet).upstream.start.number)
        harness.wait(0.01)
    assert sorted(selected) == [1, 2, 3, 4]
    assert len(harness.suspected) == 3


def test_two_flows_that_a_caller_opens_at_once_are_no_failure():
    harness = RouterHarness(start(1), start(2))
    for port in range(2):
        harness.router.route(caller_packet(7, flow=bytes([port]) * 12, is_syn=True))
        harness.wait(0.002)
    assert harness.suspected == []


def test_flow_that_does_not_open_is_a_failure_without_a_retransmission():
    harness = RouterHarness(start(1))
    harness.syn(1)
    harness.wait(0.12)
    harness.router.expire()
    assert [known.start.number for known in harness.suspected] == [1]
    harness.router.expire()
    assert len(harness.suspected) == 1


def test_flow_that_opens_is_no_failure():
    harness = RouterHarness(start(1))
    harness.syn(1)
    harness.data(1, data_length_bytes=0)
    harness.wait(0.2)
    harness.router.expire()
    assert harness.suspected == []


def collect_unanswered(harness):
    """Return a list to which the router adds unanswered requests."""
    requests = []
    harness.router._on_unanswered = requests.append
    return requests


def request(harness, number=1, **fields):
    return harness.data(number, tag=tag_of(start(1)), datagram=b"GET", **fields)


@pytest.mark.parametrize(
    ("end", "ending"),
    [
        (
            lambda harness: harness.data(is_fin=True, data_length_bytes=0),
            "caller_ended",
        ),
        (
            lambda harness: harness.data(is_reset=True, data_length_bytes=0),
            "caller_reset",
        ),
        (lambda harness: harness.syn(), "reopened"),
        (
            lambda harness: harness.learn(start(1, phase=Phase.GONE)) or harness.data(),
            "reset_here",
        ),
        (lambda harness: harness.wait(20.0) or harness.router.expire(), "idle"),
    ],
)
def test_unanswered_request_is_reported_once(end, ending):
    """Guards against failed requests that are missing from the log."""
    harness = RouterHarness(start(1))
    requests = collect_unanswered(harness)
    request(harness)
    harness.wait(0.4)
    end(harness)
    harness.wait(20.0)
    harness.router.expire()
    assert [item.ending for item in requests] == [ending]
    assert requests[0].datagram == b"GET"
    assert requests[0].upstream.start.upstream_id == start(1).upstream_id
    assert requests[0].waited_s > 0.39


def test_answered_request_is_not_reported():
    harness = RouterHarness(start(1))
    requests = collect_unanswered(harness)
    request(harness)
    harness.data(seq=2, ack=2, data_length_bytes=0)
    harness.data(is_fin=True, ack=2, data_length_bytes=0)
    harness.wait(20.0)
    harness.router.expire()
    assert requests == []


def test_number_of_retained_request_packets_is_bounded(monkeypatch):
    """Guards against an entry process that is killed for its memory use."""
    monkeypatch.setattr(flowtagrouter, "MAX_RETAINED_REQUESTS", 1)
    harness = RouterHarness(start(1))
    requests = collect_unanswered(harness)
    for number in (1, 2):
        request(harness, number)
    harness.wait(20.0)
    harness.router.expire()
    assert [item.datagram for item in requests] == [b"GET", b""]
