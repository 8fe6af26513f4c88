"""All state of a member that persists across restarts, opened together."""

from contextlib import ExitStack
from pathlib import Path

from attrs import define, field

from ..errors import StorageError
from .disklog import DiskLogStore
from .files import remove_temporary_files, storage_errors, sync_folder
from .identity import FolderLock, load_identity, new_identity
from .logstore import LogStore, MemoryLogStore
from .snapshots import (
    DiskSnapshotStore,
    MemorySnapshotStore,
    Snapshot,
    SnapshotStore,
)
from .termstore import DiskTermStore, MemoryTermStore, TermStore


@define(kw_only=True)
class MemberStorage:
    """The stores of one member.

    Attributes:
        identity: Random identity of the data folder.
        terms: Store of the term and vote.
        log: Store of the log entries.
        snapshots: Store of the snapshots.
        stack: Closes the files and releases the folder lock.
    """

    identity: bytes
    terms: TermStore
    log: LogStore
    snapshots: SnapshotStore
    stack: ExitStack = field(factory=ExitStack)

    @staticmethod
    def in_memory(identity: bytes | None = None) -> "MemberStorage":
        """Return stores in memory, for tests; a restarted member gets the same ones."""
        return MemberStorage(
            identity=identity or new_identity(),
            terms=MemoryTermStore(),
            log=MemoryLogStore(),
            snapshots=MemorySnapshotStore(),
        )

    @staticmethod
    def open(folder: Path) -> "MemberStorage":
        """Open a data folder.

        Raises:
            StorageError: The folder is in use, or a file is damaged so that accepted
                entries may be missing.
        """
        with ExitStack() as stack:
            stack.callback(FolderLock(folder).close)
            remove_temporary_files(folder)
            # A process that was killed may have renamed files without a sync.
            with storage_errors("open data folder", folder):
                sync_folder(folder)
            identity = load_identity(folder)
            snapshots = DiskSnapshotStore(folder)
            newest = snapshots.newest()
            log = _open_log(folder, newest, snapshots.damaged)
            stack.callback(log.close)
            terms = DiskTermStore(folder)
            _check_term(folder, terms, newest, log)
            return MemberStorage(
                identity=identity,
                terms=terms,
                log=log,
                snapshots=snapshots,
                stack=stack.pop_all(),
            )

    def close(self) -> None:
        """Close the files and release the folder lock."""
        self.stack.close()


def _open_log(folder: Path, newest: Snapshot, damaged: tuple[str, ...]) -> DiskLogStore:
    try:
        log = DiskLogStore(folder, newest.index)
    except StorageError as error:
        if not damaged:
            raise
        raise _not_covered_error(folder, damaged, str(error)) from error
    _check_covered(folder, newest, damaged, log)
    return log


def _check_covered(
    folder: Path, newest: Snapshot, damaged: tuple[str, ...], log: DiskLogStore
) -> None:
    """Refuse a fallback if the log ends before the newest damaged snapshot."""
    if not damaged:
        return
    needed = int(Path(damaged[0]).name.rpartition("-")[2])
    if log.last_index < needed:
        log.close()
        reason = f"log ends at entry {log.last_index}, {needed} is needed"
        raise _not_covered_error(folder, damaged, reason)


def _check_term(
    folder: Path, terms: TermStore, newest: Snapshot, log: DiskLogStore
) -> None:
    """Refuse a folder whose term was lost, since the vote was lost with it."""
    stored = terms.load().term
    last = log.term_at(log.last_index) if log.last_index >= log.first_index else 0
    if stored < max(last, newest.term):
        message = f"term {stored} is older than the entries"
        raise StorageError(message, step="read term", peer=str(folder / "term"))


def _not_covered_error(
    folder: Path, damaged: tuple[str, ...], reason: str
) -> StorageError:
    names = ", ".join(damaged)
    message = f"damaged snapshot {names}, and the log doesn't cover it: {reason}"
    return StorageError(message, step="open data folder", peer=str(folder))
