"""Storage for the revision in effect on an instance, across restarts."""

import struct
import zlib
from abc import ABC, abstractmethod
from pathlib import Path

from attrs import frozen

from ..errors import StorageError
from .files import replace_file, storage_errors

FILE_NAME = "revision-in-effect"

# Magic number, revision, size of the document, CRC of revision and document.
_HEADER = struct.Struct(">8sQII")
_MAGIC = b"ALREV001"


@frozen(kw_only=True)
class SavedRevision:
    """A saved document that was in effect.

    Attributes:
        revision: Revision of the document.
        document: The encoded document.
    """

    revision: int
    document: bytes


class RevisionStore(ABC):
    """Stores the revision in effect."""

    @abstractmethod
    def save(self, saved: SavedRevision) -> None:
        """Replace the saved revision; the new one is durable on return.

        Raises:
            StorageError: The revision can't be written.
        """

    @abstractmethod
    def load(self) -> SavedRevision | None:
        """Return the saved revision, None if there is none.

        Raises:
            StorageError: The revision can't be read or is corrupt.
        """


class MemoryRevisionStore(RevisionStore):
    """Saved revision in memory, for instances without a data folder."""

    def __init__(self) -> None:
        self._saved: SavedRevision | None = None

    def save(self, saved: SavedRevision) -> None:
        """Replace the saved revision."""
        self._saved = saved

    def load(self) -> SavedRevision | None:
        """Return the saved revision."""
        return self._saved


class DiskRevisionStore(RevisionStore):
    """Saved revision in one file of the data folder, which is replaced atomically.

    Args:
        folder: The data folder.
    """

    def __init__(self, folder: Path) -> None:
        self._path = folder / FILE_NAME

    def save(self, saved: SavedRevision) -> None:
        """Write and sync a temporary file, rename it and sync the folder."""
        with storage_errors("save revision", self._path):
            replace_file(self._path, _encode(saved))

    def load(self) -> SavedRevision | None:
        """Read the file."""
        try:
            content = self._path.read_bytes()
        except FileNotFoundError:
            return None
        except OSError as error:
            raise self._error(str(error)) from error
        if len(content) < _HEADER.size:
            raise self._error("shorter than its header")
        magic, revision, size_bytes, crc = _HEADER.unpack_from(content)
        document = content[_HEADER.size :]
        if magic != _MAGIC or len(document) != size_bytes:
            raise self._error("not a revision file, or truncated")
        if crc != _crc(revision, document):
            raise self._error("wrong checksum")
        return SavedRevision(revision=revision, document=document)

    def _error(self, reason: str) -> StorageError:
        return StorageError(reason, step="load revision", peer=str(self._path))


def _encode(saved: SavedRevision) -> bytes:
    crc = _crc(saved.revision, saved.document)
    header = _HEADER.pack(_MAGIC, saved.revision, len(saved.document), crc)
    return header + saved.document


def _crc(revision: int, document: bytes) -> int:
    return zlib.crc32(document, zlib.crc32(revision.to_bytes(8, "big")))
