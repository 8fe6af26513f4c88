"""Guards against packets at a wrong upstream, and resets of flows that live."""

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
    """A router with its parts on a manual clock."""

    def __init__(self, *starts, table=None, seed=1, data_centre="dc-1"):
        self.clock = ManualClock()
        self.directory = UpstreamDirectory(self.clock)
        self.judge = OutlierDetector(self.clock)
        self.picker = UpstreamSelector(
            self.clock, self.directory, self.judge, data_centre, random.Random(seed)
        )
        self.suspected = []
        self.router = FlowTagRouter(
            self.clock,
            self.directory,
            self.judge,
            self.picker,
            self.suspected.append,
        )
        self.learn(*starts)
        self.router.apply(table or routing_table())

    def learn(self, *starts, silent=False, source="control"):
        news = [StartNews(start=s, is_silent=silent) for s in starts]
        self.directory.receive(source, news, is_first=False, is_settled=False)

    def syn(self, number=1, copies=0):
        return self.router.route(caller_packet(number, is_syn=True, ack=copies))

    def data(self, number=1, tag=0, **fields):
        fields = {"data_length_bytes": 100, "seq": 1, "ack": 1} | fields
        return self.router.route(caller_packet(number, tag=tag, **fields))

    def wait(self, duration_s):
        self.clock.jump(duration_s)


def test_the_tag_decides_whatever_the_instance_has_seen():
    entry = RouterHarness(start(1), start(2))
    decision = entry.data(tag=tag_of(start(2)))
    assert decision.verdict is Verdict.FORWARDED
    assert decision.upstream.start.key == start(2).key


def test_without_a_tag_a_known_flow_keeps_its_upstream():
    entry = RouterHarness(*(start(n) for n in range(1, 9)))
    chosen = entry.syn().upstream
    assert entry.data().upstream is chosen


def test_an_unknown_tag_is_dropped_and_never_reset():
    decision = RouterHarness(start(1)).data(tag=12345)
    assert decision.verdict is Verdict.DROPPED_UNKNOWN_TAG


def test_a_flow_stays_while_its_upstream_drains():
    entry = RouterHarness(start(1), start(2))
    tag = tag_of(start(1))
    entry.learn(start(1, phase=Phase.DRAINING, sequence=2))
    assert entry.data(tag=tag).verdict is Verdict.FORWARDED
    assert all(entry.syn(n).upstream.start.number == 2 for n in range(20))


def test_a_flow_stays_while_its_data_centre_is_out_of_service():
    entry = RouterHarness(start(1), start(2, data_centre="dc-2"))
    entry.router.apply(routing_table(2, out_of_service=frozenset({"dc-1"})))
    assert entry.data(tag=tag_of(start(1))).verdict is Verdict.FORWARDED
    assert all(entry.syn(n).upstream.start.number == 2 for n in range(20))


def test_a_flow_of_a_start_that_is_gone_is_reset():
    entry = RouterHarness(start(1, born_ms=10))
    entry.learn(start(1, born_ms=20))
    decision = entry.data(tag=tag_of(start(1, born_ms=10)))
    assert decision.verdict is Verdict.RESET_UPSTREAM_GONE


def test_a_flow_whose_route_is_dropped_is_reset():
    entry = RouterHarness(start(1))
    entry.router.apply(routing_table(2, (route(444),)))
    decision = entry.data(tag=tag_of(start(1)))
    assert decision.verdict is Verdict.RESET_ROUTE_REMOVED


def test_an_older_table_changes_nothing():
    entry = RouterHarness(start(1), table=routing_table(5))
    assert not entry.router.apply(routing_table(4, ()))
    assert entry.syn().verdict is Verdict.NEW_FLOW


def test_a_flow_to_no_route_and_one_without_an_upstream_are_refused_at_once():
    entry = RouterHarness(table=routing_table(1, ()))
    assert entry.syn().verdict is Verdict.REFUSED_NO_ROUTE
    entry.router.apply(routing_table(2))
    assert entry.syn().verdict is Verdict.REFUSED_NO_UPSTREAM


def test_no_table_gives_no_statement():
    entry = RouterHarness(start(1))
    entry.router.table = None
    assert entry.syn().verdict is Verdict.DROPPED_NO_TABLE


def test_an_early_copy_of_a_syn_goes_the_same_way():
    entry = RouterHarness(*(start(n) for n in range(1, 9)))
    first = entry.syn()
    entry.wait(0.05)
    assert entry.syn(copies=1).upstream is first.upstream


