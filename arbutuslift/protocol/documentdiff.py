"""Differences between two documents as typed changes."""

from functools import singledispatch

from attrs import evolve, fields, frozen

from .document import DataCentre, Document, OutOfRotation, Service
from .rotation import end_of, with_upstream_out, without_upstream_out

Value = str | int | float | bool | tuple[str, ...]


@frozen(kw_only=True)
class Change:
    """Base of all changes."""


@frozen(kw_only=True)
class ServiceAdded(Change):
    """A service that the old document doesn't have."""

    service: Service


@frozen(kw_only=True)
class ServiceRemoved(Change):
    """A service that the new document doesn't have."""

    name: str


@frozen(kw_only=True)
class ServiceChanged(Change):
    """A field of a service has a different value."""

    name: str
    field: str
    before: Value
    after: Value


@frozen(kw_only=True)
class DataCentreAdded(Change):
    """A data centre that the old document doesn't have."""

    data_centre: DataCentre


@frozen(kw_only=True)
class DataCentreRemoved(Change):
    """A data centre that the new document doesn't have."""

    name: str


@frozen(kw_only=True)
class DataCentreChanged(Change):
    """A field of a data centre has a different value."""

    name: str
    field: str
    before: Value
    after: Value


@frozen(kw_only=True)
class ServicesReordered(Change):
    """The services have a different order; ``names`` is the new order."""

    names: tuple[str, ...]


@frozen(kw_only=True)
class DataCentresReordered(Change):
    """The data centres have a different order; ``names`` is the new order."""

    names: tuple[str, ...]


@frozen(kw_only=True)
class UpstreamTakenOut(Change):
    """An upstream is out of rotation that wasn't, or with another end."""

    entry: OutOfRotation


@frozen(kw_only=True)
class UpstreamBroughtBack(Change):
    """An upstream is no longer out of rotation."""

    upstream_id: str


@frozen(kw_only=True)
class RotationReordered(Change):
    """The upstreams out of rotation are listed in a different order."""

    upstream_ids: tuple[str, ...]


def diff(old: Document, new: Document) -> list[Change]:
    """Return the changes from one document to another.

    Args:
        old: Document with unique names.
        new: Document with unique names.
    """
    changes = [
        *_service_changes(old, new),
        *_data_centre_changes(old, new),
        *_rotation_changes(old, new),
    ]
    patched = patch(old, changes)
    if patched.services != new.services:
        changes.append(ServicesReordered(names=tuple(_by_name(new.services))))
    if patched.data_centres != new.data_centres:
        changes.append(DataCentresReordered(names=tuple(_by_name(new.data_centres))))
    if patched.out_of_rotation != new.out_of_rotation:
        upstream_ids = tuple(entry.upstream_id for entry in new.out_of_rotation)
        changes.append(RotationReordered(upstream_ids=upstream_ids))
    return changes


def patch(document: Document, changes: list[Change]) -> Document:
    """Apply changes to the document from which they were computed."""
    for change in changes:
        document = _apply(change, document)
    return document


def describe(change: Change) -> str:
    """Return a change as one line of text."""
    return _describe(change)


def _service_changes(old: Document, new: Document) -> list[Change]:
    before, after = _by_name(old.services), _by_name(new.services)
    changes: list[Change] = [
        ServiceRemoved(name=name) for name in before if name not in after
    ]
    for name, service in after.items():
        if name not in before:
            changes.append(ServiceAdded(service=service))
            continue
        changes += [
            ServiceChanged(name=name, field=field, before=old_value, after=new_value)
            for field, old_value, new_value in _field_changes(before[name], service)
        ]
    return changes


def _data_centre_changes(old: Document, new: Document) -> list[Change]:
    before, after = _by_name(old.data_centres), _by_name(new.data_centres)
    changes: list[Change] = [
        DataCentreRemoved(name=name) for name in before if name not in after
    ]
    for name, centre in after.items():
        if name not in before:
            changes.append(DataCentreAdded(data_centre=centre))
            continue
        changes += [
            DataCentreChanged(name=name, field=field, before=old_value, after=new_value)
            for field, old_value, new_value in _field_changes(before[name], centre)
        ]
    return changes


def _rotation_changes(old: Document, new: Document) -> list[Change]:
    kept_ids = {entry.upstream_id for entry in new.out_of_rotation}
    changes: list[Change] = [
        UpstreamBroughtBack(upstream_id=entry.upstream_id)
        for entry in old.out_of_rotation
        if entry.upstream_id not in kept_ids
    ]
    return changes + [
        UpstreamTakenOut(entry=entry)
        for entry in new.out_of_rotation
        if entry not in old.out_of_rotation
    ]


