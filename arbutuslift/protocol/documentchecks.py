"""Checks of a configuration document: published JSON schema and cross-field checks."""

import ipaddress
import itertools
import json
import math
from collections.abc import Callable, Iterable, Iterator
from importlib import resources

from attrs import evolve, frozen
from jsonschema import Draft202012Validator

from ..errors import Fault

PRIORITIES = ("urgent", "high", "ordinary")
SCHEMA_FILE = "document-schema.json"
NAME_RULE = "letters, digits, dot, hyphen and underscore, at most 64"

# A file of 2 MB can hold a million faults, and each error of the schema check takes
# 1 KB of memory.
MAX_REPORTED_FAULTS = 200

# A document has a depth of 5. The text of a value nested almost as deep as the parser
# permits exceeds the limit on recursion.
MAX_DEPTH = 32

# Name of the rule that every field has a valid value.
FIELD_RULE = "field"

_MAX_VALUE_CHARACTERS = 60


@frozen
class Entry:
    """An object in one of the document's lists; its fields may be malformed."""

    path: str
    fields: dict


@frozen
class CrossRule:
    """A rule about several fields, which a document must keep to be accepted.

    Attributes:
        name: Name of the rule.
        meaning: What it demands.
        find: Yields the faults of a document given as plain values.
    """

    name: str
    meaning: str
    find: Callable[[object], Iterator[Fault]]


def load_schema() -> dict:
    """Return the published JSON schema."""
    package = resources.files(__package__)
    return json.loads(package.joinpath(SCHEMA_FILE).read_text())


_validator = Draft202012Validator(load_schema())


def find_faults(content: object) -> tuple[Fault, ...]:
    """Return the distinct faults of a document given as plain values."""
    faults = [*find_shape_faults(content), *_find_cross_faults(content)]
    return tuple(dict.fromkeys(faults))[:MAX_REPORTED_FAULTS]


def find_shape_faults(content: object) -> tuple[Fault, ...]:
    """Return the faults of single fields: unknown, missing or malformed."""
    if _is_too_deep(content):
        return (Fault("", f"nested deeper than {MAX_DEPTH}", rule=FIELD_RULE),)
    errors = itertools.islice(_validator.iter_errors(content), MAX_REPORTED_FAULTS)
    errors = sorted(errors, key=_sort_key)
    faults = [fault for error in errors for fault in _faults_of(error)]
    faults += [
        Fault(f"{entry.path}.warm_up_s", "must be finite")
        for entry in entries_of(content, "services")
        if _is_not_finite(entry.fields.get("warm_up_s"))
    ]
    return tuple(evolve(fault, rule=FIELD_RULE) for fault in faults)


def _is_too_deep(content: object) -> bool:
    level = [content]
    for _ in range(MAX_DEPTH):
        level = [inner for value in level for inner in _values_in(value)]
    return bool(level)


def _values_in(value: object) -> Iterable[object]:
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()


def _sort_key(error: object) -> tuple[str, str]:
    return error.json_path, error.message


def _faults_of(error: object) -> Iterator[Fault]:
    path = error.json_path.removeprefix("$").removeprefix(".")
    if error.validator == "additionalProperties":
        known_fields = error.schema["properties"]
        for key in error.instance:
            if key not in known_fields:
                yield Fault(_join_path(path, _format_value(key)), "unknown field")
    elif error.validator == "required":
        for key in error.validator_value:
            if key not in error.instance:
                yield Fault(_join_path(path, key), "missing")
    else:
        yield Fault(path, _reason(error))


def _reason(error: object) -> str:
    value = _format_value(error.instance)
    limit = error.validator_value
    match error.validator:
        case "type":
            return f"{value} must be of type {limit}"
        case "enum":
            return f"{value} must be one of {', '.join(limit)}"
        case "minimum":
            return f"{value} must be at least {limit}"
        case "exclusiveMinimum":
            return f"{value} must be more than {limit}"
        case "maximum":
            return f"{value} must be at most {limit}"
        case "pattern" | "anyOf":
            return f"{value} must be a name: {NAME_RULE}"
    return f"{value} fails {error.validator} {limit}"


def _format_value(value: object) -> str:
    if isinstance(value, str):
        text = value if value.isprintable() else repr(value)
    else:
        try:
            text = repr(value)
        except ValueError:  # An int with more digits than Python converts to text.
            text = "a number"
    if len(text) > _MAX_VALUE_CHARACTERS:
        return text[:_MAX_VALUE_CHARACTERS] + "..."
    return text or "''"