def test_a_late_copy_of_a_syn_goes_to_another_upstream():
    entry = RouterHarness(*(start(n) for n in range(1, 9)))
    first = entry.syn()
    entry.wait(0.2)
    second = entry.syn(copies=1)
    assert second.verdict is Verdict.SYN_MOVED
    assert second.upstream is not first.upstream


def test_a_late_copy_stays_if_there_is_no_other_upstream():
    entry = RouterHarness(start(1))
    entry.syn()
    entry.wait(0.2)
    assert entry.syn(copies=1).upstream.start.number == 1


def test_flows_without_answers_lead_away_from_an_upstream_until_it_answers():
    entry = RouterHarness(start(1), start(2, data_centre="dc-2"))
    for number in (1, 2):
        assert entry.syn(number).upstream.start.number == 1
        entry.wait(0.2)
        entry.syn(number, copies=1)
    assert all(entry.syn(n).upstream.start.number == 2 for n in range(3, 9))
    entry.data(50, tag=tag_of(start(1)), ack=1)
    entry.data(50, tag=tag_of(start(1)), ack=2)
    assert entry.syn(60).upstream.start.number == 1


@pytest.mark.parametrize("repeats", [1, 5])
def test_one_flow_alone_is_no_evidence_against_an_upstream(repeats):
    entry = RouterHarness(start(1), start(2, data_centre="dc-2"))
    for _ in range(repeats):
        entry.data(tag=tag_of(start(1)))
        entry.wait(0.3)
    assert entry.syn(9).upstream.start.number == 1


def test_silent_upstreams_come_last_but_are_better_than_none():
    entry = RouterHarness(start(1))
    entry.learn(start(1), silent=True)
    assert entry.syn(1).upstream.start.number == 1
    entry.learn(start(2, data_centre="dc-2"))
    assert entry.syn(2).upstream.start.number == 2


def test_an_upstream_heard_by_one_control_instance_is_not_silent():
    entry = RouterHarness(start(1))
    entry.learn(start(1), silent=True, source="a")
    entry.learn(start(1), silent=False, source="b")
    assert not entry.directory.is_silent(start(1))
    entry.directory.remove_source("b")
    entry.directory.remove_source("control")
    assert entry.directory.is_silent(start(1))


def test_cold_upstreams_get_new_flows_only_if_no_other_can():
    entry = RouterHarness(start(1, warm_up_left_ms=2000), start(2, data_centre="dc-2"))
    assert all(entry.syn(n).upstream.start.number == 2 for n in range(9))
    entry.learn(start(2, data_centre="dc-2", phase=Phase.GONE))
    assert entry.syn(20).upstream.start.number == 1


def test_new_flows_are_spread():
    entry = RouterHarness(*(start(n) for n in range(1, 5)))
    for number in range(40):
        entry.syn(number)
    assert {known.flow_count for known in entry.directory.of_service("alerts")} == {10}


def test_finished_and_idle_flows_are_no_load():
    entry = RouterHarness(start(1))
    entry.syn(1)
    entry.syn(2)
    entry.data(2, is_fin=True)
    assert entry.directory.of_service("alerts")[0].flow_count == 1
    entry.wait(16)
    entry.router.expire()
    assert entry.directory.of_service("alerts")[0].flow_count == 0
    assert entry.router.flow_count == 0


def test_the_record_of_flows_is_bounded(monkeypatch):
    monkeypatch.setattr("arbutuslift.coordination.routing.flowtagrouter.MAX_FLOWS", 3)
    entry = RouterHarness(start(1))
    for number in range(10):
        entry.syn(number)
    assert entry.router.flow_count == 3
    assert entry.directory.of_service("alerts")[0].flow_count == 3


def test_flows_of_an_upstream_that_can_not_be_reached_are_reset():
    entry = RouterHarness(start(1), start(2))
    entry.directory.find(tag_of(start(1))).is_lost = True
    decision = entry.data(tag=tag_of(start(1)))
    assert decision.verdict is Verdict.RESET_UPSTREAM_LOST
    assert all(entry.syn(n).upstream.start.number == 2 for n in range(9))


def test_new_flows_stay_in_the_data_centre_until_it_answers_late():
    entry = RouterHarness(start(1), start(2, data_centre="dc-2"))
    assert all(entry.syn(n).upstream.start.number == 1 for n in range(30))
    for ack in range(2, 60, 2):
        entry.data(99, tag=tag_of(start(1)), seq=ack, ack=ack)
        entry.wait(0.06)
        entry.data(99, tag=tag_of(start(1)), seq=ack, ack=ack + 1, data_length_bytes=0)
    assert all(entry.syn(n).upstream.start.number == 2 for n in range(30, 40))


