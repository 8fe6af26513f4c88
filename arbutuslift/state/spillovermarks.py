"""Spillover marks: upstreams whose flows may have gone to the next in the order."""

from attrs import frozen

from .generations import RETENTION_S
from .hashing import hash_64
from .registers import record_key, record_version

# Shortest interval between two renewals of a mark, so that an upstream at its limit
# doesn't flood the control traffic of all instances.
RENEWAL_S = 600.0


@frozen(kw_only=True)
class SpilloverMark:
    """Records that an upstream was cold or had no budget, so that flows spilled over.

    Attributes:
        upstream_id: The upstream.
        marked_at_s: Time of the last spillover, in seconds since the Unix epoch.
    """

    upstream_id: str
    marked_at_s: float


@record_key.register
def _(record: SpilloverMark) -> str:
    return record.upstream_id


@record_version.register
def _(record: SpilloverMark) -> int:
    return hash_64(str(int(record.marked_at_s // RENEWAL_S)).encode())


class SpilloverMarks:
    """The newest mark of every upstream."""

    def __init__(self) -> None:
        self._marked_at_s: dict[str, float] = {}

    def __contains__(self, upstream_id: str) -> bool:
        return upstream_id in self._marked_at_s

    def mark_upstream(self, upstream_id: str, now_s: float) -> SpilloverMark | None:
        """Mark an upstream.

        Returns:
            The mark to send to other instances, None if a recent one exists.
        """
        known_s = self._marked_at_s.get(upstream_id)
        if known_s is not None and now_s - known_s < RENEWAL_S:
            return None
        self._marked_at_s[upstream_id] = now_s
        return SpilloverMark(upstream_id=upstream_id, marked_at_s=now_s)

    def merge(self, mark: SpilloverMark, now_s: float) -> bool:
        """Merge a mark of another instance; the newest time wins.

        A time in the future is replaced by the current time, so that a wrong clock
        can't extend the retention of a mark.

        Returns:
            Whether the mark was newer than the known one.
        """
        marked_at_s = min(mark.marked_at_s, now_s)
        known_s = self._marked_at_s.get(mark.upstream_id)
        if now_s - marked_at_s > RETENTION_S:
            return False
        if known_s is not None and marked_at_s <= known_s:
            return False
        self._marked_at_s[mark.upstream_id] = marked_at_s
        return True

    def expire(self, now_s: float) -> None:
        """Remove marks older than the retention time."""
        self._marked_at_s = {
            upstream_id: marked_at_s
            for upstream_id, marked_at_s in self._marked_at_s.items()
            if now_s - marked_at_s <= RETENTION_S
        }

    def records(self) -> list[SpilloverMark]:
        """Return every mark."""
        return [
            SpilloverMark(upstream_id=upstream_id, marked_at_s=marked_at_s)
            for upstream_id, marked_at_s in self._marked_at_s.items()
        ]
