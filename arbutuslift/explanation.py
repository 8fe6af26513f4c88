"""Explains what became of a request, from log lines alone."""

from collections.abc import Iterable

from attrs import frozen

from .loglines import LogLine, LogReader

# Beliefs so long before and after a request can have decided it: an upstream that
# falls silent is noticed after about 4 s.
CONTEXT_S = 6.0

# What decided a request, the strongest first, and what an operator may conclude.
_CAUSES = (
    ("refused_no_route", "no route in the configuration in effect: nothing has run"),
    ("refused_no_upstream", "no upstream took new flows: nothing has run"),
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
    ("syn_moved", "the first upstream left the opening unanswered"),
)
_BELIEFS = (
    "upstream_",
    "process_was_frozen",
    "draining",
    "started",
    "configuration_in_effect",
)
CAUSE_NOT_FOUND = (
    "no line speaks for a cause here: look at the upstream, or at the network"
)
REQUEST_NOT_LOGGED = (
    "no line names it: its upstream answered or refused it, or it reached no instance "
    "that was running; the lines tell which instances weren't"
)
# Changes of instances, shown for a request that no line names.
_ABSENCES = ("started", "process_was_frozen", "draining", "process_ends")


@frozen(kw_only=True)
class Explanation:
    """What the lines say of one request or flow.

    Attributes:
        identifier: Request id or flow that was asked for.
        cause: The likely cause.
        evidence: Events that speak for it.
        time_line: Lines in order of time, as they were logged.
        bad_lines: Lines that couldn't be read.
    """

    identifier: str
    cause: str
    evidence: tuple[str, ...]
    time_line: tuple[str, ...]
    bad_lines: int


def explain(identifier: str, lines: Iterable[str]) -> Explanation:
    """Explain a request id or a flow.

    Args:
        identifier: The id in the request, or the flow as logged.
        lines: Log lines of any number of processes, in any order.
    """
    reader = LogReader()
    events = list(reader.read(lines))
    own = _own_lines(identifier, events)
    context = _context(own, events) if own else _absences(events)
    shown = sorted([*own, *context], key=lambda line: line.time_s)
    cause, evidence = _cause(shown) if own else (REQUEST_NOT_LOGGED, ())
    return Explanation(
        identifier=identifier,
        cause=cause,
        evidence=evidence,
        time_line=tuple(line.text for line in shown),
        bad_lines=reader.bad_lines,
    )


def _own_lines(identifier: str, events: list[LogLine]) -> list[LogLine]:
    """Return the lines of the request, and of the flows that carried it."""
    named = [e for e in events if identifier in (e.value("request"), e.value("flow"))]
    flows = {line.value("flow") for line in named}
    return [line for line in events if line.value("flow") in flows]


def _absences(events: list[LogLine]) -> list[LogLine]:
    return [line for line in events if line.event in _ABSENCES]


def _context(own: list[LogLine], events: list[LogLine]) -> list[LogLine]:
    """Return changes of belief about the same upstreams or at the same instances."""
    first_s = min(line.time_s for line in own) - CONTEXT_S
    last_s = max(line.time_s for line in own) + CONTEXT_S
    upstreams = {line.value("upstream") for line in own} - {""}
    instances = {line.instance for line in own}
    return [
        line
        for line in events
        if line.event.startswith(_BELIEFS)
        and first_s <= line.time_s <= last_s
        and _concerns(line, upstreams, instances)
    ]


def _concerns(line: LogLine, upstreams: set[str], instances: set[str]) -> bool:
    upstream = line.value("upstream")
    return upstream in upstreams if upstream else line.instance in instances


def _cause(shown: list[LogLine]) -> tuple[str, tuple[str, ...]]:
    for event, cause in _CAUSES:
        found = [line for line in shown if line.event == event]
        if found:
            return cause, tuple(f"{line.instance} {line.event}" for line in found)
    return CAUSE_NOT_FOUND, ()
