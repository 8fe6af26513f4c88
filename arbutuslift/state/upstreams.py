"""Upstream records and the rules for merging them."""

from collections.abc import Callable, Iterator
from enum import IntEnum
from math import inf

from attrs import evolve, frozen

from ..clock import Clock, SystemClock

GONE_RETENTION_S = 26 * 3600.0

# 16,000 upstreams with two restarts each within the retention time of gone records.
MAX_RECORDS = 50_000

# An address belongs to the process that started last, so a start time in the future
# would block the address until then. The instance that receives an announcement checks
# the start time against its own clock before the record enters gossip. This bound also
# covers an instance whose clock is ahead, and tolerates one whose clock is behind.
MAX_START_AHEAD_S = 600.0


class UpstreamState(IntEnum):
    """Life cycle state of an upstream process; the value never decreases."""

    COLD = 1
    READY = 2
    DRAINING = 3
    LEAVING = 4
    GONE = 5


@frozen(kw_only=True)
class UpstreamRecord:
    """State that an upstream announced, and that instances observed of it.

    Attributes:
        upstream_id: Random identity of one start of the process, 32 hex digits.
        name: Name that the operators configured.
        data_centre: Name of its data centre.
        address: Dotted IPv4 address.
        port: UDP port that takes encapsulated packets.
        service: Name of its service.
        work_kinds: Kinds of work that it may carry.
        state: Its announced state, or gone if another process took over its address.
        sequence: Number that grows with every announcement of this identity.
        weight: Its portion of the new flows, relative to other upstreams.
        open_connections: Open connections at the time of the announcement.
        busy_slots: Slots in use at the time of the announcement.
        started_at_s: Start of the process, in seconds since the Unix epoch.
        lapsed_sequence: Sequence of the last announcement before the announcement
            time-out, or -1. The upstream counts as timed out until its sequence is
            higher.
        gone_at_s: Time at which it was detected to be gone, in seconds since the Unix
            epoch, or 0.
    """

    upstream_id: str
    name: str
    data_centre: str
    address: str
    port: int
    service: str
    work_kinds: tuple[str, ...]
    state: UpstreamState
    sequence: int
    weight: int = 100
    open_connections: int = 0
    busy_slots: int = 0
    started_at_s: float = 0.0
    lapsed_sequence: int = -1
    gone_at_s: float = 0.0

    @property
    def is_alive(self) -> bool:
        """Return whether it may hold flows."""
        return self.state != UpstreamState.GONE and not self.is_timed_out

    @property
    def is_timed_out(self) -> bool:
        """Return whether its announcements timed out and none has arrived since."""
        return self.lapsed_sequence >= self.sequence

    @property
    def accepts_new_flows(self) -> bool:
        """Return whether it is eligible for new flows."""
        return self.is_alive and self.state <= UpstreamState.READY

    def is_same_process(self, other: "UpstreamRecord") -> bool:
        """Return whether the fields that are fixed for one process start are equal."""
        return _fixed_fields(self) == _fixed_fields(other)


def _fixed_fields(record: UpstreamRecord) -> tuple[object, ...]:
    return (
        record.upstream_id,
        record.name,
        record.data_centre,
        record.address,
        record.port,
        record.service,
        record.started_at_s,
    )


def _version(record: UpstreamRecord) -> tuple[object, ...]:
    """Return a sort key: the sequence, then the contents to order equal sequences."""
    return (
        record.sequence,
        record.weight,
        record.open_connections,
        record.busy_slots,
        record.work_kinds,
    )


def _precedence(record: UpstreamRecord) -> tuple[float, str]:
    return record.started_at_s, record.upstream_id


def merge_records(one: UpstreamRecord, other: UpstreamRecord) -> UpstreamRecord:
    """Return the merge (least upper bound) of two records of one identity.

    Each component of the result is a maximum, so it doesn't depend on the order of
    arrival. If two processes announce one identity, they can't be distinguished, so the
    result is gone and neither process gets flows.
    """
    if not one.is_same_process(other):
        return evolve(one, state=UpstreamState.GONE)
    newest = max(one, other, key=_version)
    return evolve(
        newest,
        state=max(one.state, other.state),
        lapsed_sequence=max(one.lapsed_sequence, other.lapsed_sequence),
        gone_at_s=max(one.gone_at_s, other.gone_at_s),
    )


@frozen
class SequenceAdvance:
    """Time of the last sequence increase, and the interval since the one before."""

    at_s: float
    interval_s: float


