"""Instance records, the revisions that instances reported, and how they merge."""

from collections.abc import Callable, Iterable
from enum import IntEnum

from attrs import frozen

from .hashing import hash_64
from .registers import Register, record_key, record_version


class InstanceStatus(IntEnum):
    """What failure detection says of an instance."""

    ALIVE = 1
    SUSPECT = 2
    DEAD = 3


@frozen(kw_only=True)
class InstanceRecord:
    """One entry instance.

    Attributes:
        name: Its name; a replacement takes it over.
        incarnation: Start of the process, nanoseconds since the Unix epoch.
        heartbeat: Grows when the instance itself refutes a suspicion.
        status: What failure detection says.
        data_centre: Name of its data centre.
        endpoint: Its endpoint on the bus.
        fabric_address: ``ip:port`` that takes packets of the fabric.
        is_member: Whether it takes part in agreement.
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
        """Order of merging: the highest wins."""
        return self.incarnation, self.heartbeat, self.status

    @property
    def is_alive(self) -> bool:
        """Whether it isn't known to be dead; a suspect still counts."""
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
        """Call ``listener`` with every record taken."""
        self._listeners.append(listener)

    def records(self) -> Iterable[InstanceRecord]:
        """Return all records."""
        return list(self._records.values())

    def get(self, key: str) -> InstanceRecord | None:
        """Return the record of a name."""
        return self._records.get(key)

    def merge(self, record: InstanceRecord) -> bool:
        """Take a record of higher rank."""
        known = self._records.get(record.name)
        if known and record.rank <= known.rank:
            return False
        self._records[record.name] = record
        for listener in list(self._listeners):
            listener(record)
        return True

    def alive_instances(self, data_centre: str | None = None) -> list[InstanceRecord]:
        """Return instances that aren't dead, of one data centre or of all."""
        return [
            record
            for record in self._records.values()
            if record.is_alive and data_centre in (None, record.data_centre)
        ]

    def members(self) -> list[InstanceRecord]:
        """Return the instances that take part in agreement, dead ones included."""
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
    """Highest reported revisions; kept for instances without a disk.

    Marks stay inside the data centre and aren't pushed: every change of the
    configuration changes the marks of all instances.
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
        """Take a higher revision."""
        known = self._marks.get(record.name)
        if known and record.revision <= known.revision:
            return False
        self._marks[record.name] = record
        return True
