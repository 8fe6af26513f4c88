"""Starts of upstreams, each one run of a process, and the merging of their records."""

import socket
from collections.abc import Iterator
from enum import IntEnum

from attrs import evolve, frozen

# Flows on the platform last for 60 s at most. After twice that time, no packet can
# carry the tag of a start that is gone.
GONE_RETENTION_S = 120.0
MAX_STARTS = 50_000

# Flow tags hash the time of birth as 64 bits with a sign, and packets carry the number
# of the upstream in 64 bits without one.
MAX_BORN_MS = 2**63 - 1
MAX_NUMBER = 2**64 - 1
MAX_PORT = 65535

# Identity of an upstream and when its process started, in ms of the Unix epoch.
StartKey = tuple[str, int]


class Phase(IntEnum):
    """Phase of an upstream's lifetime; the values are in order."""

    READY = 0
    DRAINING = 1
    GONE = 2


@frozen(kw_only=True)
class UpstreamStart:
    """One run of an upstream's process.

    Attributes:
        upstream_id: Identity that the upstream announces; a restart may keep it.
        number: The identity as the number that identifies the upstream in its packets.
        born_ms: When the process started, in ms of the Unix epoch.
        service: Service that it belongs to.
        ip: Address for packets.
        port: Port for packets.
        data_centre: Where it runs.
        slots: Requests that it processes concurrently.
        phase: Phase of its lifetime.
        sequence: Number of the announcement that this record comes from; it orders the
            announcements of one start.
        warm_up_left_ms: Remaining time of its cold start when this record was sent.
    """

    upstream_id: str
    number: int
    born_ms: int
    service: str
    ip: str
    port: int
    data_centre: str
    slots: int = 1
    phase: Phase = Phase.READY
    sequence: int = 0
    warm_up_left_ms: int = 0

    def __attrs_post_init__(self) -> None:
        """Check what packets and flow tags encode; peers may send anything.

        Raises:
            ValueError: A value doesn't fit its field.
        """
        is_valid = (
            0 <= self.born_ms <= MAX_BORN_MS
            and 0 < self.port <= MAX_PORT
            and 0 <= self.number <= MAX_NUMBER
        )
        if not is_valid:
            raise ValueError(f"values of {self.upstream_id[:64]} out of range")
        try:
            socket.inet_aton(self.ip)
        except OSError as error:
            raise ValueError(f"{self.ip[:64]!r} is no address") from error

    @property
    def key(self) -> StartKey:
        """Return the unique key of this start."""
        return (self.upstream_id, self.born_ms)

    @property
    def address(self) -> tuple[str, int]:
        """Return the address and port at which it receives packets."""
        return (self.ip, self.port)


@frozen(kw_only=True)
class Departure:
    """Report of an upstream that it leaves.

    Attributes:
        upstream_id: Identity of the upstream.
        born_ms: When the process that leaves started, None if the report doesn't say.
    """

    upstream_id: str
    born_ms: int | None = None

    def is_of_earlier_start(self, current: UpstreamStart) -> bool:
        """Return whether it speaks of a start before the given one."""
        return self.born_ms is not None and self.born_ms < current.born_ms

    def is_ambiguous(self, current: UpstreamStart) -> bool:
        """Return whether it may speak of the given start or of an earlier one.

        A start that is draining has announced that it leaves, and one without a time
        of birth is the only one of its identity.
        """
        is_told = self.born_ms is not None or not current.born_ms
        return not is_told and current.phase is Phase.READY


class StartTable:
    """The newest start of each upstream; the result doesn't depend on merge order.

    A start that is gone stays gone, even if a network partition delays one of its
    earlier announcements. An address belongs to the process that started last.
    """

    def __init__(self) -> None:
        self._newest: dict[str, UpstreamStart] = {}
        self._holders: dict[tuple[str, int], str] = {}

    def __iter__(self) -> Iterator[UpstreamStart]:
        return iter(list(self._newest.values()))

    def __len__(self) -> int:
        return len(self._newest)

    def get(self, upstream_id: str) -> UpstreamStart | None:
        """Return the newest start of an upstream."""
        return self._newest.get(upstream_id)

    def is_address_in_use(self, address: tuple[str, int]) -> bool:
        """Return whether a start that isn't gone has the address."""
        return address in self._holders

    def merge(self, start: UpstreamStart) -> list[UpstreamStart]:
        """Merge a record and return the records that changed.

        A start that another one replaces is returned as gone.
        """
        current = self._newest.get(start.upstream_id)
        if current is not None and not _supersedes(start, current):
            return []
        if current is None and len(self._newest) >= MAX_STARTS:
            return []
        changed = []
        if current is not None and current.born_ms != start.born_ms:
            self._release_address(current)
            if current.phase is not Phase.GONE:
                changed.append(evolve(current, phase=Phase.GONE))
        start, replaced = self._claim_address(start)
        if replaced is not None:
            changed.append(replaced)
        self._newest[start.upstream_id] = start
        changed.append(start)
        return changed

    def remove(self, upstream_id: str) -> None:
        """Remove an upstream, usually long after it is gone."""
        current = self._newest.pop(upstream_id, None)
        if current is not None:
            self._release_address(current)

    def _claim_address(
        self, start: UpstreamStart
    ) -> tuple[UpstreamStart, UpstreamStart | None]:
        """Assign the address to the start with the later birth; the other is gone.

        Returns:
            The start and, if it replaces another one at its address, that one.
        """
        if start.phase is Phase.GONE:
            self._release_address(start)
            return start, None
        holder = self._newest.get(self._holders.get(start.address, ""))
        if holder is None or holder.upstream_id == start.upstream_id:
            self._holders[start.address] = start.upstream_id
            return start, None
        younger = (start.born_ms, start.upstream_id)
        if younger < (holder.born_ms, holder.upstream_id):
            return evolve(start, phase=Phase.GONE), None
        self._holders[start.address] = start.upstream_id
        replaced = evolve(holder, phase=Phase.GONE)
        self._newest[holder.upstream_id] = replaced
        return start, replaced

    def _release_address(self, start: UpstreamStart) -> None:
        if self._holders.get(start.address) == start.upstream_id:
            del self._holders[start.address]


def _supersedes(start: UpstreamStart, current: UpstreamStart) -> bool:
    if start.born_ms != current.born_ms:
        return start.born_ms > current.born_ms
    if current.phase is Phase.GONE:
        return False
    return start.phase is Phase.GONE or start.sequence > current.sequence
