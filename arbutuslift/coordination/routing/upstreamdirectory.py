"""What an entry instance knows of upstreams, from several control instances."""

from collections.abc import Iterable

import structlog
from attrs import define, evolve, field

from ...clock import Clock
from ...protocol.feed import StartNews
from ...state.flowtags import TagIndex, tag_of
from ...state.starts import GONE_RETENTION_S, Phase, StartTable, UpstreamStart
from .rememberedstarts import RememberedStarts
from .trackedstart import TrackedStart

# The end of a cold start is known to a few hundred ms only: the record travels, and
# the clocks of timers differ.
COLD_MARGIN_S = 0.3

_PHASES = (Phase.READY.name.lower(), Phase.DRAINING.name.lower())

_log = structlog.get_logger()


@define
class _Source:
    """What one control instance says.

    Attributes:
        is_settled: Whether it has heard of every running upstream.
        silent: Whether the announcements have stopped, by upstream.
    """

    is_settled: bool = False
    silent: dict[str, bool] = field(factory=dict)


class UpstreamDirectory:
    """Starts of upstreams by service and by flow tag.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._table = StartTable()
        self._tags: TagIndex[TrackedStart] = TagIndex()
        self._known: dict[tuple[str, int], TrackedStart] = {}
        self._remembered = RememberedStarts()
        self._services: dict[str, list[TrackedStart]] = {}
        self._sources: dict[str, _Source] = {}

    def __len__(self) -> int:
        return sum(len(starts) for starts in self._services.values())

    def count_by_state(self) -> dict[str, int]:
        """Return how many starts are ready, draining, cold, silent, lost, remembered.

        One start can count in several states, as a lost one that drains.
        """
        now_s = self._clock.monotonic_s()
        states = dict.fromkeys((*_PHASES, "cold", "silent", "lost", "remembered"), 0)
        for known in self._known.values():
            if known.is_gone:
                continue
            states[known.start.phase.name.lower()] += 1
            states["cold"] += known.cold_until_s > now_s
            states["silent"] += self.is_silent(known.start)
            states["lost"] += known.is_lost
            states["remembered"] += known.is_remembered
        return states

    def find(self, tag: int) -> TrackedStart | None:
        """Return the start that a flow tag stands for."""
        return self._tags.find(tag)

    def find_by_key(self, key: tuple[str, int]) -> TrackedStart | None:
        """Return the start with a key."""
        return self._known.get(key)

    def of_service(self, service: str) -> list[TrackedStart]:
        """Return the starts that aren't gone."""
        return self._services.get(service, [])

    def is_silent(self, start: UpstreamStart) -> bool:
        """Return whether no control instance hears the upstream any more."""
        opinions = [
            source.silent.get(start.upstream_id, True)
            for source in self._sources.values()
            if source.is_settled or start.upstream_id in source.silent
        ]
        return bool(opinions) and all(opinions)

    def receive(
        self,
        source_name: str,
        news: Iterable[StartNews],
        *,
        is_first: bool,
        is_settled: bool,
    ) -> list[UpstreamStart]:
        """Take in an answer of a control instance; return the records that changed."""
        source = self._sources.setdefault(source_name, _Source())
        if is_first:
            source.silent.clear()
        source.is_settled = is_settled
        changed = []
        for item in news:
            if item.is_remembered:
                self._remember(item.start)
                continue
            source.silent[item.start.upstream_id] = item.is_silent
            for record in self._table.merge(item.start):
                self._store(record)
                changed.append(record)
        if is_settled:
            for known in self._remembered:
                self._end(known)
        return changed

    def confirm(self, known: TrackedStart) -> None:
        """Let a remembered start take new flows, since it has answered one."""
        known.is_remembered = False
        if not known.is_gone and self._tags.owns(known.start):
            self._list(known)
        _log.info(
            "upstream_confirmed",
            upstream=known.start.upstream_id,
            service=known.start.service,
            phase=known.start.phase.name.lower(),
            sequence=known.start.sequence,
        )

    def remove_source(self, source_name: str) -> None:
        """Drop the opinions of a control instance that can't be reached."""
        if len(self._sources) > 1:
            self._sources.pop(source_name, None)

    def expire(self) -> None:
        """Forget starts whose flows have all ended."""
        oldest_s = self._clock.monotonic_s() - GONE_RETENTION_S
        for key, known in list(self._known.items()):
            if known.is_gone and known.gone_since_s < oldest_s:
                self._forget(key, known)

    def _remember(self, start: UpstreamStart) -> None:
        """Take in a start that a control instance hasn't heard of since its own start.

        Packets of its flows are forwarded. It takes new flows only once it is heard of
        again or answers a flow: until then another process may have its address.
        Whatever contradicts it is right.
        """
        is_known = self._table.get(start.upstream_id) or start.key in self._known
        if is_known or self._table.is_address_in_use(start.address):
            return
        for known in self._remembered.conflicting_with(start):
            self._end(known)
        known = self._new(start)
        known.is_remembered = True
        self._remembered.add(known)
        self._tags.put(start, known)

    def _new(self, start: UpstreamStart) -> TrackedStart:
        known = TrackedStart(start=start, tag=tag_of(start))
        self._set_cold(known, start)
        self._known[start.key] = known
        return known

    def _set_cold(self, known: TrackedStart, start: UpstreamStart) -> None:
        cold_s = start.warm_up_left_ms / 1000
        end_s = self._clock.monotonic_s() + cold_s + COLD_MARGIN_S
        known.cold_until_s = end_s if cold_s else 0.0

    def _store(self, start: UpstreamStart) -> None:
        if start.phase is not Phase.GONE:
            for contradicted in self._remembered.conflicting_with(start):
                self._end(contradicted)
        known = self._known.get(start.key) or self._new(start)
        if self._remembered.pop(start.key) is not None:
            known.is_remembered = False
            self._set_cold(known, start)
        known.start = start
        self._tags.put(start, known)
        if known.is_gone:
            self._unlist(known)
        elif self._tags.owns(start):
            self._list(known)

    def _list(self, known: TrackedStart) -> None:
        listed = self._services.setdefault(known.start.service, [])
        if known not in listed:
            listed.append(known)

    def _unlist(self, known: TrackedStart) -> None:
        known.gone_since_s = self._clock.monotonic_s()
        listed = self._services.get(known.start.service, [])
        if known in listed:
            listed.remove(known)

    def _end(self, known: TrackedStart) -> None:
        """Let a remembered start count as gone."""
        self._remembered.pop(known.start.key)
        known.start = evolve(known.start, phase=Phase.GONE)
        self._unlist(known)

    def _forget(self, key: tuple[str, int], known: TrackedStart) -> None:
        del self._known[key]
        self._tags.remove(known.start)
        held = self._table.get(known.start.upstream_id)
        if held is not None and held.key == key:
            self._table.remove(known.start.upstream_id)
