"""Random identity of a data folder, and the lock on the folder."""

import fcntl
import os
from pathlib import Path

from ..errors import StorageError
from .files import replace_file, storage_errors

IDENTITY_BYTES = 16


def new_identity() -> bytes:
    """Return 128 random bits."""
    return os.urandom(IDENTITY_BYTES)


class FolderLock:
    """Lock that gives one process exclusive use of a data folder.

    Args:
        folder: Data folder, which is created if it doesn't exist.

    Raises:
        StorageError: Another process uses the folder.
    """

    def __init__(self, folder: Path) -> None:
        with storage_errors("open data folder", folder):
            folder.mkdir(parents=True, exist_ok=True)
            flags = os.O_RDWR | os.O_CREAT
            self._descriptor = os.open(folder / "lock", flags, 0o600)
        try:
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._descriptor)
            raise StorageError(
                "another process uses this data folder",
                step="lock data folder",
                peer=str(folder),
            ) from error

    def close(self) -> None:
        """Release the lock."""
        os.close(self._descriptor)


def load_identity(folder: Path) -> bytes:
    """Return the identity of a data folder, which is created on first use.

    Raises:
        StorageError: The identity is damaged, or missing although the folder holds a
            term, a log or snapshots.
    """
    path = folder / "identity"
    with storage_errors("read identity", path):
        if not path.exists():
            _check_unused(folder, path)
            replace_file(path, new_identity().hex().encode() + b"\n")
        text = path.read_text(errors="replace").strip()
    try:
        identity = bytes.fromhex(text)
    except ValueError:
        identity = b""
    if len(identity) != IDENTITY_BYTES:
        raise StorageError("damaged", step="read identity", peer=str(path))
    return identity


def _check_unused(folder: Path, path: Path) -> None:
    patterns = ("term", "log-*", "snapshot-*")
    held = [found.name for pattern in patterns for found in folder.glob(pattern)]
    if held:
        message = f"missing although the folder holds {held[0]}"
        raise StorageError(message, step="read identity", peer=str(path))