def test_the_time_until_the_next_request_is_no_response_time():
    entry = RouterHarness(start(1))
    entry.data(tag=tag_of(start(1)), seq=1, ack=1)
    entry.wait(5.0)
    entry.data(tag=tag_of(start(1)), seq=2, ack=2)
    assert entry.directory.find(tag_of(start(1))).response_s == 0.0


def test_a_repeated_request_is_told_from_a_new_one():
    entry = RouterHarness(start(1))
    tag = tag_of(start(1))
    assert entry.data(tag=tag, seq=1).verdict is Verdict.FORWARDED
    entry.wait(0.2)
    assert entry.data(tag=tag, seq=1).verdict is Verdict.REPEATED
    assert entry.data(tag=tag, seq=2, ack=2).verdict is Verdict.FORWARDED


def test_a_caller_that_was_refused_by_an_upstream_is_sent_to_others():
    entry = RouterHarness(*(start(n) for n in range(1, 5)))
    chosen = []
    for port in range(4):
        packet = caller_packet(7, flow=bytes([port]) * 12, is_syn=True)
        chosen.append(entry.router.route(packet).upstream.start.number)
        entry.wait(0.01)
    assert sorted(chosen) == [1, 2, 3, 4]
    assert len(entry.suspected) == 3


def test_two_flows_that_a_caller_opens_at_once_are_no_evidence():
    entry = RouterHarness(start(1), start(2))
    for port in range(2):
        entry.router.route(caller_packet(7, flow=bytes([port]) * 12, is_syn=True))
        entry.wait(0.002)
    assert entry.suspected == []


def test_a_flow_that_does_not_open_is_evidence_without_a_copy():
    entry = RouterHarness(start(1))
    entry.syn(1)
    entry.wait(0.12)
    entry.router.expire()
    assert [known.start.number for known in entry.suspected] == [1]
    entry.router.expire()
    assert len(entry.suspected) == 1


def test_a_flow_that_opens_is_no_evidence():
    entry = RouterHarness(start(1))
    entry.syn(1)
    entry.data(1, data_length_bytes=0)
    entry.wait(0.2)
    entry.router.expire()
    assert entry.suspected == []


def unanswered(entry):
    """Return a list that the router fills."""
    found = []
    entry.router._on_unanswered = found.append
    return found


def request(entry, number=1, **fields):
    return entry.data(number, tag=tag_of(start(1)), datagram=b"GET", **fields)


@pytest.mark.parametrize(
    ("end", "ending"),
    [
        (lambda entry: entry.data(is_fin=True, data_length_bytes=0), "caller_ended"),
        (lambda entry: entry.data(is_reset=True, data_length_bytes=0), "caller_reset"),
        (lambda entry: entry.syn(), "reopened"),
        (
            lambda entry: entry.learn(start(1, phase=Phase.GONE)) or entry.data(),
            "reset_here",
        ),
        (lambda entry: entry.wait(20.0) or entry.router.expire(), "idle"),
    ],
)
def test_a_request_without_an_answer_is_told_once(end, ending):
    """Guards against failed requests that leave no line."""
    entry = RouterHarness(start(1))
    found = unanswered(entry)
    request(entry)
    entry.wait(0.4)
    end(entry)
    entry.wait(20.0)
    entry.router.expire()
    assert [item.ending for item in found] == [ending]
    assert found[0].datagram == b"GET"
    assert found[0].upstream.start.upstream_id == start(1).upstream_id
    assert found[0].waited_s > 0.39


def test_an_answered_request_is_not_told():
    entry = RouterHarness(start(1))
    found = unanswered(entry)
    request(entry)
    entry.data(seq=2, ack=2, data_length_bytes=0)
    entry.data(is_fin=True, ack=2, data_length_bytes=0)
    entry.wait(20.0)
    entry.router.expire()
    assert found == []


def test_packets_of_requests_are_not_kept_without_bound(monkeypatch):
    """Guards against an entry process that is killed for its memory."""
    monkeypatch.setattr(flowtagrouter, "MAX_REQUESTS_KEPT", 1)
    entry = RouterHarness(start(1))
    found = unanswered(entry)
    for number in (1, 2):
        request(entry, number)
    entry.wait(20.0)
    entry.router.expire()
    assert [item.datagram for item in found] == [b"GET", b""]
