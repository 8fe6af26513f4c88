"""Generations of a service: sets of upstreams that were eligible for new flows."""

from collections.abc import Iterator

from attrs import frozen

from .hashing import hash_64
from .registers import record_key, record_version
from .slottable import Generation, SlotTable, WeightedUpstream

RETENTION_S = 26 * 3600.0
# Each generation costs 4 KB for its table and one look-up for each packet of an
# unknown flow. A service of 8 upstreams that all restart once a day produces 16.
MAX_GENERATIONS = 32
VERSION_STEP_S = 3600.0


@frozen(kw_only=True)
class GenerationRecord:
    """A generation as instances exchange it by gossip.

    Attributes:
        service: Name of the service.
        members: The upstreams, sorted by identity.
        last_used_at_s: Time of the last use, in seconds since the Unix epoch.
        covers_every_slot: Whether each member may hold flows of any slot, because its
            generation was evicted at the bound on generations.
    """

    service: str
    members: tuple[WeightedUpstream, ...]
    last_used_at_s: float
    covers_every_slot: bool = False


@record_key.register
def _(record: GenerationRecord) -> str:
    members = repr(record.members).encode()
    flag = b"every slot" if record.covers_every_slot else b""
    return f"{record.service} {hash_64(members, flag):016x}"


@record_version.register
def _(record: GenerationRecord) -> int:
    # The time of the last use grows steadily. A precision of 1 hour is sufficient for
    # a retention time of 26 hours.
    return hash_64(str(int(record.last_used_at_s // VERSION_STEP_S)).encode())


class GenerationHistory:
    """Slot tables by which open flows may be assigned: the current and previous ones.

    Times are seconds since the Unix epoch, because instances exchange them. Beyond
    ``max_generations`` the oldest table is evicted, and its members remain candidates
    for every slot until the retention time has passed. This costs copies of packets
    but loses no flow.

    Args:
        service: Name of the service.
        max_generations: Maximum number of tables.
    """

    def __init__(self, service: str, max_generations: int = MAX_GENERATIONS) -> None:
        self._service = service
        self._max_generations = max_generations
        self._tables: dict[Generation, SlotTable] = {}
        self._last_used_s: dict[Generation, float] = {}
        self._newest_first: list[SlotTable] = []
        self._every_slot: dict[str, float] = {}
        self.current = SlotTable(service, Generation(()))

    def set_current(self, generation: Generation, now_s: float) -> bool:
        """Make a generation the current one.

        Returns:
            Whether the generation was unknown.
        """
        is_new = generation not in self._tables
        previous = self.current.generation
        if previous in self._last_used_s:
            self._last_used_s[previous] = now_s
        self.current = self._tables.get(generation) or SlotTable(
            self._service, generation
        )
        if generation.members:
            self._tables[generation] = self.current
            self._last_used_s[generation] = now_s
        self._evict_oldest()
        return is_new

    def merge(self, record: GenerationRecord, now_s: float) -> bool:
        """Merge a generation that another instance used.

        A time in the future is replaced by the current time, so that a wrong clock
        can't extend the retention of a generation.

        Returns:
            Whether the history changed.
        """
        last_used_s = min(record.last_used_at_s, now_s)
        is_valid = record.members and all(m.weight > 0 for m in record.members)
        if now_s - last_used_s > RETENTION_S or not is_valid:
            return False
        generation = Generation.of(list(record.members))
        if record.covers_every_slot:
            return self._cover_every_slot(generation, last_used_s)
        known_s = self._last_used_s.get(generation)
        if known_s is not None:
            self._last_used_s[generation] = max(known_s, last_used_s)
            return last_used_s > known_s
        if self._is_covered(generation, last_used_s):
            return False
        self._tables[generation] = SlotTable(self._service, generation)
        self._last_used_s[generation] = last_used_s
        self._evict_oldest()
        return True

    def expire(self, now_s: float) -> None:
        """Remove generations that were last used before the retention time."""
        for generation, last_used_s in list(self._last_used_s.items()):
            if generation == self.current.generation:
                continue
            if now_s - last_used_s > RETENTION_S:
                self._remove(generation)
        self._every_slot = {
            upstream_id: last_used_s
            for upstream_id, last_used_s in self._every_slot.items()
            if now_s - last_used_s <= RETENTION_S
        }
        self._update_order()

    def tables(self) -> list[SlotTable]:
        """Return the tables of all generations, the current one first."""
        return self._newest_first

    def every_slot_upstreams(self) -> Iterator[str]:
        """Yield the upstreams that may hold flows of any slot."""
        return iter(self._every_slot)

    def records(self, now_s: float) -> list[GenerationRecord]:
        """Return all generations; the last use of the current one is ``now_s``."""
        if self.current.generation in self._last_used_s:
            self._last_used_s[self.current.generation] = now_s
        records = [
            GenerationRecord(
                service=self._service,
                members=generation.members,
                last_used_at_s=last_used_s,
            )
            for generation, last_used_s in self._last_used_s.items()
        ]
        return records + self._every_slot_records()

    def _every_slot_records(self) -> list[GenerationRecord]:
        return [
            GenerationRecord(
                service=self._service,
                members=(WeightedUpstream(upstream_id, 1),),
                last_used_at_s=last_used_s,
                covers_every_slot=True,
            )
            for upstream_id, last_used_s in self._every_slot.items()
        ]

    def _is_covered(self, generation: Generation, last_used_s: float) -> bool:
        return all(
            self._every_slot.get(member.upstream_id, -1.0) >= last_used_s
            for member in generation.members
        )

    def _cover_every_slot(self, generation: Generation, last_used_s: float) -> bool:
        if self._is_covered(generation, last_used_s):
            return False
        for member in generation.members:
            known_s = self._every_slot.get(member.upstream_id, last_used_s)
            self._every_slot[member.upstream_id] = max(known_s, last_used_s)
        return True

    def _evict_oldest(self) -> None:
        while len(self._tables) > self._max_generations:
            previous = (g for g in self._tables if g != self.current.generation)
            oldest = min(previous, key=self._last_used_s.__getitem__)
            self._cover_every_slot(oldest, self._last_used_s[oldest])
            self._remove(oldest)
        self._update_order()

    def _remove(self, generation: Generation) -> None:
        del self._tables[generation]
        del self._last_used_s[generation]

    def _update_order(self) -> None:
        previous = [g for g in self._tables if g != self.current.generation]
        previous.sort(key=self._last_used_s.__getitem__, reverse=True)
        tables = [self._tables[generation] for generation in previous]
        self._newest_first = [self.current, *tables]
