"""Log of entries: contract, and the version in memory."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from enum import Enum

from attrs import frozen

from ..errors import StorageError


class EntryKind(Enum):
    """What an entry does when it is applied."""

    NO_OP = "no-op"
    SUBMISSION = "submission"
    MEMBERSHIP = "membership"


@frozen(kw_only=True)
class LogEntry:
    """One entry of the replicated log.

    Attributes:
        index: Position; the first entry has 1.
        term: Term of the leader that created it.
        kind: What it does.
        body: Encoded submission or membership; empty for a no-op.
    """

    index: int
    term: int
    kind: EntryKind
    body: bytes = b""


class LogStore(ABC):
    """Entries with consecutive indexes, durable when a call returns.

    After a StorageError the stored state is unknown and the store must be
    reopened.
    """

    @property
    @abstractmethod
    def first_index(self) -> int:
        """Return the lowest index held, or the next one if none is held."""

    @property
    @abstractmethod
    def last_index(self) -> int:
        """Return the highest index held, ``first_index - 1`` if none is held."""

    @abstractmethod
    def term_at(self, index: int) -> int:
        """Return the term of an entry that is held."""

    @abstractmethod
    def kind_at(self, index: int) -> EntryKind:
        """Return the kind of an entry that is held."""

    @abstractmethod
    def read(self, first: int, limit_bytes: int) -> tuple[LogEntry, ...]:
        """Return entries from ``first`` on, at least one if it is held.

        Args:
            first: Index of the first entry to return.
            limit_bytes: Bound of the sum of body sizes, unless the first body
                alone is larger.
        """

    @abstractmethod
    def append(self, entries: Sequence[LogEntry]) -> None:
        """Add entries after the last one.

        Raises:
            StorageError: Not stored as far as known, or not consecutive.
        """

    @abstractmethod
    def truncate(self, first: int) -> None:
        """Remove the entries from ``first`` on."""

    @abstractmethod
    def compact(self, snapshot_index: int, keep_after: int) -> None:
        """Prepare for a restart from a snapshot and drop a prefix.

        Args:
            snapshot_index: Last entry in the newest snapshot.
            keep_after: Last entry in the oldest snapshot kept; entries up to it
                may be dropped.
        """

    @abstractmethod
    def reset(self, snapshot_index: int) -> None:
        """Drop all entries; the next one gets ``snapshot_index + 1``."""

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
    """Log for tests; it survives the member that uses it, as a disk would."""

    def __init__(self) -> None:
        self._first = 1
        self._entries: list[LogEntry] = []

    @property
    def first_index(self) -> int:
        """Return the lowest index held."""
        return self._first

    @property
    def last_index(self) -> int:
        """Return the highest index held."""
        return self._first + len(self._entries) - 1

    def term_at(self, index: int) -> int:
        """Return the term of an entry that is held."""
        return self._entries[index - self._first].term

    def kind_at(self, index: int) -> EntryKind:
        """Return the kind of an entry that is held."""
        return self._entries[index - self._first].kind

    def read(self, first: int, limit_bytes: int) -> tuple[LogEntry, ...]:
        """Return entries from ``first`` on."""
        chosen: list[LogEntry] = []
        size_bytes = 0
        for entry in self._entries[first - self._first :]:
            size_bytes += len(entry.body)
            if chosen and size_bytes > limit_bytes:
                break
            chosen.append(entry)
        return tuple(chosen)

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Add entries after the last one."""
        self._check_consecutive(entries)
        self._entries.extend(entries)

    def truncate(self, first: int) -> None:
        """Remove the entries from ``first`` on."""
        self._check_truncation(first)
        del self._entries[first - self._first :]

    def compact(self, snapshot_index: int, keep_after: int) -> None:
        """Drop the entries up to ``keep_after``."""
        dropped = min(keep_after, self.last_index) + 1 - self._first
        if dropped > 0:
            del self._entries[:dropped]
            self._first += dropped

    def reset(self, snapshot_index: int) -> None:
        """Drop all entries."""
        self._entries.clear()
        self._first = snapshot_index + 1

    def close(self) -> None:
        """Do nothing."""
