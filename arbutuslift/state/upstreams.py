"""Upstream records and the rules by which they merge."""

from collections.abc import Callable, Iterator
from enum import IntEnum
from math import inf

from attrs import evolve, frozen

from ..clock import Clock, SystemClock

GONE_RETENTION_S = 26 * 3600.0

# 16,000 upstreams with two restarts each within the retention time of gone ids.
MAX_RECORDS = 50_000

# A claim on an address loses to any process that starts later, so a start time in
# the future blocks the address until then. Gossip carries only records whose start
# an instance checked against its own clock; this bound also covers an instance
# whose clock is ahead, and leaves room for one whose clock is behind.
MAX_START_AHEAD_S = 600.0


class UpstreamState(IntEnum):
    """Life of one upstream process; it only moves forward."""

    COLD = 1
    READY = 2
    DRAINING = 3
    LEAVING = 4
    GONE = 5


@frozen(kw_only=True)
class UpstreamRecord:
    """What an upstream announced of itself and what instances found out about it.

    Attributes:
        upstream_id: Random identity of one process start, 32 hex digits.
        name: Name given by the operators.
        data_centre: Name of its data centre.
        address: Dotted IPv4 address.
        port: UDP port that takes encapsulated packets.
        service: Name of the service that it serves.
        work_kinds: Kinds of work that it may carry.
        state: Its announced state, or gone if another process has its address.
        sequence: Grows with every announcement of this identity.
        weight: Its part of the new flows.
        open_connections: Connections open when it announced itself.
        busy_slots: Slots in use when it announced itself.
        started_at_s: Start of the process, seconds since the Unix epoch.
        lapsed_sequence: Last sequence after which it was found silent, or -1. A
            higher sequence ends the lapse.
        gone_at_s: When it was found gone, seconds since the Unix epoch, or 0.
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
        """Whether it may hold flows."""
        return self.state != UpstreamState.GONE and not self.is_lapsed

    @property
    def is_lapsed(self) -> bool:
        """Whether it was found silent and hasn't announced itself since."""
        return self.lapsed_sequence >= self.sequence

    @property
    def accepts_new_flows(self) -> bool:
        """Whether it may get new flows."""
        return self.is_alive and self.state <= UpstreamState.READY

    def is_same_process(self, other: "UpstreamRecord") -> bool:
        """Whether the fields that are fixed for one process start are equal."""
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
    """Return a sort key: the sequence, then the content to order equal sequences."""
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
    """Return the least record that is as new as both records of one identity.

    Each field is a maximum, so the result doesn't depend on the order of arrival.
    Two processes under one identity can't be told apart, so neither gets flows.
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
class Advance:
    """When a sequence last grew, and how long after the time before."""

    at_s: float
    interval_s: float


class UpstreamView:
    """The newest known record of every upstream.

    Of all identities that ever claimed an address, the one that started last holds
    it and the others are gone, whatever services they serve. At the bound on the
    number of records the record that has been gone longest makes room; if none is
    gone, the new record is refused, so invented identities can't displace an alive
    upstream.

    Args:
        clock: Source of time.
        max_records: Bound on alive and gone records together.
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
        self._advances: dict[str, Advance] = {}
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
        """Call ``callback`` with a record when a slot table may depend on the change.

        Announcements that only advance the sequence or the load don't count.
        """
        self._eligibility_callbacks.append(callback)

    def get(self, upstream_id: str) -> UpstreamRecord | None:
        """Return the record of an identity."""
        return self._records.get(upstream_id)

    def at_address(self, address: str, service: str) -> UpstreamRecord | None:
        """Return the upstream of a service that is alive at an address."""
        record = self.holder_of(address)
        if record is None or not record.is_alive or record.service != service:
            return None
        return record

    def holder_of(self, address: str) -> UpstreamRecord | None:
        """Return the identity that started last at an address, alive or gone."""
        return self._records.get(self._holders.get(address, ""))

    def of_service(self, service: str) -> list[UpstreamRecord]:
        """Return the records of a service that are alive."""
        return list(self._by_service.get(service, {}).values())

    def of_data_centre(self, data_centre: str) -> list[UpstreamRecord]:
        """Return the records of a data centre that are alive."""
        return list(self._by_data_centre.get(data_centre, {}).values())

    def advanced_at_s(self, upstream_id: str) -> float:
        """Return the monotonic time at which the sequence last grew in this view."""
        advance = self._advances.get(upstream_id)
        return advance.at_s if advance else 0.0

    def advance_interval_s(self, upstream_id: str) -> float:
        """Return the time between the last two advances, infinite after the first."""
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
        """Mark an upstream gone until it announces itself with a higher sequence."""
        known = self._records[upstream_id]
        self._store(evolve(known, lapsed_sequence=known.sequence))

    def expire(self) -> None:
        """Forget identities that have been gone for the retention time."""
        now_s = self._clock.wall_s()
        while self._gone:
            upstream_id, gone_at_s = next(iter(self._gone.items()))
            if now_s - gone_at_s < GONE_RETENTION_S:
                return
            self._forget(upstream_id)

    def _has_room_for(self, record: UpstreamRecord) -> bool:
        now_s = self._clock.wall_s()
        if record.started_at_s > now_s + MAX_START_AHEAD_S:
            self.refused_future_start += 1
            return False
        # A peer that forgets the record later must not bring it back here.
        if record.gone_at_s and now_s - record.gone_at_s >= GONE_RETENTION_S:
            return False
        if len(self._records) < self._max_records:
            return True
        if not self._gone:
            self.refused_at_capacity += 1
            return False
        self._forget(next(iter(self._gone)))
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
            self._note_advance(record.upstream_id)
        self._index(record)
        for callback in self._change_callbacks:
            callback(record)
        if previous is None or _eligibility(record) != _eligibility(previous):
            for callback in self._eligibility_callbacks:
                callback(record)
        return True

    def _note_advance(self, upstream_id: str) -> None:
        now_s = self._clock.monotonic_s()
        previous = self._advances.get(upstream_id)
        interval_s = now_s - previous.at_s if previous else inf
        self._advances[upstream_id] = Advance(now_s, interval_s)

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

    def _forget(self, upstream_id: str) -> None:
        record = self._records.pop(upstream_id)
        self._gone.pop(upstream_id, None)
        self._advances.pop(upstream_id, None)
        if self._holders.get(record.address) == upstream_id:
            del self._holders[record.address]


def _eligibility(record: UpstreamRecord) -> tuple[object, ...]:
    return record.is_alive, record.accepts_new_flows, record.weight, record.work_kinds
