"""Snapshots of the replicated state, on disk and in memory."""

from abc import ABC, abstractmethod
from pathlib import Path

from attrs import frozen

from ..errors import StorageError
from .codec import decode_value, encode_value
from .files import (
    HEADER_BYTES,
    pack_record,
    replace_file,
    storage_errors,
    sync_folder,
    unpack_record,
)
from .membership import Membership

RETAINED_SNAPSHOTS = 2
PREFIX = "snapshot-"


@frozen(kw_only=True)
class Snapshot:
    """The replicated state after applying the log up to one entry.

    Attributes:
        index: Index of the last included entry.
        term: Term of that entry.
        membership: Members after that entry.
        state: Encoded configuration state.
    """

    index: int = 0
    term: int = 0
    membership: Membership = Membership()
    state: bytes = b""

    def encode(self) -> bytes:
        """Return the snapshot as a record with length and CRC."""
        return pack_record(encode_value(self))

    @staticmethod
    def decode(content: bytes, source: str) -> "Snapshot":
        """Return the snapshot in ``content``.

        Raises:
            StorageError: The bytes are damaged; the error names ``source``.
        """
        payload = unpack_record(content, 0)
        if payload is None or len(payload) + HEADER_BYTES != len(content):
            raise StorageError("damaged", step="read snapshot", peer=source)
        return decode_value(payload, Snapshot)


class SnapshotStore(ABC):
    """Stores the last two snapshots.

    Attributes:
        damaged: Files that the last call of :meth:`newest` skipped.
    """

    def __init__(self) -> None:
        self.damaged: tuple[str, ...] = ()

    @abstractmethod
    def indexes(self) -> list[int]:
        """Return the index of each stored snapshot, in ascending order."""

    @abstractmethod
    def save(self, snapshot: Snapshot) -> None:
        """Store a snapshot durably and remove all but the last two."""

    @abstractmethod
    def read(self, index: int) -> bytes:
        """Return the encoded snapshot of one index."""

    def newest(self) -> Snapshot:
        """Return the newest undamaged snapshot, an empty one if there is none.

        The calling code must check that its log continues the snapshot.
        """
        damaged: list[str] = []
        found = Snapshot()
        for index in reversed(self.indexes()):
            source = self._source(index)
            try:
                found = Snapshot.decode(self.read(index), source)
                break
            except StorageError:
                damaged.append(source)
        self.damaged = tuple(damaged)
        return found

    @abstractmethod
    def _source(self, index: int) -> str: ...


class DiskSnapshotStore(SnapshotStore):
    """Snapshots on disk, in files named by their index.

    Args:
        folder: Data folder.
    """

    def __init__(self, folder: Path) -> None:
        super().__init__()
        self._folder = folder

    def indexes(self) -> list[int]:
        """Return the index of each stored snapshot."""
        names = [path.name for path in self._folder.glob(f"{PREFIX}*")]
        numbers = [name.removeprefix(PREFIX) for name in names]
        return sorted(int(number) for number in numbers if number.isdecimal())

    def save(self, snapshot: Snapshot) -> None:
        """Replace the snapshot's file durably and remove all but the last two."""
        path = self._path(snapshot.index)
        with storage_errors("save snapshot", path):
            replace_file(path, snapshot.encode())
            for index in self.indexes()[:-RETAINED_SNAPSHOTS]:
                self._path(index).unlink()
            sync_folder(self._folder)

    def read(self, index: int) -> bytes:
        """Return the encoded snapshot of one index."""
        path = self._path(index)
        with storage_errors("read snapshot", path):
            return path.read_bytes()

    def _path(self, index: int) -> Path:
        return self._folder / f"{PREFIX}{index:020d}"

    def _source(self, index: int) -> str:
        return str(self._path(index))


class MemorySnapshotStore(SnapshotStore):
    """Snapshots in memory, for tests."""

    def __init__(self) -> None:
        super().__init__()
        self._contents: dict[int, bytes] = {}

    def indexes(self) -> list[int]:
        """Return the index of each stored snapshot."""
        return sorted(self._contents)

    def save(self, snapshot: Snapshot) -> None:
        """Store a snapshot and remove all but the last two."""
        self._contents[snapshot.index] = snapshot.encode()
        for index in self.indexes()[:-RETAINED_SNAPSHOTS]:
            del self._contents[index]

    def read(self, index: int) -> bytes:
        """Return the encoded snapshot of one index."""
        return self._contents[index]

    def _source(self, index: int) -> str:
        return f"snapshot {index}"
