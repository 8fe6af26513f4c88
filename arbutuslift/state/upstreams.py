"""Upstream records and the rules by which they merge."""

from collections.abc import Iterator
from enum import IntEnum

from attrs import frozen


class UpstreamState(IntEnum):
    """Life of one upstream process; it only moves forward."""

    COLD = 1
    READY = 2
    DRAINING = 3
    LEAVING = 4
    GONE = 5


@frozen(kw_only=True)
class UpstreamRecord:
    """What an upstream announced of itself.

    Attributes:
        upstream_id: Random identity of one process start, 32 hex digits.
        name: Name given by the operators.
        data_centre: Name of its data centre.
        address: Dotted IPv4 address.
        port: UDP port that takes encapsulated packets.
        service: Name of the service that it serves.
        work_kinds: Kinds of work that it may carry.
        state: Its state.
        sequence: Grows with every announcement of this identity.
        weight: Its part of the new flows.
        open_connections: Connections open when it announced itself.
        busy_slots: Slots in use when it announced itself.
        started_at_s: Start of the process, seconds since the Unix epoch.
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

    @property
    def is_alive(self) -> bool:
        """Whether it may hold flows."""
        return self.state != UpstreamState.GONE

    @property
    def takes_new_flows(self) -> bool:
        """Whether it may get new flows."""
        return self.state in (UpstreamState.COLD, UpstreamState.READY)


class UpstreamView:
    """The newest known record of every upstream."""

    def __init__(self) -> None:
        self._records: dict[str, UpstreamRecord] = {}
        self._by_address: dict[tuple[str, str], str] = {}

    def __iter__(self) -> Iterator[UpstreamRecord]:
        return iter(self._records.values())

    def get(self, upstream_id: str) -> UpstreamRecord | None:
        """Return the record of an identity."""
        return self._records.get(upstream_id)

    def at_address(self, address: str, service: str) -> UpstreamRecord | None:
        """Return the upstream of a service that is alive at an address."""
        upstream_id = self._by_address.get((address, service))
        return self._records.get(upstream_id) if upstream_id else None

    def of_service(self, service: str) -> list[UpstreamRecord]:
        """Return the records of a service that are alive."""
        return [
            record
            for record in self._records.values()
            if record.service == service and record.is_alive
        ]

    def merge(self, record: UpstreamRecord) -> bool:
        """Take a record if it is newer than the known one.

        Returns:
            Whether the view changed.
        """
        known = self._records.get(record.upstream_id)
        if known and (record.sequence <= known.sequence or record.state < known.state):
            return False
        self._records[record.upstream_id] = record
        key = (record.address, record.service)
        if record.is_alive:
            self._by_address[key] = record.upstream_id
        elif self._by_address.get(key) == record.upstream_id:
            del self._by_address[key]
        return True
