"""Instance records, the revisions that instances reported, and their merging."""

from collections.abc import Callable, Iterable
from enum import IntEnum

from attrs import frozen

from .hashing import hash_64
from .registers import Register, record_key, record_version


class InstanceStatus(IntEnum):
    """State of an instance according to the failure detector."""

    ALIVE = 1
    SUSPECT = 2
    DEAD = 3


@frozen(kw_only=True)
class InstanceRecord:
    """One entry instance.

    Attributes:
        name: Its name, which a replacement reuses.
        incarnation: Start of the process, in nanoseconds since the Unix epoch.
        heartbeat: Counter that the instance increments to refute a suspicion.
        status: Its state according to the failure detector.
        data_centre: Name of its data centre.
        endpoint: Its endpoint on the bus.
        fabric_address: ``ip:port`` at which it receives packets of the fabric.
        is_member: Whether it is a member of the replicated log.
    """

    name: str
    incarnation: int
    heartbeat: int = 0
    status: InstanceStatus = InstanceStatus.ALIVE
    data_centre: str
    endpoint: str
    fabric_address: str = ""
    is_member: bool = False

    @property
    def rank(self) -> tuple[int, int, InstanceStatus]:
        """Return the precedence in merges; the record of the highest rank wins."""
        return self.incarnation, self.heartbeat, self.status

    @property
    def is_alive(self) -> bool:
        """Return whether it isn't known to be dead; a suspected instance is alive."""
        return self.status != InstanceStatus.DEAD


@record_key.register
def _(record: InstanceRecord) -> str:
    return record.name


@record_version.register
def _(record: InstanceRecord) -> int:
    return hash_64(repr(tuple(map(int, record.rank))).encode())


Listener = Callable[[InstanceRecord], None]


class InstanceView(Register):
    """The newest known record of every instance."""

    kind = "instance"
    record_class = InstanceRecord

    def __init__(self) -> None:
        self._records: dict[str, InstanceRecord] = {}
        self._listeners: list[Listener] = []

    def on_change(self, listener: Listener) -> None:
        """Call ``listener`` with every record that changes the view."""
        self._listeners.append(listener)

    def records(self) -> Iterable[InstanceRecord]:
        """Return all records."""
        return list(self._records.values())

    def get(self, key: str) -> InstanceRecord | None:
        """Return the record of an instance."""
        return self._records.get(key)

    def merge(self, record: InstanceRecord) -> bool:
        """Merge a record, which replaces the known one if its rank is higher."""
        known = self._records.get(record.name)
        if known and record.rank <= known.rank:
            return False
        self._records[record.name] = record
        for listener in list(self._listeners):
            listener(record)
        return True

    def alive_instances(self, data_centre: str | None = None) -> list[InstanceRecord]:
        """Return the alive instances of one data centre, or of all of them."""
        return [
            record
            for record in self._records.values()
            if record.is_alive and data_centre in (None, record.data_centre)
        ]

    def members(self) -> list[InstanceRecord]:
        """Return the members of the replicated log, including dead ones."""
        return [record for record in self._records.values() if record.is_member]


@frozen(kw_only=True)
class RevisionMark:
    """The highest revision that an instance reported to be in effect.

    Attributes:
        name: Name of the instance.
        revision: The revision.
    """

    name: str
    revision: int


@record_key.register
def _(record: RevisionMark) -> str:
    return record.name


@record_version.register
def _(record: RevisionMark) -> int:
    return hash_64(str(record.revision).encode())


class RevisionView(Register):
    """Highest revision that each instance reported, for instances without a disk.

    Marks are sent only inside the data centre and aren't pushed, because every change
    of the configuration changes the marks of all instances.
    """

    kind = "revision"
    record_class = RevisionMark
    is_local = True
    is_pushed = False

    def __init__(self) -> None:
        self._marks: dict[str, RevisionMark] = {}

    def records(self) -> Iterable[RevisionMark]:
        """Return all marks."""
        return list(self._marks.values())

    def get(self, key: str) -> RevisionMark | None:
        """Return the mark of an instance."""
        return self._marks.get(key)

    def merge(self, record: RevisionMark) -> bool:
        """Merge a mark, which replaces the known one if its revision is higher."""
        known = self._marks.get(record.name)
        if known and record.revision <= known.revision:
            return False
        self._marks[record.name] = record
        return True
