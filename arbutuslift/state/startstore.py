"""Starts of upstreams that a control instance keeps over its own restart."""

from abc import ABC, abstractmethod
from pathlib import Path

from attrs import frozen

from .codec import decode_value, encode_value
from .files import pack_record, replace_file, storage_errors, unpack_record
from .starts import UpstreamStart


@frozen(kw_only=True)
class SavedStarts:
    """What is stored.

    Attributes:
        starts: Starts that weren't gone.
    """

    starts: tuple[UpstreamStart, ...]


class StartStore(ABC):
    """Holds the starts that were known last."""

    @abstractmethod
    def load(self) -> tuple[UpstreamStart, ...]:
        """Return the stored starts, none if none were stored."""

    @abstractmethod
    def save(self, starts: tuple[UpstreamStart, ...]) -> None:
        """Replace the stored starts."""


class DiskStartStore(StartStore):
    """Starts in one file that is replaced as a whole.

    Args:
        folder: Data folder.
    """

    def __init__(self, folder: Path) -> None:
        self._path = folder / "starts"

    def load(self) -> tuple[UpstreamStart, ...]:
        """Return the stored starts; a damaged file counts as none.

        Upstreams announce themselves again, so nothing is lost with the file.

        Raises:
            StorageError: The file can't be read, or holds something else.
        """
        with storage_errors("read starts", self._path):
            if not self._path.exists():
                return ()
            payload = unpack_record(self._path.read_bytes(), 0)
        return decode_value(payload, SavedStarts).starts if payload else ()

    def save(self, starts: tuple[UpstreamStart, ...]) -> None:
        """Replace the file and sync.

        Raises:
            StorageError: The disk refuses.
        """
        content = pack_record(encode_value(SavedStarts(starts=starts)))
        with storage_errors("save starts", self._path):
            replace_file(self._path, content)


class MemoryStartStore(StartStore):
    """Starts for tests."""

    def __init__(self) -> None:
        self._starts: tuple[UpstreamStart, ...] = ()

    def load(self) -> tuple[UpstreamStart, ...]:
        """Return the stored starts."""
        return self._starts

    def save(self, starts: tuple[UpstreamStart, ...]) -> None:
        """Keep the starts."""
        self._starts = starts
