"""Explains the outcome of a request from log lines alone."""

from collections.abc import Iterable

from attrs import frozen

from .loglines import LogLine, LogReader

# Changes of a view within this time before or after a request can have decided its
# outcome: a silent upstream is detected after about 4 s.
CONTEXT_S = 6.0

# Events that can decide the outcome of a request, the strongest evidence first, and the
# cause that is shown to the operator.
_CAUSES = (
    ("refused_no_route", "no route in the configuration in effect: nothing has run"),
    ("refused_no_upstream", "no upstream took new flows: nothing has run"),
    ("rejected_busy", "no capacity within the time that it may wait: nothing has run"),
    ("dropped_busy", "no capacity for the copy of a SYN, which was left unanswered"),
    ("reset_route_removed", "a configuration removed the route of the open flow"),
    ("reset_upstream_gone", "the upstream that held the flow had ended"),
    ("reset_upstream_lost", "the upstream that held the flow couldn't be reached"),
    ("upstream_lost", "the upstream stopped answering and couldn't be reached"),
    ("dropped_unknown_tag", "the instance didn't know the start that held the flow"),
    ("dropped_no_table", "the instance had just started and knew no routes yet"),
    ("process_was_frozen", "the instance stood still"),
    ("draining", "the instance was being stopped"),
    ("started", "the instance had just been started again"),
    ("repeated", "the upstream gave no answer within 150 ms, or it was lost"),
    ("request_unanswered", "the upstream gave no answer before the caller gave up"),
    ("syn_waits_cold", "it waited for a permit, since its upstreams are in cold start"),
    ("syn_waits", "it waited for capacity before it was opened"),
    ("syn_moved", "the first upstream left the opening unanswered"),
)
_CONTEXT_EVENTS = (
    "upstream_",
    "process_was_frozen",
    "draining",
    "started",
    "configuration_in_effect",
    "shortage_",
)
CAUSE_NOT_FOUND = (
    "no line speaks for a cause here: look at the upstream, or at the network"
)
REQUEST_NOT_LOGGED = (
    "no line names it: its upstream answered or refused it, or it reached no instance "
    "that was running; the lines tell which instances weren't"
)
# Events that make an instance unavailable; shown for a request that no line names.
_DOWNTIME_EVENTS = ("started", "process_was_frozen", "draining", "process_ends")


@frozen(kw_only=True)
class Explanation:
    """Explanation of the outcome of one request or flow.

    Attributes:
        identifier: Identifier of the request or flow.
        cause: The likely cause.
        evidence: Events that indicate the cause.
        time_line: Related log lines in chronological order.
        bad_lines: Number of lines that couldn't be parsed.
    """

    identifier: str
    cause: str
    evidence: tuple[str, ...]
    time_line: tuple[str, ...]
    bad_lines: int


def explain(identifier: str, lines: Iterable[str]) -> Explanation:
    """Explain the outcome of a request or flow.

    Args:
        identifier: Identifier of the request, or of the flow as it is logged.
        lines: Log lines of any number of processes, in any order.
    """
    reader = LogReader()
    events = list(reader.read(lines))
    request_lines = _lines_of_request(identifier, events)
    context = (
        _context(request_lines, events) if request_lines else _downtime_lines(events)
    )
    shown = sorted([*request_lines, *context], key=lambda line: line.time_s)
    cause, evidence = _find_cause(shown) if request_lines else (REQUEST_NOT_LOGGED, ())
    return Explanation(
        identifier=identifier,
        cause=cause,
        evidence=evidence,
        time_line=tuple(line.text for line in shown),
        bad_lines=reader.bad_lines,
    )


def _lines_of_request(identifier: str, events: list[LogLine]) -> list[LogLine]:
    """Return the lines of the request and of its flows."""
    named = [e for e in events if identifier in (e.value("request"), e.value("flow"))]
    flows = {line.value("flow") for line in named}
    return [line for line in events if line.value("flow") in flows]


def _downtime_lines(events: list[LogLine]) -> list[LogLine]:
    return [line for line in events if line.event in _DOWNTIME_EVENTS]


def _context(request_lines: list[LogLine], events: list[LogLine]) -> list[LogLine]:
    """Return changes of the view of the same upstreams or at the same instances."""
    first_s = min(line.time_s for line in request_lines) - CONTEXT_S
    last_s = max(line.time_s for line in request_lines) + CONTEXT_S
    upstreams = {line.value("upstream") for line in request_lines} - {""}
    instances = {line.instance for line in request_lines}
    return [
        line
        for line in events
        if line.event.startswith(_CONTEXT_EVENTS)
        and first_s <= line.time_s <= last_s
        and _is_related(line, upstreams, instances)
    ]


def _is_related(line: LogLine, upstreams: set[str], instances: set[str]) -> bool:
    upstream = line.value("upstream")
    return upstream in upstreams if upstream else line.instance in instances


def _find_cause(shown: list[LogLine]) -> tuple[str, tuple[str, ...]]:
    for event, cause in _CAUSES:
        found = [line for line in shown if line.event == event]
        if found:
            return cause, tuple(f"{line.instance} {line.event}" for line in found)
    return CAUSE_NOT_FOUND, ()
