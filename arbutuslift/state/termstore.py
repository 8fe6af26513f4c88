"""Term and vote of a member, durable before they are answered."""

from abc import ABC, abstractmethod
from pathlib import Path

from attrs import frozen

from ..errors import StorageError
from .codec import decode_value, encode_value
from .files import pack_record, replace_file, storage_errors, unpack_record


@frozen(kw_only=True)
class TermRecord:
    """What a member must not forget between two answers.

    Attributes:
        term: Highest term seen.
        voted_for: Identity that got the vote of this term; empty for none.
        cluster: Cluster to which the member belongs; empty for none.
    """

    term: int = 0
    voted_for: bytes = b""
    cluster: bytes = b""


class TermStore(ABC):
    """Holds one TermRecord."""

    @abstractmethod
    def load(self) -> TermRecord:
        """Return the stored record, an empty one if none was stored."""

    @abstractmethod
    def save(self, record: TermRecord) -> None:
        """Store the record durably."""


class DiskTermStore(TermStore):
    """Record in one file that is replaced as a whole.

    Args:
        folder: Data folder.
    """

    def __init__(self, folder: Path) -> None:
        self._path = folder / "term"

    def load(self) -> TermRecord:
        """Return the stored record.

        Raises:
            StorageError: The file is damaged. A vote may be forgotten, so the
                member must not start with an empty record.
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
    """Record for tests."""

    def __init__(self) -> None:
        self._record = TermRecord()

    def load(self) -> TermRecord:
        """Return the stored record."""
        return self._record

    def save(self, record: TermRecord) -> None:
        """Keep the record."""
        self._record = record
