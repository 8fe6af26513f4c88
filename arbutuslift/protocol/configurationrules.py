"""Table of the rules that a configuration is checked against."""

from collections.abc import Callable, Iterable, Iterator
from enum import StrEnum

from attrs import frozen

from ..errors import Fault
from . import configurationeffects as effects
from .configurationeffects import Examined
from .document import Service
from .documentchecks import CROSS_RULES, FIELD_RULE
from .documentfile import FILE_RULE, MAX_DOCUMENT_BYTES


class Severity(StrEnum):
    """How severe a finding is; instances refuse a document with errors."""

    ERROR = "error"
    WARNING = "warning"
    NOTE = "note"


@frozen(kw_only=True)
class Finding:
    """What a rule found.

    Attributes:
        rule: Name of the rule.
        severity: Severity of the rule.
        path: Position in the document, such as ``services[0].port``.
        reason: What is wrong there, or what changes.
        line: Line in the file, from 1; 0 if unknown.
    """

    rule: str
    severity: Severity
    path: str
    reason: str
    line: int = 0

    def __str__(self) -> str:
        position = f"line {self.line}: " if self.line else ""
        path = f"{self.path}: " if self.path else ""
        return f"{self.severity} {position}{path}{self.reason} [{self.rule}]"


@frozen
class Rule:
    """A rule.

    Attributes:
        name: Name of the rule.
        severity: Severity of its findings.
        meaning: What it demands or reports.
        find: Yields faults of an accepted document; None for errors, which are found
            while a document is read and built.
    """

    name: str
    severity: Severity
    meaning: str
    find: Callable[[Examined], Iterator[Fault]] | None = None


def finding_of(fault: Fault, severity: Severity = Severity.ERROR) -> Finding:
    """Return a fault as a finding."""
    return Finding(
        rule=fault.rule,
        severity=severity,
        path=fault.path,
        reason=fault.reason,
        line=fault.line,
    )


def find_warnings_and_notes(examined: Examined) -> list[tuple[Severity, Fault]]:
    """Return what the rules find in a document without errors."""
    return [
        (rule.severity, Fault(fault.path, fault.reason, rule=rule.name))
        for rule in RULES
        if rule.find is not None
        for fault in rule.find(examined)
    ]


def _for_each_service(
    find: Callable[[Service], Iterable[tuple[str, str]]],
) -> Callable[[Examined], Iterator[Fault]]:
    """Apply a function that yields pairs of a field and a reason."""

    def find_in_all(examined: Examined) -> Iterator[Fault]:
        for index, service in enumerate(examined.document.services):
            for field, reason in find(service):
                yield Fault(f"services[{index}].{field}", reason)

    return find_in_all


def _slots_over_connections(service: Service) -> Iterator[tuple[str, str]]:
    if service.slots > service.max_connections:
        reason = f"{service.slots} is over max_connections {service.max_connections}"
        yield "slots", reason


def _rate_below_cold_limit(service: Service) -> Iterator[tuple[str, str]]:
    if 0 < service.max_new_flows_per_s < service.cold_new_flows_per_s:
        cold = service.cold_new_flows_per_s
        reason = f"{service.max_new_flows_per_s} is below cold_new_flows_per_s {cold}"
        yield "max_new_flows_per_s", reason


def _requests_below_slots(service: Service) -> Iterator[tuple[str, str]]:
    if 0 < service.max_open_requests < service.slots:
        reason = f"{service.max_open_requests} is below slots {service.slots}"
        yield "max_open_requests", reason


def _empty_data_centres(examined: Examined) -> Iterator[Fault]:
    for index, centre in enumerate(examined.document.data_centres):
        if not centre.instances:
            yield Fault(f"data_centres[{index}]", "lists no instances")


def _ended_rotations(examined: Examined) -> Iterator[Fault]:
    for index, entry in enumerate(examined.document.out_of_rotation):
        if 0 < entry.until_s <= examined.now_s:
            yield Fault(f"out_of_rotation[{index}].until_s", "has passed")


RULES = (
    Rule(
        FILE_RULE,
        Severity.ERROR,
        f"The file can be read and is YAML or JSON of at most {MAX_DOCUMENT_BYTES} "
        "bytes, also in canonical form.",
    ),
    Rule(
        FIELD_RULE,
        Severity.ERROR,
        "Every field is known, has a valid value, and none is missing.",
    ),
    *(Rule(rule.name, Severity.ERROR, rule.meaning) for rule in CROSS_RULES),
    Rule(
        "slots-over-connections",
        Severity.WARNING,
        "The slots of an upstream aren't more than its connections.",
        _for_each_service(_slots_over_connections),
    ),
    Rule(
        "rate-below-cold-limit",
        Severity.WARNING,
        "The limit on new flows of a service is no lower than the limit of one cold "
        "upstream.",
        _for_each_service(_rate_below_cold_limit),
    ),
    Rule(
        "requests-below-slots",
        Severity.WARNING,
        "The limit on open requests of a service is no lower than the slots of one "
        "upstream.",
        _for_each_service(_requests_below_slots),
    ),
    Rule(
        "data-centre-empty",
        Severity.WARNING,
        "Every data centre lists instances.",
        _empty_data_centres,
    ),
    Rule(
        "rotation-ended",
        Severity.NOTE,
        "An entry of out_of_rotation has ended.",
        _ended_rotations,
    ),
    Rule(
        "no-upstream",
        Severity.WARNING,
        "Some upstream announces the service (`--against=servers`).",
        effects.services_without_upstreams,
    ),
    Rule(
        "no-eligible-upstream",
        Severity.WARNING,
        "Some upstream of the service is in rotation and in a data centre in service "
        "(`--against=servers`).",
        effects.services_without_eligible_upstreams,
    ),
    Rule(
        "data-centre-unnamed",
        Severity.WARNING,
        "Some running instance names the data centre (`--against=servers`).",
        effects.unnamed_data_centres,
    ),
    Rule(
        "data-centre-unknown",
        Severity.WARNING,
        "The document has the data centre of every upstream (`--against=servers`).",
        effects.unknown_data_centres,
    ),
    Rule(
        "rotation-unknown",
        Severity.WARNING,
        "The upstream of an entry of out_of_rotation is known (`--against=servers`).",
        effects.unknown_rotations,
    ),
    Rule(
        "flows-dropped",
        Severity.WARNING,
        "The change drops open flows: a service goes, or callers reach it elsewhere "
        "(`--against`).",
        effects.dropped_flows,
    ),
    Rule(
        "flows-reset",
        Severity.WARNING,
        "The change resets open flows: a data centre goes out of service "
        "(`--against`).",
        effects.reset_flows,
    ),
    Rule(
        "back-in-service",
        Severity.WARNING,
        "The change removes a data centre that is out of service, so that its "
        "upstreams get new flows (`--against`).",
        effects.removed_out_of_service,
    ),
    Rule(
        "service-moved",
        Severity.NOTE,
        "The change moves a service to another address, or an address to another "
        "service (`--against`).",
        effects.moved_services,
    ),
    Rule(
        "shares-divided-anew",
        Severity.NOTE,
        "The change alters the list of instances, so that limits are divided anew "
        "(`--against`).",
        effects.divided_shares,
    ),
    Rule(
        "differs",
        Severity.NOTE,
        "Every difference from the other document (`--against`).",
        effects.differences,
    ),
)
