"""Starts of upstreams: each run of an upstream's process, and how records merge."""

from collections.abc import Iterator
from enum import IntEnum

from attrs import evolve, frozen

# A flow lives for 60 s at most on today's platform; after twice that no packet can
# carry the tag of a start that is gone.
GONE_RETENTION_S = 120.0
MAX_STARTS = 50_000


class Phase(IntEnum):
    """Part of an upstream's life, in order."""

    READY = 0
    DRAINING = 1
    GONE = 2


@frozen(kw_only=True)
class UpstreamStart:
    """One run of an upstream's process.

    Attributes:
        upstream_id: Identity that the upstream gives itself; a restart may keep it.
        number: The identity as the number that names the upstream on its packets.
        born_ms: When the process started, in ms of the Unix epoch.
        service: Service that it belongs to.
        ip: Address for packets.
        port: Port for packets.
        data_centre: Where it runs.
        slots: Requests that it works on at the same time.
        phase: Part of its life.
        sequence: Number of the announcement that says so; it orders announcements of
            one start.
        warm_up_left_ms: How much longer it is in cold start, counted from the moment at
            which this record was sent.
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

    @property
    def key(self) -> tuple[str, int]:
        """Return what tells this start from every other one."""
        return (self.upstream_id, self.born_ms)

    @property
    def address(self) -> tuple[str, int]:
        """Return where it receives packets."""
        return (self.ip, self.port)


class StartTable:
    """The newest start of each upstream; any order of merges gives the same table.

    A start that is gone stays gone: an announcement that a partition held back can't
    bring it back. An address belongs to the process that started last.
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
        """Return whether a start that isn't gone has an address."""
        return address in self._holders

    def merge(self, start: UpstreamStart) -> list[UpstreamStart]:
        """Take a record in and return the records that changed.

        A start that another one replaces is returned as gone.
        """
        held = self._newest.get(start.upstream_id)
        if held is not None and not _supersedes(start, held):
            return []
        if held is None and len(self._newest) >= MAX_STARTS:
            return []
        changed = []
        if held is not None and held.born_ms != start.born_ms:
            self._release(held)
            if held.phase is not Phase.GONE:
                changed.append(evolve(held, phase=Phase.GONE))
        start, replaced = self._claim(start)
        if replaced is not None:
            changed.append(replaced)
        self._newest[start.upstream_id] = start
        changed.append(start)
        return changed

    def remove(self, upstream_id: str) -> None:
        """Forget an upstream, usually long after it is gone."""
        held = self._newest.pop(upstream_id, None)
        if held is not None:
            self._release(held)

    def _claim(
        self, start: UpstreamStart
    ) -> tuple[UpstreamStart, UpstreamStart | None]:
        """Give the address to the younger of two starts; the other one is gone."""
        if start.phase is Phase.GONE:
            self._release(start)
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

    def _release(self, start: UpstreamStart) -> None:
        if self._holders.get(start.address) == start.upstream_id:
            del self._holders[start.address]


def _supersedes(start: UpstreamStart, held: UpstreamStart) -> bool:
    if start.born_ms != held.born_ms:
        return start.born_ms > held.born_ms
    if held.phase is Phase.GONE:
        return False
    return start.phase is Phase.GONE or start.sequence > held.sequence