def _field_changes(old: object, new: object) -> list[tuple[str, Value, Value]]:
    names = [attribute.name for attribute in fields(type(old))]
    values = [(name, getattr(old, name), getattr(new, name)) for name in names]
    return [
        (name, old_value, new_value)
        for name, old_value, new_value in values
        if old_value != new_value
    ]


def _by_name(entries: tuple) -> dict:
    return {entry.name: entry for entry in entries}


def _with_field(entries: tuple, name: str, field: str, value: Value) -> tuple:
    return tuple(
        evolve(entry, **{field: value}) if entry.name == name else entry
        for entry in entries
    )


def _without(entries: tuple, name: str) -> tuple:
    return tuple(entry for entry in entries if entry.name != name)


def _in_order(entries: tuple, names: tuple[str, ...]) -> tuple:
    entries_by_name = _by_name(entries)
    return tuple(entries_by_name[name] for name in names)


@singledispatch
def _apply(change: Change, document: Document) -> Document:
    raise NotImplementedError(type(change).__name__)


@_apply.register
def _(change: ServiceAdded, document: Document) -> Document:
    return evolve(document, services=(*document.services, change.service))


@_apply.register
def _(change: ServiceRemoved, document: Document) -> Document:
    return evolve(document, services=_without(document.services, change.name))


@_apply.register
def _(change: ServiceChanged, document: Document) -> Document:
    entries = _with_field(document.services, change.name, change.field, change.after)
    return evolve(document, services=entries)


@_apply.register
def _(change: DataCentreAdded, document: Document) -> Document:
    entries = (*document.data_centres, change.data_centre)
    return evolve(document, data_centres=entries)


@_apply.register
def _(change: DataCentreRemoved, document: Document) -> Document:
    return evolve(document, data_centres=_without(document.data_centres, change.name))


@_apply.register
def _(change: DataCentreChanged, document: Document) -> Document:
    entries = _with_field(
        document.data_centres, change.name, change.field, change.after
    )
    return evolve(document, data_centres=entries)


@_apply.register
def _(change: ServicesReordered, document: Document) -> Document:
    return evolve(document, services=_in_order(document.services, change.names))


@_apply.register
def _(change: DataCentresReordered, document: Document) -> Document:
    return evolve(document, data_centres=_in_order(document.data_centres, change.names))


@_apply.register
def _(change: UpstreamTakenOut, document: Document) -> Document:
    return with_upstream_out(document, change.entry)


@_apply.register
def _(change: UpstreamBroughtBack, document: Document) -> Document:
    return without_upstream_out(document, change.upstream_id)


@_apply.register
def _(change: RotationReordered, document: Document) -> Document:
    entries = {entry.upstream_id: entry for entry in document.out_of_rotation}
    ordered = tuple(entries[upstream_id] for upstream_id in change.upstream_ids)
    return evolve(document, out_of_rotation=ordered)


@singledispatch
def _describe(change: Change) -> str:
    raise NotImplementedError(type(change).__name__)


@_describe.register
def _(change: ServiceAdded) -> str:
    service = change.service
    return f"service {service.name} added at {service.address}:{service.port}"


@_describe.register
def _(change: ServiceRemoved) -> str:
    return f"service {change.name} removed"


@_describe.register
def _(change: ServiceChanged) -> str:
    return f"service {change.name} {change.field}: {change.before} -> {change.after}"


@_describe.register
def _(change: DataCentreAdded) -> str:
    return f"data centre {change.data_centre.name} added"


@_describe.register
def _(change: DataCentreRemoved) -> str:
    return f"data centre {change.name} removed"


@_describe.register
def _(change: DataCentreChanged) -> str:
    before, after = _format_value(change.before), _format_value(change.after)
    return f"data centre {change.name} {change.field}: {before} -> {after}"


@_describe.register
def _(change: ServicesReordered) -> str:
    return f"services reordered: {_format_value(change.names)}"


@_describe.register
def _(change: DataCentresReordered) -> str:
    return f"data centres reordered: {_format_value(change.names)}"


@_describe.register
def _(change: UpstreamTakenOut) -> str:
    end = end_of(change.entry)
    return f"upstream {change.entry.upstream_id} out of rotation {end}"


@_describe.register
def _(change: UpstreamBroughtBack) -> str:
    return f"upstream {change.upstream_id} back in rotation"


@_describe.register
def _(change: RotationReordered) -> str:
    return f"out of rotation reordered: {_format_value(change.upstream_ids)}"


def _format_value(value: Value) -> str:
    return ", ".join(value) if isinstance(value, tuple) else str(value)
