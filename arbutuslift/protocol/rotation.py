"""Changes of the upstreams that a document takes out of rotation."""

import datetime

from attrs import evolve

from .document import Document, OutOfRotation

# An entry is kept this long after its end, so that an operator's clock that is wrong by
# less can't bring an upstream back early.
EXPIRED_RETENTION_S = 86_400


def find_out_of_rotation(document: Document, upstream_id: str) -> OutOfRotation | None:
    """Return the entry of an upstream, or None if it is in rotation."""
    found = (
        entry for entry in document.out_of_rotation if entry.upstream_id == upstream_id
    )
    return next(found, None)


def with_upstream_out(document: Document, entry: OutOfRotation) -> Document:
    """Take an upstream out of rotation, or change its end."""
    if find_out_of_rotation(document, entry.upstream_id) is None:
        entries = (*document.out_of_rotation, entry)
    else:
        entries = tuple(
            entry if other.upstream_id == entry.upstream_id else other
            for other in document.out_of_rotation
        )
    return evolve(document, out_of_rotation=entries)


def without_upstream_out(document: Document, upstream_id: str) -> Document:
    """Bring an upstream back into rotation."""
    entries = tuple(
        entry for entry in document.out_of_rotation if entry.upstream_id != upstream_id
    )
    return evolve(document, out_of_rotation=entries)


def without_expired(document: Document, now_s: float) -> Document:
    """Remove the entries whose end is longer ago than the retention time.

    Args:
        document: The document.
        now_s: Seconds since the Unix epoch.
    """
    oldest_s = now_s - EXPIRED_RETENTION_S
    entries = tuple(
        entry
        for entry in document.out_of_rotation
        if entry.until_s == 0 or entry.until_s > oldest_s
    )
    return evolve(document, out_of_rotation=entries)


def end_of(entry: OutOfRotation) -> str:
    """Return the end of an entry as text."""
    if not entry.until_s:
        return "until brought back"
    until = datetime.datetime.fromtimestamp(entry.until_s, datetime.UTC)
    return f"until {until.isoformat(timespec='seconds')}"
