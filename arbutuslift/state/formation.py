"""Names of the members that are to form a cluster, durable from the first start on.

Whether an instance takes part in forming must not be read from its settings: they say
so at the very first start only, and a process may end at any moment of it.
"""

from pathlib import Path

from attrs import frozen

from ..errors import StorageError
from .codec import decode_value, encode_value
from .files import pack_record, replace_file, storage_errors, unpack_record

STEP = "read initial members"
FILE_NAME = "formation"

Names = tuple[str, ...]


class FormationIntent:
    """Names of the initial members as the settings give them at each start.

    Args:
        names: Names of the initial members; empty on an instance that knows none.
        seeds: Names in the settings of the instance. An unused instance that knows no
            initial members may learn them from another one if they are the same.
    """

    def __init__(self, names: Names = (), seeds: Names = ()) -> None:
        self._names = names
        self._seeds = tuple(sorted(set(seeds)))

    @property
    def names(self) -> Names:
        """Return the names of the initial members, empty if they aren't known."""
        return self._names

    def adopt(self, names: Names) -> bool:
        """Store names that another instance gives, if none are known.

        Returns:
            Whether the names are those that this instance knows now.

        Raises:
            StorageError: The names can't be stored.
        """
        if self._names or not names or names != self._seeds:
            return bool(names) and names == self._names
        self._store(names)
        self._names = names
        return True

    def _store(self, names: Names) -> None:
        """Make the names durable; nothing to do if the settings always give them."""


class DiskFormationIntent(FormationIntent):
    """Names that are stored in the data folder before anything acts on them.

    Args:
        folder: Data folder.
        seeds: Names in the settings of the instance.

    Raises:
        StorageError: The file is damaged.
    """

    def __init__(self, folder: Path, seeds: Names) -> None:
        super().__init__(_load(folder / FILE_NAME), seeds)
        self._path = folder / FILE_NAME

    def _store(self, names: Names) -> None:
        with storage_errors("save initial members", self._path):
            replace_file(
                self._path, pack_record(encode_value(_FormationRecord(names=names)))
            )


def record_first_start(folder: Path, name: str, seeds: Names) -> None:
    """Store that an instance takes part in forming, at the first start of the system.

    A folder that was used before is left as it is.

    Args:
        folder: Data folder, which is created if it doesn't exist.
        name: Name of the instance; it takes part if it is one of the seeds.
        seeds: Names of the initial members.

    Raises:
        StorageError: The disk refuses the file.
    """
    with storage_errors("save initial members", folder):
        folder.mkdir(parents=True, exist_ok=True)
        is_used = any((folder / used).exists() for used in (FILE_NAME, "term"))
    if not is_used and name in seeds:
        DiskFormationIntent(folder, seeds).adopt(tuple(sorted(set(seeds))))


@frozen(kw_only=True)
class _FormationRecord:
    names: Names


def _load(path: Path) -> Names:
    with storage_errors(STEP, path):
        if not path.exists():
            return ()
        payload = unpack_record(path.read_bytes(), 0)
    if payload is None:
        raise StorageError("damaged", step=STEP, peer=str(path))
    return decode_value(payload, _FormationRecord).names
