"""Log of entries on disk: append-only segment files."""

import os
from collections.abc import Sequence
from pathlib import Path

from attrs import field, frozen

from ..errors import StorageError
from .codec import decode_value, encode_value
from .files import (
    HEADER_BYTES,
    find_record,
    pack_record,
    storage_errors,
    sync,
    sync_folder,
    unpack_record,
    write_all,
)
from .logstore import EntryKind, LogEntry, LogStore

PREFIX = "log-"


@frozen(kw_only=True)
class LogRecord:
    """What one append or truncation adds to a segment.

    A batch is one record, so that a crash can damage the last record only.

    Attributes:
        first: Entries from this index on are replaced by ``entries``.
        entries: New entries; empty for a truncation.
    """

    first: int
    entries: tuple[LogEntry, ...] = ()


@frozen(kw_only=True)
class _Place:
    """Where an entry is stored; bodies stay on disk to bound memory."""

    path: Path
    offset: int
    length: int
    position: int
    term: int
    kind: EntryKind
    body_bytes: int


@frozen
class _CachedRecord:
    path: Path | None = None
    offset: int = 0
    record: LogRecord = field(factory=lambda: LogRecord(first=0))


class DiskLogStore(LogStore):
    """Log in files named by the index of their first entry.

    Each snapshot starts a new segment, so a restart reads one segment only. The
    segment before it is kept for a fallback to the snapshot before.

    Args:
        folder: Data folder.
        snapshot_index: Last entry in the snapshot from which the member starts.

    Raises:
        StorageError: A record is damaged and valid ones follow, or the segments
            don't continue the snapshot.
    """

    def __init__(self, folder: Path, snapshot_index: int = 0) -> None:
        self._folder = folder
        self._first = snapshot_index + 1
        self._places: list[_Place] = []
        self._cached = _CachedRecord()
        self._failed = False
        self._descriptor = -1
        self._path = folder
        self.bytes_read = 0
        with storage_errors("open log", folder):
            self._open(snapshot_index)

    @property
    def first_index(self) -> int:
        """Return the lowest index held."""
        return self._first

    @property
    def last_index(self) -> int:
        """Return the highest index held."""
        return self._first + len(self._places) - 1

    def term_at(self, index: int) -> int:
        """Return the term of an entry that is held."""
        return self._places[index - self._first].term

    def kind_at(self, index: int) -> EntryKind:
        """Return the kind of an entry that is held."""
        return self._places[index - self._first].kind

    def read(self, first: int, limit_bytes: int) -> tuple[LogEntry, ...]:
        """Return entries from ``first`` on."""
        chosen: list[LogEntry] = []
        size_bytes = 0
        for place in self._places[first - self._first :]:
            size_bytes += place.body_bytes
            if chosen and size_bytes > limit_bytes:
                break
            chosen.append(self._load(place))
        return tuple(chosen)

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Add entries after the last one and sync."""
        self._check_consecutive(entries)
        if entries:
            self._write(LogRecord(first=entries[0].index, entries=tuple(entries)))

    def truncate(self, first: int) -> None:
        """Record that the entries from ``first`` on are gone and sync."""
        self._check_truncation(first)
        self._write(LogRecord(first=first))

    def compact(self, snapshot_index: int, keep_after: int) -> None:
        """Start a segment after the snapshot and remove segments before the kept."""
        # After a fallback to an older snapshot the current segment may begin later
        # already; an earlier one after it would be replayed in the wrong order.
        if _first_in(self._path) <= snapshot_index:
            self._continue_in_segment(snapshot_index + 1)
        with self._failing("compact log"):
            self._remove_before(keep_after + 1)
        dropped = min(keep_after, self.last_index) + 1 - self._first
        if dropped > 0:
            del self._places[:dropped]
            self._first += dropped

    def reset(self, snapshot_index: int) -> None:
        """Start an empty segment, then remove all others."""
        with self._failing("reset log"):
            # A segment of that name may hold entries that the snapshot replaces.
            for path in self._segments():
                if _first_in(path) > snapshot_index:
                    path.unlink()
            sync_folder(self._folder)
            self._start_segment(snapshot_index + 1)
            self._remove_before(snapshot_index + 1)
        self._places.clear()
        self._first = snapshot_index + 1

    def close(self) -> None:
        """Close the segment."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1

    def _open(self, snapshot_index: int) -> None:
        segments = self._segments()
        before = [path for path in segments if _first_in(path) <= snapshot_index + 1]
        if segments and not before:
            found = _first_in(segments[0])
            raise StorageError(
                f"log begins at entry {found}, snapshot ends at {snapshot_index}",
                step="open log",
                peer=str(segments[0]),
            )
        needed = segments[len(before) - 1 :] if before else []
        if needed:
            self._first = _first_in(needed[0])
        for path in needed:
            self._replay(path, is_last=path == needed[-1])
        if needed:
            self._path = needed[-1]
            self._descriptor = os.open(self._path, os.O_WRONLY | os.O_APPEND)
        else:
            self._start_segment(snapshot_index + 1)

    def _replay(self, path: Path, is_last: bool) -> None:
        content = path.read_bytes()
        self.bytes_read += len(content)
        offset = 0
        while offset < len(content):
            payload = unpack_record(content, offset)
            if payload is None:
                self._drop_torn_tail(path, content, offset, is_last)
                return
            length = HEADER_BYTES + len(payload)
            self._add(path, offset, length, decode_value(payload, LogRecord))
            offset += length

    def _drop_torn_tail(
        self, path: Path, content: bytes, offset: int, is_last: bool
    ) -> None:
        if not is_last or find_record(content, offset + 1) is not None:
            raise StorageError(
                f"damaged record at offset {offset} with valid records after it",
                step="open log",
                peer=str(path),
            )
        os.truncate(path, offset)
        descriptor = os.open(path, os.O_RDONLY)
        try:
            sync(descriptor)
        finally:
            os.close(descriptor)

    def _add(self, path: Path, offset: int, length: int, record: LogRecord) -> None:
        kept = record.first - self._first
        if not 0 <= kept <= len(self._places):
            message = f"record at offset {offset} continues at entry {record.first}"
            raise StorageError(message, step="open log", peer=str(path))
        del self._places[kept:]
        for position, entry in enumerate(record.entries):
            place = _Place(
                path=path,
                offset=offset,
                length=length,
                position=position,
                term=entry.term,
                kind=entry.kind,
                body_bytes=len(entry.body),
            )
            self._places.append(place)

    def _load(self, place: _Place) -> LogEntry:
        cached = self._cached
        if cached.path != place.path or cached.offset != place.offset:
            cached = self._load_record(place)
            self._cached = cached
        return cached.record.entries[place.position]

    def _load_record(self, place: _Place) -> _CachedRecord:
        with storage_errors("read log", place.path), place.path.open("rb") as file:
            file.seek(place.offset)
            content = file.read(place.length)
        self.bytes_read += len(content)
        payload = unpack_record(content, 0)
        if payload is None:
            message = f"damaged record at offset {place.offset}"
            raise StorageError(message, step="read log", peer=str(place.path))
        return _CachedRecord(place.path, place.offset, decode_value(payload, LogRecord))

    def _write(self, record: LogRecord) -> None:
        content = pack_record(encode_value(record))
        with self._failing("append to log"):
            offset = os.fstat(self._descriptor).st_size
            write_all(self._descriptor, content)
            sync(self._descriptor)
        self._add(self._path, offset, len(content), record)

    def _failing(self, step: str) -> "_FailOnce":
        return _FailOnce(self, step)

    def _start_segment(self, first: int) -> None:
        path = self._folder / f"{PREFIX}{first:020d}"
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        descriptor = os.open(path, flags, 0o600)
        self.close()
        self._path = path
        self._descriptor = descriptor
        sync(descriptor)
        sync_folder(self._folder)

    def _continue_in_segment(self, first: int) -> None:
        """Start a segment with copies of the entries from ``first`` on."""
        tail: tuple[LogEntry, ...] = ()
        if first <= self.last_index:
            tail = self.read(first, self._total_bytes())
        with self._failing("compact log"):
            self._start_segment(first)
        if tail:
            self._write(LogRecord(first=first, entries=tail))

    def _remove_before(self, first: int) -> None:
        segments = self._segments()
        starts = [path for path in segments if _first_in(path) <= first]
        for path in starts[:-1]:
            path.unlink()
        sync_folder(self._folder)

    def _segments(self) -> list[Path]:
        return sorted(self._folder.glob(f"{PREFIX}*"))

    def _total_bytes(self) -> int:
        return sum(place.body_bytes for place in self._places)


class _FailOnce:
    """Refuses all work on a store after its first failed write.

    A failed sync may have dropped the written pages, so a retry that succeeds
    would prove nothing.
    """

    def __init__(self, store: DiskLogStore, step: str) -> None:
        self._store = store
        self._step = step

    def __enter__(self) -> None:
        if self._store._failed:
            folder = str(self._store._folder)
            message = "an earlier write failed; restart the member"
            raise StorageError(message, step=self._step, peer=folder)

    def __exit__(self, kind: object, error: object, trace: object) -> None:
        if isinstance(error, OSError):
            self._store._failed = True
            path = str(self._store._path)
            raise StorageError(str(error), step=self._step, peer=path) from error


def _first_in(path: Path) -> int:
    return int(path.name.removeprefix(PREFIX))
