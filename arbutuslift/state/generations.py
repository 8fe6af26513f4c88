"""Generations of a service: sets of upstreams that were eligible for new flows."""

from .table import Generation, SlotTable

RETENTION_S = 26 * 3600.0


class GenerationHistory:
    """The current slot table and the tables that open flows may stem from.

    Args:
        service: Name of the service.
    """

    def __init__(self, service: str) -> None:
        self._service = service
        self._tables: dict[Generation, SlotTable] = {}
        self._last_used_s: dict[Generation, float] = {}
        self.current = SlotTable(service, Generation(()))

    def use(self, generation: Generation, now_s: float) -> None:
        """Make a generation the current one."""
        previous = self.current.generation
        if previous in self._last_used_s:
            self._last_used_s[previous] = now_s
        self.add(generation, now_s)
        self.current = self._tables[generation]

    def add(self, generation: Generation, last_used_s: float) -> None:
        """Add a generation that another instance used."""
        if generation not in self._tables:
            self._tables[generation] = SlotTable(self._service, generation)
        known_s = self._last_used_s.get(generation, last_used_s)
        self._last_used_s[generation] = max(known_s, last_used_s)

    def expire(self, now_s: float) -> None:
        """Forget generations that were last used before the retention time."""
        for generation, last_used_s in list(self._last_used_s.items()):
            if generation == self.current.generation:
                continue
            if now_s - last_used_s > RETENTION_S:
                del self._last_used_s[generation]
                del self._tables[generation]

    def formers(self, slot: int) -> list[str]:
        """Return primaries of the slot in all generations, newest first."""
        newest_first = sorted(
            self._last_used_s, key=self._last_used_s.__getitem__, reverse=True
        )
        primaries = (
            self._tables[generation].primary(slot) for generation in newest_first
        )
        return list(dict.fromkeys(name for name in primaries if name))

    def generations(self) -> list[tuple[Generation, float]]:
        """Return every generation with the time of its last use."""
        return list(self._last_used_s.items())
