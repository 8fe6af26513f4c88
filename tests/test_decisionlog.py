"""Guards against decisions that aren't logged, and log lines that fill the disk."""

import pytest
import structlog
from adapter.packets import PlatformCodec
from structlog.testing import capture_logs

from arbutuslift import decisionlog, logs
from arbutuslift.coordination.routing.flowtagrouter import Decision, Verdict
from arbutuslift.coordination.routing.trackedflows import EndReason, UnansweredRequest
from arbutuslift.coordination.routing.trackedstart import TrackedStart
from arbutuslift.decisionlog import DecisionLog

from .builders import caller_packet, routing_table, start


@pytest.fixture
def lines(monkeypatch):
    """Return the lines as they are logged, without the rate limits of other tests."""
    monkeypatch.setattr(logs, "_outputs", [])
    structlog.reset_defaults()
    with capture_logs() as captured:
        yield captured


def note(verdict, number=1, **fields):
    packet = caller_packet(number, **({"data_length_bytes": 10} | fields))
    DecisionLog(PlatformCodec()).log_decision(
        packet, Decision(verdict), routing_table(4)
    )


@pytest.mark.parametrize(
    "verdict", sorted(set(Verdict) - {Verdict.FORWARDED, Verdict.SYN_REPEATED})
)
def test_every_refusal_drop_and_reset_has_a_line(verdict, lines):
    """Guards against new verdicts that aren't logged."""
    note(verdict)
    assert [line["event"] for line in lines] == [verdict.value]
    assert lines[0]["revision"] == 4


def test_one_flow_in_sixteen_is_logged_as_a_whole(lines):
    for number in range(1, 1601):
        for _ in range(2):
            note(Verdict.FORWARDED, number)
    flows = [line["flow"] for line in lines]
    assert 60 < len(set(flows)) < 140
    assert len(flows) == 2 * len(set(flows))


def test_packets_without_data_of_ordinary_flows_leave_no_line(lines):
    for number in range(1, 200):
        note(Verdict.FORWARDED, number, data_length_bytes=0)
        note(Verdict.SYN_REPEATED, number, is_syn=True, data_length_bytes=0)
    assert lines == []


def test_a_request_without_an_answer_names_its_upstream(lines):
    head = bytes(32) + b"GET / HTTP/1.1\r\nX-Request-Id: abc\r\n\r\n"
    request = UnansweredRequest(
        flow=b"\x01" * 12,
        upstream=TrackedStart(start=start(3), tag=1),
        datagram=head,
        waited_s=0.25,
        ending=EndReason.IDLE,
    )
    DecisionLog(PlatformCodec()).log_unanswered_request(request)
    assert lines == [
        {
            "event": decisionlog.UNANSWERED_EVENT,
            "log_level": "info",
            "flow": "01" * 12,
            "request": "abc",
            "upstream": start(3).upstream_id,
            "upstream_phase": "ready",
            "waited_ms": 250,
            "ending": "idle",
        }
    ]
