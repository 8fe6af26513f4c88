"""Guards against failed requests whose log lines don't show the cause."""

import pytest

from arbutuslift.explanation import CAUSE_NOT_FOUND, REQUEST_NOT_LOGGED, explain
from arbutuslift.loglines import MAX_LINE_CHARACTERS, LogReader


def line(second, event, instance="front-1", **values):
    pairs = " ".join(f"{name}={value}" for name, value in values.items())
    time = f"2026-06-30T03:08:{second:06.3f}+00:00"
    return f"timestamp={time} level=info event={event} instance={instance} {pairs}"


def request(second, event, **values):
    return line(second, event, **({"request": "r1", "flow": "f1"} | values))


@pytest.mark.parametrize(
    ("lines", "word"),
    [
        ([request(5, "refused_no_upstream")], "no upstream took new flows"),
        ([request(5, "refused_no_route")], "no route"),
        ([request(5, "reset_upstream_gone", upstream="u")], "had ended"),
        (
            [
                line(5, "new_flow", flow="f1", upstream="u"),
                request(6, "repeated", upstream="u"),
                line(6.4, "upstream_lost", upstream="u"),
            ],
            "couldn't be reached",
        ),
        (
            [request(6, "repeated", upstream="u"), line(4, "process_was_frozen")],
            "stood still",
        ),
        ([request(6, "repeated", upstream="u")], "no answer within"),
        ([request(6, "forwarded", upstream="u")], CAUSE_NOT_FOUND),
        ([request(6, "forwarded", request="r2", flow="f2")], REQUEST_NOT_LOGGED),
    ],
)
def test_the_cause_of_a_failed_request(lines, word):
    assert word in explain("r1", lines).cause


def test_the_time_line_holds_the_flow_and_events_of_its_upstream():
    lines = [
        request(6, "repeated", upstream="u"),
        line(5, "new_flow", flow="f1", upstream="u"),
        line(7, "upstream_silent", instance="core-1", upstream="u"),
        line(7, "upstream_silent", instance="core-1", upstream="other"),
        line(30, "upstream_silent", instance="core-1", upstream="u"),
        line(5, "draining", instance="front-2"),
    ]
    shown = explain("f1", lines).time_line
    assert [text.split("event=")[1].split()[0] for text in shown] == [
        "new_flow",
        "repeated",
        "upstream_silent",
    ]


@pytest.mark.parametrize(
    "malformed",
    [
        "",
        "Traceback (most recent call last):",
        "timestamp=2026-06-30T03:08 event=x",
        "timestamp=now level=info event=x instance=a",
        line(1, "x", reason="y" * MAX_LINE_CHARACTERS),
        "\x00\xff",
    ],
)
def test_malformed_and_truncated_lines_are_counted(malformed):
    found = explain("r1", [malformed, request(5, "refused_no_route")])
    assert found.bad_lines == 1
    assert len(found.time_line) == 1


def test_quoted_values_are_unquoted():
    text = line(1, "x", reason='"a \\"b\\" c"')
    (read,) = LogReader().read([text])
    assert read.value("reason") == 'a "b" c'


def test_unavailable_instances_are_shown_for_a_request_that_no_line_names():
    """Guards against an empty explanation if an instance died with the request."""
    restarted = line(5, "started", instance="front-2")
    found = explain("r9", [restarted, request(5, "forwarded", request="r2", flow="f2")])
    assert found.cause == REQUEST_NOT_LOGGED
    assert found.time_line == (restarted,)


def test_a_request_without_an_answer_is_explained():
    lines = [request(6, "request_unanswered", upstream="u", ending="caller_reset")]
    assert "no answer before the caller gave up" in explain("r1", lines).cause