class UpstreamView:
    """The newest known record of every upstream.

    Of all identities that announced the same address, the one that started last holds
    it and the others are gone, even if they belong to different services. At the bound
    on the number of records, the record that has been gone longest is evicted. If none
    is gone, the new record is refused, so that forged identities can't displace an
    alive upstream.

    Args:
        clock: Source of time.
        max_records: Maximum number of alive and gone records together.
    """

    def __init__(
        self, clock: Clock | None = None, max_records: int = MAX_RECORDS
    ) -> None:
        self._clock = clock or SystemClock()
        self._max_records = max_records
        self._records: dict[str, UpstreamRecord] = {}
        self._holders: dict[str, str] = {}
        self._by_service: dict[str, dict[str, UpstreamRecord]] = {}
        self._by_data_centre: dict[str, dict[str, UpstreamRecord]] = {}
        self._gone: dict[str, float] = {}
        self._advances: dict[str, SequenceAdvance] = {}
        self._change_callbacks: list[Callable[[UpstreamRecord], None]] = []
        self._eligibility_callbacks: list[Callable[[UpstreamRecord], None]] = []
        self.refused_at_capacity = 0
        self.refused_future_start = 0

    def __iter__(self) -> Iterator[UpstreamRecord]:
        return iter(self._records.values())

    def __len__(self) -> int:
        return len(self._records)

    def on_change(self, callback: Callable[[UpstreamRecord], None]) -> None:
        """Call ``callback`` with every record that changes in any field."""
        self._change_callbacks.append(callback)

    def on_eligibility_change(self, callback: Callable[[UpstreamRecord], None]) -> None:
        """Call ``callback`` with every record whose change may affect a slot table.

        An announcement that changes only the sequence or the load isn't such a change.
        """
        self._eligibility_callbacks.append(callback)

    def get(self, upstream_id: str) -> UpstreamRecord | None:
        """Return the record of an identity."""
        return self._records.get(upstream_id)

    def at_address(self, address: str, service: str) -> UpstreamRecord | None:
        """Return the alive upstream of a service at an address."""
        record = self.holder_of(address)
        if record is None or not record.is_alive or record.service != service:
            return None
        return record

    def holder_of(self, address: str) -> UpstreamRecord | None:
        """Return the record that started last at an address, alive or gone."""
        return self._records.get(self._holders.get(address, ""))

    def of_service(self, service: str) -> list[UpstreamRecord]:
        """Return the alive records of a service."""
        return list(self._by_service.get(service, {}).values())

    def of_data_centre(self, data_centre: str) -> list[UpstreamRecord]:
        """Return the alive records of a data centre."""
        return list(self._by_data_centre.get(data_centre, {}).values())

    def advanced_at_s(self, upstream_id: str) -> float:
        """Return the monotonic time of the last sequence increase in this view."""
        advance = self._advances.get(upstream_id)
        return advance.at_s if advance else 0.0

    def advance_interval_s(self, upstream_id: str) -> float:
        """Return the time between the last two increases, infinite after the first."""
        advance = self._advances.get(upstream_id)
        return advance.interval_s if advance else inf

    def merge(self, record: UpstreamRecord) -> bool:
        """Merge a record into the view.

        Returns:
            Whether the view changed.
        """
        known = self._records.get(record.upstream_id)
        if known is None and not self._has_room_for(record):
            return False
        merged = merge_records(known, record) if known else record
        holder = self.holder_of(merged.address)
        if holder is not None and holder.upstream_id != merged.upstream_id:
            if _precedence(holder) > _precedence(merged):
                merged = evolve(merged, state=UpstreamState.GONE)
            else:
                self._holders[merged.address] = merged.upstream_id
                self._store(evolve(holder, state=UpstreamState.GONE))
        elif holder is None:
            self._holders[merged.address] = merged.upstream_id
        return self._store(merged)

    def mark_timed_out(self, upstream_id: str) -> None:
        """Mark an upstream as timed out until a higher sequence arrives."""
        known = self._records[upstream_id]
        self._store(evolve(known, lapsed_sequence=known.sequence))

    def expire(self) -> None:
        """Remove records that have been gone for the retention time."""
        now_s = self._clock.wall_s()
        while self._gone:
            upstream_id, gone_at_s = next(iter(self._gone.items()))
            if now_s - gone_at_s < GONE_RETENTION_S:
                return
            self._remove(upstream_id)

    def _has_room_for(self, record: UpstreamRecord) -> bool:
        now_s = self._clock.wall_s()
        if record.started_at_s > now_s + MAX_START_AHEAD_S:
            self.refused_future_start += 1
            return False
        # A peer that hasn't removed the record yet must not reintroduce it here.
        if record.gone_at_s and now_s - record.gone_at_s >= GONE_RETENTION_S:
            return False
        if len(self._records) < self._max_records:
            return True
        if not self._gone:
            self.refused_at_capacity += 1
            return False
        self._remove(next(iter(self._gone)))
        return True

    def _store(self, record: UpstreamRecord) -> bool:
        if record.is_alive:
            record = evolve(record, gone_at_s=0.0)
        elif not record.gone_at_s:
            record = evolve(record, gone_at_s=self._clock.wall_s())
        previous = self._records.get(record.upstream_id)
        if record == previous:
            return False
        self._records[record.upstream_id] = record
        if previous is None or record.sequence > previous.sequence:
            self._record_advance(record.upstream_id)
        self._index(record)
        for callback in self._change_callbacks:
            callback(record)
        if previous is None or _eligibility(record) != _eligibility(previous):
            for callback in self._eligibility_callbacks:
                callback(record)
        return True

    def _record_advance(self, upstream_id: str) -> None:
        now_s = self._clock.monotonic_s()
        previous = self._advances.get(upstream_id)
        interval_s = now_s - previous.at_s if previous else inf
        self._advances[upstream_id] = SequenceAdvance(now_s, interval_s)

    def _index(self, record: UpstreamRecord) -> None:
        upstream_id = record.upstream_id
        of_service = self._by_service.setdefault(record.service, {})
        of_data_centre = self._by_data_centre.setdefault(record.data_centre, {})
        if record.is_alive:
            self._gone.pop(upstream_id, None)
            of_service[upstream_id] = record
            of_data_centre[upstream_id] = record
            return
        if self._gone.get(upstream_id) != record.gone_at_s:
            self._gone.pop(upstream_id, None)
            self._gone[upstream_id] = record.gone_at_s
        of_service.pop(upstream_id, None)
        of_data_centre.pop(upstream_id, None)
        if not of_service:
            del self._by_service[record.service]
        if not of_data_centre:
            del self._by_data_centre[record.data_centre]

    def _remove(self, upstream_id: str) -> None:
        record = self._records.pop(upstream_id)
        self._gone.pop(upstream_id, None)
        self._advances.pop(upstream_id, None)
        if self._holders.get(record.address) == upstream_id:
            del self._holders[record.address]


def _eligibility(record: UpstreamRecord) -> tuple[object, ...]:
    return record.is_alive, record.accepts_new_flows, record.weight, record.work_kinds
