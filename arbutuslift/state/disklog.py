"""Replicated log on disk, in append-only segment files."""

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
    replace_file,
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
    """Record that one append or truncation adds to a segment.

    A batch of entries is written as one record, so that a crash can damage only the
    last record.

    Attributes:
        first: Index from which on ``entries`` replace the previous entries.
        entries: New entries; empty for a truncation.
    """

    first: int
    entries: tuple[LogEntry, ...] = ()


@frozen(kw_only=True)
class _EntryLocation:
    """Location of an entry on disk; bodies stay there to bound the use of memory."""

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
    """Log in segment files, each named by the index of its first entry.

    Each snapshot starts a new segment, so that a restart reads only one segment. The
    previous segment is retained for a fallback to the previous snapshot.

    Args:
        folder: Data folder.
        snapshot_index: Last entry in the snapshot from which the member starts.

    Raises:
        StorageError: A damaged record is followed by valid ones, or the segments
            don't continue the snapshot.
    """

    def __init__(self, folder: Path, snapshot_index: int = 0) -> None:
        self._folder = folder
        self._first = snapshot_index + 1
        self._locations: list[_EntryLocation] = []
        self._cached = _CachedRecord()
        self._is_failed = False
        self._descriptor = -1
        self._path = folder
        self.bytes_read = 0
        with storage_errors("open log", folder):
            self._open(snapshot_index)

    @property
    def first_index(self) -> int:
        """Return the lowest stored index."""
        return self._first

    @property
    def last_index(self) -> int:
        """Return the highest stored index."""
        return self._first + len(self._locations) - 1

    def term_at(self, index: int) -> int:
        """Return the term of a stored entry."""
        return self._locations[index - self._first].term

    def kind_at(self, index: int) -> EntryKind:
        """Return the kind of a stored entry."""
        return self._locations[index - self._first].kind

    def read(self, first: int, limit_bytes: int) -> tuple[LogEntry, ...]:
        """Return entries from ``first`` on."""
        selected: list[LogEntry] = []
        size_bytes = 0
        for location in self._locations[first - self._first :]:
            size_bytes += location.body_bytes
            if selected and size_bytes > limit_bytes:
                break
            selected.append(self._load(location))
        return tuple(selected)

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Add entries after the last one and sync."""
        self._check_consecutive(entries)
        if entries:
            self._write(LogRecord(first=entries[0].index, entries=tuple(entries)))

    def truncate(self, first: int) -> None:
        """Append a record that removes the entries from ``first`` on, and sync."""
        self._check_truncation(first)
        self._write(LogRecord(first=first))

    def compact(self, snapshot_index: int, keep_after: int) -> None:
        """Start a segment after the snapshot and remove segments no longer needed."""
        # After a fallback to an older snapshot, the current segment may already begin
        # after this snapshot. Segments are replayed in the order of their names, so a
        # new one with an earlier name would be replayed in the wrong order.
        if _first_in(self._path) <= snapshot_index:
            self._continue_in_segment(snapshot_index + 1)
        with self._guard_write("compact log"):
            self._remove_before(keep_after + 1)
        dropped = min(keep_after, self.last_index) + 1 - self._first
        if dropped > 0:
            del self._locations[:dropped]
            self._first += dropped

    def reset(self, snapshot_index: int) -> None:
        """Start an empty segment, then remove all others."""
        with self._guard_write("reset log"):
            # A later segment may hold entries that the snapshot replaces.
            for path in self._segments():
                if _first_in(path) > snapshot_index:
                    path.unlink()
            sync_folder(self._folder)
            self._start_segment(snapshot_index + 1)
            self._remove_before(snapshot_index + 1)
        self._locations.clear()
        self._first = snapshot_index + 1

    def close(self) -> None:
        """Close the current segment."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1

    def _open(self, snapshot_index: int) -> None:
        segments = self._segments()
        started_before = [
            path for path in segments if _first_in(path) <= snapshot_index + 1
        ]
        if segments and not started_before:
            found = _first_in(segments[0])
            raise StorageError(
                f"log begins at entry {found}, snapshot ends at {snapshot_index}",
                step="open log",
                peer=str(segments[0]),
            )
        replayed = segments[len(started_before) - 1 :] if started_before else []
        if replayed:
            self._first = _first_in(replayed[0])
        for path in replayed:
            self._replay(path, is_last=path == replayed[-1])
        if replayed:
            self._path = replayed[-1]
            self._descriptor = os.open(self._path, os.O_WRONLY | os.O_APPEND)
            # A process that was killed may have written its last record without a sync.
            sync(self._descriptor)
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
            self._apply_record(path, offset, length, decode_value(payload, LogRecord))
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

    def _apply_record(
        self, path: Path, offset: int, length: int, record: LogRecord
    ) -> None:
        kept_count = record.first - self._first
        if not 0 <= kept_count <= len(self._locations):
            message = (
                f"record at offset {offset} starts at unexpected entry {record.first}"
            )
            raise StorageError(message, step="open log", peer=str(path))
        del self._locations[kept_count:]
        for position, entry in enumerate(record.entries):
            location = _EntryLocation(
                path=path,
                offset=offset,
                length=length,
                position=position,
                term=entry.term,
                kind=entry.kind,
                body_bytes=len(entry.body),
            )
            self._locations.append(location)

    def _load(self, location: _EntryLocation) -> LogEntry:
        cached = self._cached
        if cached.path != location.path or cached.offset != location.offset:
            cached = self._load_record(location)
            self._cached = cached
        return cached.record.entries[location.position]

    def _load_record(self, location: _EntryLocation) -> _CachedRecord:
        with (
            storage_errors("read log", location.path),
            location.path.open("rb") as file,
        ):
            file.seek(location.offset)
            content = file.read(location.length)
        self.bytes_read += len(content)
        payload = unpack_record(content, 0)
        if payload is None:
            message = f"damaged record at offset {location.offset}"
            raise StorageError(message, step="read log", peer=str(location.path))
        return _CachedRecord(
            location.path, location.offset, decode_value(payload, LogRecord)
        )

    def _write(self, record: LogRecord) -> None:
        content = pack_record(encode_value(record))
        with self._guard_write("append to log"):
            offset = os.fstat(self._descriptor).st_size
            write_all(self._descriptor, content)
            sync(self._descriptor)
        self._apply_record(self._path, offset, len(content), record)

    def _guard_write(self, step: str) -> "_WriteGuard":
        return _WriteGuard(self, step)

    def _start_segment(self, first: int, content: bytes = b"") -> None:
        """Start a segment that holds ``content`` from the moment it has its name.

        A restart reads the newest segment only, so that an empty one would hide the
        entries in the segment before it.
        """
        path = self._folder / f"{PREFIX}{first:020d}"
        replace_file(path, content)
        descriptor = os.open(path, os.O_WRONLY | os.O_APPEND)
        self.close()
        self._path = path
        self._descriptor = descriptor

    def _continue_in_segment(self, first: int) -> None:
        """Start a segment with copies of the entries from ``first`` on."""
        tail: tuple[LogEntry, ...] = ()
        if first <= self.last_index:
            tail = self.read(first, self._total_bytes())
        record = LogRecord(first=first, entries=tail)
        content = pack_record(encode_value(record)) if tail else b""
        with self._guard_write("compact log"):
            self._start_segment(first, content)
        if tail:
            self._apply_record(self._path, 0, len(content), record)

    def _remove_before(self, first: int) -> None:
        segments = self._segments()
        candidates = [path for path in segments if _first_in(path) <= first]
        for path in candidates[:-1]:
            path.unlink()
        sync_folder(self._folder)

    def _segments(self) -> list[Path]:
        return sorted(self._folder.glob(f"{PREFIX}*"))

    def _total_bytes(self) -> int:
        return sum(location.body_bytes for location in self._locations)


class _WriteGuard:
    """Refuses all operations of a store after its first failed write.

    After a failed sync the kernel may have discarded the written pages, so a retry that
    succeeds doesn't show that they are on disk.
    """

    def __init__(self, store: DiskLogStore, step: str) -> None:
        self._store = store
        self._step = step

    def __enter__(self) -> None:
        if self._store._is_failed:
            folder = str(self._store._folder)
            message = "an earlier write failed; restart the member"
            raise StorageError(message, step=self._step, peer=folder)

    def __exit__(self, kind: object, error: object, trace: object) -> None:
        if isinstance(error, OSError):
            self._store._is_failed = True
            path = str(self._store._path)
            raise StorageError(str(error), step=self._step, peer=path) from error


def _first_in(path: Path) -> int:
    return int(path.name.removeprefix(PREFIX))