def _join_path(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key


def _is_not_finite(value: object) -> bool:
    return isinstance(value, float) and not math.isfinite(value)


def entries_of(content: object, key: str) -> list[Entry]:
    """Return the objects in one of the document's lists."""
    rows = content.get(key) if isinstance(content, dict) else None
    if not isinstance(rows, list):
        return []
    return [
        Entry(f"{key}[{index}]", row)
        for index, row in enumerate(rows)
        if isinstance(row, dict)
    ]


def _find_cross_faults(content: object) -> Iterator[Fault]:
    for rule in CROSS_RULES:
        for fault in itertools.islice(rule.find(content), MAX_REPORTED_FAULTS):
            yield evolve(fault, rule=rule.name)


def _duplicates_in(key: str, name: str) -> Callable[[object], Iterator[Fault]]:
    return lambda content: _find_duplicates(entries_of(content, key), name)


def _for_each_service(
    find: Callable[[Entry], Iterator[Fault]],
) -> Callable[[object], Iterator[Fault]]:
    def find_in_all(content: object) -> Iterator[Fault]:
        for service in entries_of(content, "services"):
            yield from find(service)

    return find_in_all


def _find_duplicates(entries: Iterable[Entry], key: str) -> Iterator[Fault]:
    """Return a fault for each value that an earlier entry already uses.

    An address must belong to a single service, because an upstream relies on it: it
    discards a packet meant for another service, whose address it doesn't own.
    """
    first_paths: dict[str, str] = {}
    for entry in entries:
        value = entry.fields.get(key)
        if not isinstance(value, str):
            continue
        first_path = first_paths.setdefault(value, entry.path)
        if first_path != entry.path:
            reason = f"{_format_value(value)} is already used by {first_path}"
            yield Fault(f"{entry.path}.{key}", reason)


def _address_faults(service: Entry) -> Iterator[Fault]:
    value = service.fields.get("address")
    if not isinstance(value, str):
        return
    path = f"{service.path}.address"
    try:
        address = ipaddress.IPv4Address(value)
    except ValueError:
        yield Fault(path, f"{_format_value(value)} must be a dotted IPv4 address")
        return
    if address.is_multicast or address.is_unspecified or address.is_reserved:
        yield Fault(path, f"{value} must be a unicast address")


def _udp_faults(service: Entry) -> Iterator[Fault]:
    if service.fields.get("protocol") != "udp":
        return
    if service.fields.get("idempotent", False) is False:
        reason = "must be true over udp, where a repeated datagram could run twice"
        yield Fault(f"{service.path}.idempotent", reason)


def _share_faults(content: object) -> Iterator[Fault]:
    total_percent = 0
    for service in entries_of(content, "services"):
        percent = service.fields.get("min_share_percent", 0)
        if type(percent) is not int or not 0 < percent <= 100:
            continue
        total_percent += percent
        if total_percent > 100:
            reason = f"the shares up to here add up to {total_percent}%, over 100%"
            yield Fault(f"{service.path}.min_share_percent", reason)
            return


def _instance_faults(content: object) -> Iterator[Fault]:
    first_paths: dict[str, str] = {}
    for centre in entries_of(content, "data_centres"):
        names = centre.fields.get("instances")
        for index, name in enumerate(names if isinstance(names, list) else []):
            path = f"{centre.path}.instances[{index}]"
            if not isinstance(name, str):
                continue
            first_path = first_paths.setdefault(name, path)
            if first_path != path:
                yield Fault(
                    path, f"{_format_value(name)} is already listed at {first_path}"
                )


def _service_faults(content: object) -> Iterator[Fault]:
    data_centres = _listed_data_centres(content)
    states = [centre.fields.get("in_service", True) for centre in data_centres or ()]
    if data_centres is not None and all(state is False for state in states):
        yield Fault("data_centres", "at least one must be in service")


def _missing_instance_faults(content: object) -> Iterator[Fault]:
    data_centres = _listed_data_centres(content)
    if data_centres is None:
        return
    if not any(centre.fields.get("instances") for centre in data_centres):
        reason = "at least one must list instances, which share the limits of upstreams"
        yield Fault("data_centres", reason)


def _listed_data_centres(content: object) -> list[Entry] | None:
    """Return the data centres, or None if there is no list of them."""
    if not isinstance(content, dict):
        return None
    if not isinstance(content.get("data_centres"), list):
        return None
    return entries_of(content, "data_centres")


CROSS_RULES = (
    CrossRule(
        "service-name",
        "No two services have the same name.",
        _duplicates_in("services", "name"),
    ),
    CrossRule(
        "service-address",
        "No two services have the same address; the later one would never match.",
        _duplicates_in("services", "address"),
    ),
    CrossRule(
        "address-form",
        "The address of a service is a dotted IPv4 unicast address.",
        _for_each_service(_address_faults),
    ),
    CrossRule(
        "udp-idempotent",
        "A service over udp is idempotent.",
        _for_each_service(_udp_faults),
    ),
    CrossRule(
        "share-sum",
        "The guaranteed shares of all services add up to 100% at most.",
        _share_faults,
    ),
    CrossRule(
        "data-centre-name",
        "No two data centres have the same name.",
        _duplicates_in("data_centres", "name"),
    ),
    CrossRule("instance-name", "No instance is listed twice.", _instance_faults),
    CrossRule("in-service", "At least one data centre is in service.", _service_faults),
    CrossRule(
        "instances",
        "At least one data centre lists instances.",
        _missing_instance_faults,
    ),
    CrossRule(
        "rotation-once",
        "No upstream is listed twice in out_of_rotation.",
        _duplicates_in("out_of_rotation", "upstream_id"),
    ),
)
