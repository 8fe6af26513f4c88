"""Storage for the starts of upstreams across restarts of a control instance."""

from abc import ABC, abstractmethod
from pathlib import Path

from attrs import frozen

from .codec import decode_value, encode_value
from .files import pack_record, replace_file, storage_errors, unpack_record
from .starts import UpstreamStart


@frozen(kw_only=True)
class SavedStarts:
    """Contents of the store.

    Attributes:
        starts: Starts that weren't gone when they were saved.
    """

    starts: tuple[UpstreamStart, ...]


class StartStore(ABC):
    """Stores the starts that were saved last."""

    @abstractmethod
    def load(self) -> tuple[UpstreamStart, ...]:
        """Return the stored starts, an empty tuple if none were stored."""

    @abstractmethod
    def save(self, starts: tuple[UpstreamStart, ...]) -> None:
        """Replace the stored starts."""


class DiskStartStore(StartStore):
    """Starts in one file that is replaced atomically.

    Args:
        folder: Data folder.
    """

    def __init__(self, folder: Path) -> None:
        self._path = folder / "starts"

    def load(self) -> tuple[UpstreamStart, ...]:
        """Return the stored starts; a damaged file counts as none.

        The starts aren't lost with the file, because upstreams announce themselves
        again.

        Raises:
            StorageError: The file can't be read, or its record isn't of starts.
        """
        with storage_errors("read starts", self._path):
            if not self._path.exists():
                return ()
            payload = unpack_record(self._path.read_bytes(), 0)
        return decode_value(payload, SavedStarts).starts if payload else ()

    def save(self, starts: tuple[UpstreamStart, ...]) -> None:
        """Replace the file and sync.

        Raises:
            StorageError: The file can't be written.
        """
        content = pack_record(encode_value(SavedStarts(starts=starts)))
        with storage_errors("save starts", self._path):
            replace_file(self._path, content)


class MemoryStartStore(StartStore):
    """Starts in memory, for tests."""

    def __init__(self) -> None:
        self._starts: tuple[UpstreamStart, ...] = ()

    def load(self) -> tuple[UpstreamStart, ...]:
        """Return the stored starts."""
        return self._starts

    def save(self, starts: tuple[UpstreamStart, ...]) -> None:
        """Replace the starts."""
        self._starts = starts
