"""Mergeable sets of records that gossip replicates to all instances."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from enum import IntEnum
from functools import singledispatch
from typing import Any

from .hashing import hash_64
from .upstreams import UpstreamRecord, UpstreamState, UpstreamView


class SendPriority(IntEnum):
    """Priority with which a change is sent; the lowest number is sent first."""

    CONFIGURATION = 0
    WITHDRAWAL = 1
    STATE = 2
    REST = 3


class Register(ABC):
    """The set of all records of one kind.

    Attributes:
        kind: Name of the kind in messages.
        record_class: Class of its records.
        is_local: Whether records are sent only inside the data centre.
        is_pushed: Whether a change is sent immediately instead of in the next
            rounds of gossip.
    """

    kind: str
    record_class: type
    is_local: bool = False
    is_pushed: bool = True

    @abstractmethod
    def records(self) -> Iterable[Any]:
        """Return all records."""

    @abstractmethod
    def get(self, key: str) -> Any | None:
        """Return the record of a key."""

    @abstractmethod
    def merge(self, record: Any) -> bool:
        """Merge a record, which replaces the known one if it is newer.

        The resulting set must not depend on the order of merges.

        Returns:
            Whether the set changed.
        """


@singledispatch
def record_key(record: object) -> str:
    """Return the key that identifies a record within its kind."""
    raise NotImplementedError(type(record).__name__)


@singledispatch
def record_version(record: object) -> int:
    """Return a 64-bit hash of the fields whose changes must reach all instances.

    Fields that change constantly, such as a sequence, are left out, because each change
    of this hash is sent to every instance.
    """
    raise NotImplementedError(type(record).__name__)


@singledispatch
def record_priority(record: object) -> SendPriority:
    """Return the priority with which a change of a record is sent."""
    del record
    return SendPriority.REST


class DelegatingRegister(Register):
    """Register that delegates to a set held elsewhere, such as generations.

    Args:
        kind: Name of the kind in messages.
        record_class: Class of the records; needs ``record_key`` and
            ``record_version``.
        records: Returns all records.
        merge: Merges a record and returns whether the set changed.
        is_local: Whether records are sent only inside the data centre.
    """

    def __init__(
        self,
        kind: str,
        record_class: type,
        records: Callable[[], Iterable[Any]],
        merge: Callable[[Any], bool],
        *,
        is_local: bool = False,
    ) -> None:
        self.kind = kind
        self.record_class = record_class
        self.is_local = is_local
        self._records = records
        self._merge = merge
        self._known: dict[str, Any] = {}

    def records(self) -> Iterable[Any]:
        """Return all records."""
        self._known = {record_key(record): record for record in self._records()}
        return list(self._known.values())

    def get(self, key: str) -> Any | None:
        """Return the record of a key as of the last merge or call of ``records``."""
        return self._known.get(key)

    def merge(self, record: Any) -> bool:
        """Merge a record into the set."""
        key = record_key(record)
        if self._merge(record):
            self._known[key] = record
            return True
        # The set also changes by other means, so it may have held the record before
        # this register did.
        if self._known.get(key) != record:
            self.records()
        return False


class UpstreamRegister(Register):
    """Register of upstream records; load and sequence alone don't count as a change.

    Args:
        view: View that holds the records.
    """

    kind = "upstream"
    record_class = UpstreamRecord

    def __init__(self, view: UpstreamView) -> None:
        self._view = view

    def records(self) -> Iterable[UpstreamRecord]:
        """Return all records."""
        return list(self._view)

    def get(self, key: str) -> UpstreamRecord | None:
        """Return the record of an identity."""
        return self._view.get(key)

    def merge(self, record: UpstreamRecord) -> bool:
        """Merge a record into the view."""
        return self._view.merge(record)


@record_key.register
def _(record: UpstreamRecord) -> str:
    return record.upstream_id


@record_version.register
def _(record: UpstreamRecord) -> int:
    # Instances may detect a time-out of the same upstream at different sequences. The
    # other fields of such a record no longer matter, so they needn't converge.
    if not record.is_alive:
        return 0
    fields = (record.state, record.weight, record.address, record.port, record.service)
    return hash_64(repr((*map(str, fields), record.work_kinds)).encode())


@record_priority.register
def _(record: UpstreamRecord) -> SendPriority:
    if record.state >= UpstreamState.DRAINING:
        return SendPriority.WITHDRAWAL
    return SendPriority.STATE
