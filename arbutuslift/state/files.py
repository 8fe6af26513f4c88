"""Durable file operations: data counts as written only after a sync."""

import os
import struct
import time
import zlib
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from ..errors import StorageError
from ..histograms import Histogram, doubling_bounds

# Duration of the syncs of this process, in buckets from 0.25 ms to 4 s.
SYNC_SECONDS = Histogram(doubling_bounds(0.00025, 15))

_HEADER = struct.Struct(">4sII")
_MAGIC = b"\xa7ALr"
HEADER_BYTES = _HEADER.size
TEMPORARY_SUFFIX = ".tmp"
# Room for a term, a few entries and their segment.
PROBE_BYTES = 64 * 1024


@contextmanager
def storage_errors(step: str, path: Path) -> Iterator[None]:
    """Convert an ``OSError`` to a StorageError that names the file."""
    try:
        yield
    except OSError as error:
        raise StorageError(str(error), step=step, peer=str(path)) from error


def pack_record(payload: bytes) -> bytes:
    """Return the payload with a header of its length and CRC prepended."""
    length = len(payload)
    crc = zlib.crc32(payload, zlib.crc32(length.to_bytes(4, "big")))
    return _HEADER.pack(_MAGIC, length, crc) + payload


def unpack_record(content: bytes, offset: int) -> bytes | None:
    """Return the payload of the record at ``offset``, None if it isn't valid."""
    if len(content) < offset + HEADER_BYTES:
        return None
    magic, length, crc = _HEADER.unpack_from(content, offset)
    start = offset + HEADER_BYTES
    payload = content[start : start + length]
    if magic != _MAGIC or len(payload) != length:
        return None
    expected = zlib.crc32(payload, zlib.crc32(length.to_bytes(4, "big")))
    return payload if crc == expected else None


def find_record(content: bytes, offset: int) -> int | None:
    """Return the offset of the first valid record at or after ``offset``."""
    found = content.find(_MAGIC, offset)
    while found >= 0:
        if unpack_record(content, found) is not None:
            return found
        found = content.find(_MAGIC, found + 1)
    return None


def write_all(descriptor: int, content: bytes) -> None:
    """Write all of the content, since ``os.write`` may write only a part of it."""
    view = memoryview(content)
    while view:
        view = view[os.write(descriptor, view) :]


def sync(descriptor: int) -> None:
    """Make the data written to a file durable."""
    started_s = time.perf_counter()
    os.fsync(descriptor)
    SYNC_SECONDS.observe(time.perf_counter() - started_s)


def sync_folder(folder: Path) -> None:
    """Make the creation, renaming and removal of files in a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        sync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, content: bytes) -> None:
    """Replace a file atomically: a crash leaves either the old or the new content."""
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    try:
        _write_new(temporary, content)
        os.replace(temporary, path)
    except OSError:
        # On a full disk the part that was written would take the room of other files.
        temporary.unlink(missing_ok=True)
        raise
    sync_folder(path.parent)


def remove_temporary_files(folder: Path) -> None:
    """Remove what writes that a crash interrupted have left.

    Raises:
        StorageError: A file can't be removed.
    """
    with storage_errors("remove temporary files", folder):
        for path in folder.glob(f"*{TEMPORARY_SUFFIX}"):
            path.unlink(missing_ok=True)


def check_writable(folder: Path) -> None:
    """Write and sync a file in a folder, and remove it.

    Raises:
        StorageError: The disk doesn't take it, such as a full one.
    """
    path = folder / f"probe{TEMPORARY_SUFFIX}"
    with storage_errors("probe disk", folder):
        try:
            _write_new(path, bytes(PROBE_BYTES))
        finally:
            path.unlink(missing_ok=True)


def _write_new(path: Path, content: bytes) -> None:
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
    descriptor = os.open(path, flags, 0o600)
    try:
        write_all(descriptor, content)
        sync(descriptor)
    finally:
        os.close(descriptor)
