"""An entry instance's view of upstreams, merged from several control instances."""

from collections.abc import Iterable

import structlog
from attrs import define, evolve, field

from ...clock import Clock
from ...protocol.feed import StartNews
from ...state.flowtags import TagIndex, tag_of
from ...state.starts import GONE_RETENTION_S, Phase, StartTable, UpstreamStart
from .restoredstarts import RestoredStarts
from .trackedstart import TrackedStart

# The end of a cold start is known only to within a few hundred ms, because of the time
# that the record is in transit and the differences between timers.
COLD_MARGIN_S = 0.3

_PHASES = (Phase.READY.name.lower(), Phase.DRAINING.name.lower())

_log = structlog.get_logger()


@define
class _Source:
    """State that one control instance has sent.

    Attributes:
        is_settled: Whether it has received announcements of every running upstream.
        silent: Whether the announcements have stopped, by upstream.
    """

    is_settled: bool = False
    silent: dict[str, bool] = field(factory=dict)


class UpstreamDirectory:
    """Starts of upstreams by service and by flow tag.

    Args:
        clock: Source of time.
        may_use_restored_starts: Whether new flows may go to restored starts before an
            announcement or an answer confirms them.
    """

    def __init__(self, clock: Clock, *, may_use_restored_starts: bool = False) -> None:
        self._clock = clock
        self._may_use_restored_starts = may_use_restored_starts
        self._table = StartTable()
        self._tags: TagIndex[TrackedStart] = TagIndex()
        self._tracked: dict[tuple[str, int], TrackedStart] = {}
        self._restored = RestoredStarts()
        self._services: dict[str, list[TrackedStart]] = {}
        self._sources: dict[str, _Source] = {}

    def __len__(self) -> int:
        return sum(len(starts) for starts in self._services.values())

    def count_by_state(self) -> dict[str, int]:
        """Return how many starts are ready, draining, cold, silent, lost, remembered.

        One start can count in several states, such as lost and draining.
        """
        now_s = self._clock.monotonic_s()
        states = dict.fromkeys((*_PHASES, "cold", "silent", "lost", "remembered"), 0)
        for tracked in self._tracked.values():
            if tracked.is_gone:
                continue
            states[tracked.start.phase.name.lower()] += 1
            states["cold"] += tracked.cold_until_s > now_s
            states["silent"] += self.is_silent(tracked.start)
            states["lost"] += tracked.is_lost
            states["remembered"] += tracked.is_remembered
        return states

    def find(self, tag: int) -> TrackedStart | None:
        """Return the start with a flow tag."""
        return self._tags.find(tag)

    def find_by_key(self, key: tuple[str, int]) -> TrackedStart | None:
        """Return the start with a key."""
        return self._tracked.get(key)

    def successor_of(self, start: UpstreamStart) -> TrackedStart | None:
        """Return the start that followed under the same identity, None without one.

        It is of the same service and has the same address, so that packets for the
        former start reach it. One that is gone is no successor.
        """
        current = self._table.get(start.upstream_id)
        if current is None or current.born_ms <= start.born_ms:
            return None
        if (current.address, current.service) != (start.address, start.service):
            return None
        tracked = self._tracked.get(current.key)
        return tracked if tracked is not None and not tracked.is_gone else None

    def of_data_centre(self, data_centre: str) -> list[TrackedStart]:
        """Return the starts of a data centre that aren't gone, of all services."""
        return [
            tracked
            for tracked in self._tracked.values()
            if tracked.start.data_centre == data_centre and not tracked.is_gone
        ]

    def last_to_answer(
        self, other: TrackedStart, data_centre: str | None = None
    ) -> TrackedStart | None:
        """Return the start that answered last, not the given one; None without one.

        Args:
            other: Another start.
            data_centre: Data centre of the start; None for any.
        """
        answered = (
            tracked
            for tracked in self._tracked.values()
            if tracked.response_measured_s > 0.0
            and not tracked.is_gone
            and not tracked.is_lost
            and tracked is not other
            and data_centre in (None, tracked.start.data_centre)
        )
        return max(answered, key=lambda k: k.response_measured_s, default=None)

    def of_service(self, service: str) -> list[TrackedStart]:
        """Return the starts of a service that aren't gone.

        Restored starts that nothing has confirmed are included only if the directory
        may use them.
        """
        return self._services.get(service, [])

    def is_silent(self, start: UpstreamStart) -> bool:
        """Return whether no control instance receives its announcements."""
        reports = [
            source.silent.get(start.upstream_id, True)
            for source in self._sources.values()
            if source.is_settled or start.upstream_id in source.silent
        ]
        return bool(reports) and all(reports)

    def merge_feed_answer(
        self,
        source_name: str,
        records: Iterable[StartNews],
        *,
        is_first: bool,
        is_settled: bool,
    ) -> list[UpstreamStart]:
        """Merge an answer of a control instance and return the records that changed."""
        source = self._sources.setdefault(source_name, _Source())
        if is_first:
            source.silent.clear()
        source.is_settled = is_settled
        changed = []
        for item in records:
            if item.is_remembered:
                self._add_restored(item.start)
                continue
            source.silent[item.start.upstream_id] = item.is_silent
            for record in self._table.merge(item.start):
                self._store(record)
                changed.append(record)
        if is_settled:
            for tracked in self._restored:
                self._mark_gone(tracked)
        return changed

    def confirm(self, tracked: TrackedStart) -> None:
        """Make a restored start eligible for new flows after it answered a request."""
        tracked.is_remembered = False
        if not tracked.is_gone and self._tags.owns(tracked.start):
            self._add_to_service(tracked)
        _log.info(
            "upstream_confirmed",
            upstream=tracked.start.upstream_id,
            service=tracked.start.service,
            phase=tracked.start.phase.name.lower(),
            sequence=tracked.start.sequence,
        )

    def remove_source(self, source_name: str) -> None:
        """Drop the state from an unreachable control instance unless it is the last."""
        if len(self._sources) > 1:
            self._sources.pop(source_name, None)

    def expire(self) -> None:
        """Remove starts that have been gone for the retention time."""
        oldest_s = self._clock.monotonic_s() - GONE_RETENTION_S
        for key, tracked in list(self._tracked.items()):
            if tracked.is_gone and tracked.gone_since_s < oldest_s:
                self._remove(key, tracked)

    def _add_restored(self, start: UpstreamStart) -> None:
        """Add a start that a control instance has restored from disk.

        Packets of its flows are forwarded. Until an announcement or an answer to a
        request, another process may have its address, so that new flows there may get
        no answer. Whether it gets new flows before is a setting. Records from
        announcements take precedence over it.
        """
        is_known = self._table.get(start.upstream_id) or start.key in self._tracked
        if is_known or self._table.is_address_in_use(start.address):
            return
        conflicting = self._restored.conflicting_with(start)
        # Disks of control instances may differ, and an older start may come last.
        if any(
            _age_order(tracked.start) > _age_order(start) for tracked in conflicting
        ):
            return
        for tracked in conflicting:
            self._mark_gone(tracked)
        tracked = self._add_start(start)
        tracked.is_remembered = True
        self._restored.add(tracked)
        owns_tag = self._tags.put(start, tracked)
        if owns_tag and self._may_use_restored_starts and not self._is_any_settled():
            self._add_to_service(tracked)

    def _is_any_settled(self) -> bool:
        return any(source.is_settled for source in self._sources.values())

    def _add_start(self, start: UpstreamStart) -> TrackedStart:
        tracked = TrackedStart(start=start, tag=tag_of(start))
        self._set_cold(tracked, start)
        self._tracked[start.key] = tracked
        return tracked

    def _set_cold(self, tracked: TrackedStart, start: UpstreamStart) -> None:
        cold_s = start.warm_up_left_ms / 1000
        end_s = self._clock.monotonic_s() + cold_s + COLD_MARGIN_S
        tracked.cold_until_s = end_s if cold_s else 0.0

    def _store(self, start: UpstreamStart) -> None:
        if start.phase is not Phase.GONE:
            for conflicting in self._restored.conflicting_with(start):
                self._mark_gone(conflicting)
        tracked = self._tracked.get(start.key) or self._add_start(start)
        if self._restored.pop(start.key) is not None:
            tracked.is_remembered = False
        # An upstream may turn cold again without a new start.
        self._set_cold(tracked, start)
        tracked.start = start
        self._tags.put(start, tracked)
        if tracked.is_gone:
            self._remove_from_service(tracked)
        elif self._tags.owns(start):
            self._add_to_service(tracked)

    def _add_to_service(self, tracked: TrackedStart) -> None:
        starts = self._services.setdefault(tracked.start.service, [])
        if tracked not in starts:
            starts.append(tracked)

    def _remove_from_service(self, tracked: TrackedStart) -> None:
        tracked.gone_since_s = self._clock.monotonic_s()
        starts = self._services.get(tracked.start.service, [])
        if tracked in starts:
            starts.remove(tracked)

    def _mark_gone(self, tracked: TrackedStart) -> None:
        """Mark a restored start as gone."""
        self._restored.pop(tracked.start.key)
        tracked.start = evolve(tracked.start, phase=Phase.GONE)
        self._remove_from_service(tracked)

    def _remove(self, key: tuple[str, int], tracked: TrackedStart) -> None:
        del self._tracked[key]
        self._tags.remove(tracked.start)
        current = self._table.get(tracked.start.upstream_id)
        if current is not None and current.key == key:
            self._table.remove(tracked.start.upstream_id)


def _age_order(start: UpstreamStart) -> tuple[int, str]:
    """Return by what starts at one address are ordered, the youngest last."""
    return (start.born_ms, start.upstream_id)
