"""Checks of a configuration document: published JSON schema and cross-field checks."""

import ipaddress
import itertools
import json
import math
from collections.abc import Iterable, Iterator
from importlib import resources

from attrs import frozen
from jsonschema import Draft202012Validator

from ..errors import Fault

PRIORITIES = ("urgent", "high", "ordinary")
SCHEMA_FILE = "document-schema.json"
NAME_RULE = "letters, digits, dot, hyphen and underscore, at most 64"

# A file of 2 MB can hold a million faults, and each error of the schema check takes
# 1 KB of memory.
MAX_REPORTED_FAULTS = 200

_MAX_VALUE_CHARACTERS = 60


@frozen
class _Entry:
    """An object in one of the document's lists; its fields may be malformed."""

    path: str
    fields: dict


def load_schema() -> dict:
    """Return the published JSON schema."""
    package = resources.files(__package__)
    return json.loads(package.joinpath(SCHEMA_FILE).read_text())


_validator = Draft202012Validator(load_schema())


def find_faults(content: object) -> tuple[Fault, ...]:
    """Return the distinct faults of a document given as plain values."""
    cross_faults = itertools.islice(_find_cross_faults(content), MAX_REPORTED_FAULTS)
    faults = [*find_shape_faults(content), *cross_faults]
    return tuple(dict.fromkeys(faults))[:MAX_REPORTED_FAULTS]


def find_shape_faults(content: object) -> tuple[Fault, ...]:
    """Return the faults of single fields: unknown, missing or malformed."""
    errors = itertools.islice(_validator.iter_errors(content), MAX_REPORTED_FAULTS)
    errors = sorted(errors, key=_sort_key)
    faults = [fault for error in errors for fault in _faults_of(error)]
    faults += [
        Fault(f"{entry.path}.warm_up_s", "must be finite")
        for entry in _entries(content, "services")
        if _is_not_finite(entry.fields.get("warm_up_s"))
    ]
    return tuple(faults)


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


def _entries(content: object, key: str) -> list[_Entry]:
    rows = content.get(key) if isinstance(content, dict) else None
    if not isinstance(rows, list):
        return []
    return [
        _Entry(f"{key}[{index}]", row)
        for index, row in enumerate(rows)
        if isinstance(row, dict)
    ]


def _find_cross_faults(content: object) -> Iterator[Fault]:
    services = _entries(content, "services")
    data_centres = _entries(content, "data_centres")
    yield from _find_duplicates(services, "name")
    yield from _find_duplicates(services, "address")
    for service in services:
        yield from _address_faults(service)
        yield from _udp_faults(service)
    yield from _share_faults(services)
    yield from _find_duplicates(data_centres, "name")
    yield from _instance_faults(data_centres)
    yield from _service_capacity_faults(content, data_centres)
    yield from _find_duplicates(_entries(content, "out_of_rotation"), "upstream_id")


def _find_duplicates(entries: Iterable[_Entry], key: str) -> Iterator[Fault]:
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


def _address_faults(service: _Entry) -> Iterator[Fault]:
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


def _udp_faults(service: _Entry) -> Iterator[Fault]:
    if service.fields.get("protocol") != "udp":
        return
    if service.fields.get("idempotent", False) is False:
        reason = "must be true over udp, where a repeated datagram could run twice"
        yield Fault(f"{service.path}.idempotent", reason)


def _share_faults(services: Iterable[_Entry]) -> Iterator[Fault]:
    total_percent = 0
    for service in services:
        percent = service.fields.get("min_share_percent", 0)
        if type(percent) is not int or not 0 < percent <= 100:
            continue
        total_percent += percent
        if total_percent > 100:
            reason = f"the shares up to here add up to {total_percent}%, over 100%"
            yield Fault(f"{service.path}.min_share_percent", reason)
            return


def _instance_faults(data_centres: Iterable[_Entry]) -> Iterator[Fault]:
    first_paths: dict[str, str] = {}
    for centre in data_centres:
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


def _service_capacity_faults(
    content: object, data_centres: list[_Entry]
) -> Iterator[Fault]:
    if not isinstance(content, dict):
        return
    if not isinstance(content.get("data_centres"), list):
        return
    states = [centre.fields.get("in_service", True) for centre in data_centres]
    if all(state is False for state in states):
        yield Fault("data_centres", "at least one must be in service")
    if not any(centre.fields.get("instances") for centre in data_centres):
        reason = "at least one must list instances, which share the limits of upstreams"
        yield Fault("data_centres", reason)
