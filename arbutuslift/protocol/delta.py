"""Deltas: changes from one configuration to the next, as instances send them."""

import json
from collections.abc import Callable, Sequence
from functools import lru_cache
from typing import Any

import cattrs
from attrs import evolve

from ..errors import DocumentError
from ..state.hashing import hash_64
from .document import Configuration, DataCentre, Document, Service
from .gossip import DataCentreChange, RevisionDelta, ServiceChange

# Room for twice the entries of the largest expected document (2,100 services).
ENTRY_CACHE_SIZE = 8192

_converter = cattrs.Converter()


def document_hash(document: Document) -> int:
    """Return a 64-bit hash of the whole document."""
    entries = (*document.services, *document.data_centres)
    rest = evolve(document, services=(), data_centres=())
    return hash_64(_to_json(rest), *map(_entry_hash, entries))


def compute_delta(base: Configuration, target: Configuration) -> RevisionDelta | None:
    """Return the changes that turn one configuration into another.

    Returns:
        The changes, or None if a delta can't express them, for example because
        entries changed their order. Then the whole document has to be sent.
    """
    old, new = base.document, target.document
    delta = RevisionDelta(
        base_revision=base.revision,
        revision=target.revision,
        result_hash=document_hash(new),
        services_removed=_removed_names(old.services, new.services),
        services=_entry_changes(old.services, new.services, ServiceChange),
        data_centres_removed=_removed_names(old.data_centres, new.data_centres),
        data_centres=_entry_changes(
            old.data_centres, new.data_centres, DataCentreChange
        ),
    )
    return delta if _apply(old, delta) == new else None


def apply_delta(base: Configuration, delta: RevisionDelta) -> Configuration:
    """Return the configuration that results from the changes.

    Raises:
        DocumentError: The delta applies to another base revision, or the hash of
            the result isn't the one that the delta states.
    """
    if base.revision != delta.base_revision:
        raise DocumentError(
            f"delta applies to revision {delta.base_revision}, not {base.revision}",
            step="apply delta",
        )
    document = _apply(base.document, delta)
    if document_hash(document) != delta.result_hash:
        raise DocumentError("result hash does not match", step="apply delta")
    return Configuration(revision=delta.revision, document=document)


def _apply(document: Document, delta: RevisionDelta) -> Document:
    return evolve(
        document,
        services=_merge(document.services, delta.services_removed, delta.services),
        data_centres=_merge(
            document.data_centres, delta.data_centres_removed, delta.data_centres
        ),
    )


def _removed_names(old: Sequence[Any], new: Sequence[Any]) -> tuple[str, ...]:
    new_names = {entry.name for entry in new}
    return tuple(entry.name for entry in old if entry.name not in new_names)


def _entry_changes(
    old: Sequence[Any], new: Sequence[Any], change: Callable[..., Any]
) -> tuple[Any, ...]:
    old_entries = {entry.name: entry for entry in old}
    predecessors = ("", *(entry.name for entry in new))
    return tuple(
        change(after=after, entry=entry)
        for after, entry in zip(predecessors, new, strict=False)
        if old_entries.get(entry.name) != entry
    )


def _merge(
    entries: Sequence[Any], removed: Sequence[str], changes: Sequence[Any]
) -> tuple[Any, ...]:
    result = {entry.name: entry for entry in entries if entry.name not in removed}
    added: dict[str, list[Any]] = {}
    for change in changes:
        if change.entry.name in result:
            result[change.entry.name] = change.entry
        else:
            added.setdefault(change.after, []).append(change.entry)
    ordered = _pop_entries_after("", added)
    for entry in result.values():
        ordered.append(entry)
        ordered.extend(_pop_entries_after(entry.name, added))
    return tuple(ordered)


def _pop_entries_after(name: str, added: dict[str, list[Any]]) -> list[Any]:
    entries_after = []
    pending = added.pop(name, [])[::-1]
    while pending:
        entry = pending.pop()
        entries_after.append(entry)
        pending.extend(added.pop(entry.name, [])[::-1])
    return entries_after


@lru_cache(ENTRY_CACHE_SIZE)
def _entry_hash(entry: Service | DataCentre) -> bytes:
    name = type(entry).__name__.encode()
    return hash_64(name, _to_json(entry)).to_bytes(8, "big")


def _to_json(value: Any) -> bytes:
    plain = _converter.unstructure(value)
    return json.dumps(plain, sort_keys=True, separators=(",", ":")).encode()
