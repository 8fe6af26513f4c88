"""Store of log entries: interface, and the implementation in memory."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from enum import Enum

from attrs import frozen

from ..errors import StorageError


class EntryKind(Enum):
    """Effect of an entry when it is applied."""

    NO_OP = "no-op"
    SUBMISSION = "submission"
    MEMBERSHIP = "membership"


@frozen(kw_only=True)
class LogEntry:
    """One entry of the replicated log.

    Attributes:
        index: Position in the log; the first entry has index 1.
        term: Term of the leader that created it.
        kind: Effect of the entry.
        body: Encoded submission or membership; empty for a no-op.
    """

    index: int
    term: int
    kind: EntryKind
    body: bytes = b""


class LogStore(ABC):
    """Store of entries with consecutive indexes; changes are durable on return.

    After a StorageError the stored state is unknown, and the store must be reopened.
    """

    @property
    @abstractmethod
    def first_index(self) -> int:
        """Return the lowest stored index, or the next one if the store is empty."""

    @property
    @abstractmethod
    def last_index(self) -> int:
        """Return the highest stored index, ``first_index - 1`` if there is none."""

    @abstractmethod
    def term_at(self, index: int) -> int:
        """Return the term of a stored entry."""

    @abstractmethod
    def kind_at(self, index: int) -> EntryKind:
        """Return the kind of a stored entry."""

    @abstractmethod
    def read(self, first: int, limit_bytes: int) -> tuple[LogEntry, ...]:
        """Return entries from ``first`` on, at least one if it is stored.

        Args:
            first: Index of the first entry to return.
            limit_bytes: Bound on the sum of the body sizes; a larger first body is
                returned alone.
        """

    @abstractmethod
    def append(self, entries: Sequence[LogEntry]) -> None:
        """Add entries after the last one.

        Raises:
            StorageError: The entries aren't consecutive, or the write failed and it
                is unknown whether they are stored.
        """

    @abstractmethod
    def truncate(self, first: int) -> None:
        """Remove the entries from ``first`` on."""

    @abstractmethod
    def compact(self, snapshot_index: int, keep_after: int) -> None:
        """Prepare for a restart from a snapshot and remove a prefix of the log.

        Args:
            snapshot_index: Last entry in the newest snapshot.
            keep_after: Last entry in the oldest retained snapshot; entries up to it
                may be removed.
        """

    @abstractmethod
    def reset(self, snapshot_index: int) -> None:
        """Remove all entries; the next one gets the index ``snapshot_index + 1``."""

    @abstractmethod
    def close(self) -> None:
        """Release files."""

    def _check_consecutive(self, entries: Sequence[LogEntry]) -> None:
        for expected, entry in enumerate(entries, self.last_index + 1):
            if entry.index != expected:
                message = f"entry {entry.index} where {expected} is due"
                raise StorageError(message, step="append to log")

    def _check_truncation(self, first: int) -> None:
        if not self.first_index <= first <= self.last_index:
            held = f"{self.first_index} to {self.last_index}"
            raise StorageError(f"entry {first} is not in {held}", step="truncate log")


class MemoryLogStore(LogStore):
    """Log in memory, for tests; like a disk it outlives the member that uses it."""

    def __init__(self) -> None:
        self._first = 1
        self._entries: list[LogEntry] = []

    @property
    def first_index(self) -> int:
        """Return the lowest stored index."""
        return self._first

    @property
    def last_index(self) -> int:
        """Return the highest stored index."""
        return self._first + len(self._entries) - 1

    def term_at(self, index: int) -> int:
        """Return the term of a stored entry."""
        return self._entries[index - self._first].term

    def kind_at(self, index: int) -> EntryKind:
        """Return the kind of a stored entry."""
        return self._entries[index - self._first].kind

    def read(self, first: int, limit_bytes: int) -> tuple[LogEntry, ...]:
        """Return entries from ``first`` on."""
        selected: list[LogEntry] = []
        size_bytes = 0
        for entry in self._entries[first - self._first :]:
            size_bytes += len(entry.body)
            if selected and size_bytes > limit_bytes:
                break
            selected.append(entry)
        return tuple(selected)

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Add entries after the last one."""
        self._check_consecutive(entries)
        self._entries.extend(entries)

    def truncate(self, first: int) -> None:
        """Remove the entries from ``first`` on."""
        self._check_truncation(first)
        del self._entries[first - self._first :]

    def compact(self, snapshot_index: int, keep_after: int) -> None:
        """Remove the entries up to ``keep_after``."""
        removed_count = min(keep_after, self.last_index) + 1 - self._first
        if removed_count > 0:
            del self._entries[:removed_count]
            self._first += removed_count

    def reset(self, snapshot_index: int) -> None:
        """Remove all entries."""
        self._entries.clear()
        self._first = snapshot_index + 1

    def close(self) -> None:
        """Do nothing."""
