"""Term and vote of a member, which are durable before the member answers."""

from abc import ABC, abstractmethod
from pathlib import Path

from attrs import frozen

from ..errors import StorageError
from .codec import decode_value, encode_value
from .files import pack_record, replace_file, storage_errors, unpack_record


@frozen(kw_only=True)
class TermRecord:
    """State that a member must persist before it answers a request.

    Attributes:
        term: Highest term that the member has received or started.
        voted_for: Identity that got the vote in this term; empty for none.
        cluster: Identity of the member's cluster; empty for none.
    """

    term: int = 0
    voted_for: bytes = b""
    cluster: bytes = b""


class TermStore(ABC):
    """Stores one TermRecord."""

    @abstractmethod
    def load(self) -> TermRecord:
        """Return the stored record, an empty one if none was stored."""

    @abstractmethod
    def save(self, record: TermRecord) -> None:
        """Store the record durably."""


class DiskTermStore(TermStore):
    """Record in one file that is replaced atomically.

    Args:
        folder: Data folder.
    """

    def __init__(self, folder: Path) -> None:
        self._path = folder / "term"

    def load(self) -> TermRecord:
        """Return the stored record.

        Raises:
            StorageError: The file is damaged. The member must not start with an empty
                record, because it might then vote a second time in the same term.
        """
        with storage_errors("read term", self._path):
            if not self._path.exists():
                return TermRecord()
            payload = unpack_record(self._path.read_bytes(), 0)
        if payload is None:
            raise StorageError("damaged", step="read term", peer=str(self._path))
        return decode_value(payload, TermRecord)

    def save(self, record: TermRecord) -> None:
        """Replace the file and sync."""
        with storage_errors("save term", self._path):
            replace_file(self._path, pack_record(encode_value(record)))


class MemoryTermStore(TermStore):
    """Record in memory, for tests."""

    def __init__(self) -> None:
        self._record = TermRecord()

    def load(self) -> TermRecord:
        """Return the stored record."""
        return self._record

    def save(self, record: TermRecord) -> None:
        """Replace the record."""
        self._record = record
