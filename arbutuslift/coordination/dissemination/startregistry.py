"""Registry of the starts of upstreams on a control instance."""

from collections.abc import Callable

import structlog
from attrs import evolve

from ...clock import Clock
from ...histograms import Histogram, doubling_bounds
from ...protocol.feed import StartNews
from ...state.startdigests import StartDigests, bucket_of
from ...state.starts import (
    GONE_RETENTION_S,
    Departure,
    Phase,
    StartTable,
    UpstreamStart,
)
from .feedpages import FeedPage, first_page, page_in_order
from .startentries import Origin, RestoredStart, StartEntry

# Announcement intervals after which an upstream counts as silent. This tolerates two
# lost announcements and a late third one.
MISSED_ANNOUNCEMENTS = 3.5
# Announcement intervals within which every running upstream finds a control instance.
SETTLING_ANNOUNCEMENTS = 6
# Loss reports within this time count as one, since every entry instance sends its own.
LOSS_REPORT_WINDOW_S = 2.0
# Remaining times of one cold start in two announcements differ by their transit times.
# Entry instances add as much to the end of a cold start.
COLD_TOLERANCE_S = 0.3

_log = structlog.get_logger()


class StartRegistry:
    """Holds the starts, when they were last announced and the order of their changes.

    Args:
        clock: Source of time.
        interval_s: Time between two announcements of an upstream.
        on_change: Called after changes.

    Attributes:
        position: Position of the newest change.
        digests: Digests that other control instances compare with theirs.
        announcement_gap_s: Time between two announcements of an upstream to this
            instance, 50 ms to 102 s.
    """

    def __init__(
        self, clock: Clock, interval_s: float, on_change: Callable[[], None]
    ) -> None:
        self.position = 0
        self.announcement_gap_s = Histogram(doubling_bounds(0.05, 12))
        self._clock = clock
        self._interval_s = interval_s
        self._on_change = on_change
        self._table = StartTable()
        self.digests = StartDigests()
        self._entries: dict[str, StartEntry] = {}
        self._created_s = clock.monotonic_s()
        self._unshared: dict[str, None] = {}
        self._announced: dict[str, None] = {}
        self._restored: dict[str, RestoredStart] = {}

    @property
    def is_settled(self) -> bool:
        """Return whether every running upstream has had time to announce itself."""
        age_s = self._clock.monotonic_s() - self._created_s
        return age_s >= SETTLING_ANNOUNCEMENTS * self._interval_s

    @property
    def has_unshared(self) -> bool:
        """Return whether an announced change is still to be sent to other controls."""
        return bool(self._unshared)

    def add_restored(self, starts: tuple[UpstreamStart, ...]) -> None:
        """Add starts that a previous process saved.

        They aren't added to the table, since they may have changed in the meantime.
        """
        for start in starts:
            self.position += 1
            self._restored[start.upstream_id] = RestoredStart(
                start=start, position=self.position
            )

    def restored(self) -> tuple[UpstreamStart, ...]:
        """Return restored starts that may still be confirmed by an announcement."""
        return tuple(item.start for item in self._unconfirmed_restored())

    def starts_to_save(self) -> tuple[UpstreamStart, ...]:
        """Return the starts whose flows may continue after a restart."""
        announced = tuple(
            entry.start
            for entry in self._entries.values()
            if entry.start.phase is not Phase.GONE and not entry.is_silent
        )
        return announced + self.restored()

    def find(self, upstream_id: str) -> UpstreamStart | None:
        """Return the newest start of an upstream, None if none was announced."""
        entry = self._entries.get(upstream_id)
        return entry.start if entry is not None else None

    def _known_start(self, upstream_id: str) -> UpstreamStart | None:
        """Return the newest start of an upstream, announced or restored."""
        current = self._table.get(upstream_id)
        if current is not None or upstream_id not in self._restored:
            return current
        return self._restored[upstream_id].start

    def ready_starts(self) -> list[UpstreamStart]:
        """Return the starts that accept new flows and announce themselves."""
        return [
            entry.start
            for entry in self._entries.values()
            if entry.start.phase is Phase.READY and not entry.is_silent
        ]

    def count_by_state(self) -> dict[str, int]:
        """Return the numbers of ready, draining, silent and restored starts."""
        phases = [Phase.READY.name.lower(), Phase.DRAINING.name.lower()]
        states = dict.fromkeys((*phases, "silent"), 0)
        for entry in self._entries.values():
            if entry.start.phase is not Phase.GONE:
                states[entry.start.phase.name.lower()] += 1
                states["silent"] += entry.is_silent
        states["remembered"] = len(self.restored())
        return states

    def announce(
        self, start: UpstreamStart, *, sent_after_s: float | None = None
    ) -> None:
        """Record an announcement of an upstream.

        Args:
            start: The record.
            sent_after_s: When it was sent, at the earliest, on the monotonic clock;
                None if it was just sent.
        """
        self._announced[start.upstream_id] = None
        entry = self._entries.get(start.upstream_id)
        if entry is not None:
            self.announcement_gap_s.observe(
                self._clock.monotonic_s() - entry.last_contact_s
            )
        self._merge(start, is_silent=False, origin=Origin.ANNOUNCED)
        if start.upstream_id in self._entries:
            now_s = self._clock.monotonic_s()
            sent_s = now_s if sent_after_s is None else sent_after_s
            self._entries[start.upstream_id].record_report(start, now_s, sent_s)

    def warm_reports(
        self, data_centre: str, sent_after_s: float
    ) -> list[tuple[float, str]]:
        """Return when upstreams last reported to this instance that they are warm.

        Args:
            data_centre: Their data centre.
            sent_after_s: Only reports that were sent later than this are returned.

        Returns:
            Time of reading on the monotonic clock and identity, oldest first.
        """
        return sorted(
            (entry.warm_report_s, upstream_id)
            for upstream_id, entry in self._entries.items()
            if entry.start.data_centre == data_centre
            and entry.is_warm_by_report_after(sent_after_s)
        )

    def leave(self, departure: Departure) -> bool:
        """Record that a start of an upstream leaves.

        Returns:
            Whether the start is gone. It isn't if the report may speak of an earlier
            one, which a partition has delayed.
        """
        current = self._known_start(departure.upstream_id)
        if current is None or departure.is_of_earlier_start(current):
            return True
        if departure.is_ambiguous(current):
            return False
        born_ms = departure.born_ms or current.born_ms
        gone = evolve(current, born_ms=born_ms, phase=Phase.GONE)
        self._merge(gone, is_silent=False, origin=Origin.ANNOUNCED)
        return True

    def record_loss_report(self, upstream_id: str, born_ms: int) -> None:
        """Record a loss report of an entry instance and add it to the feed."""
        entry = self._entries.get(upstream_id)
        now_s = self._clock.monotonic_s()
        if entry is None or entry.start.key != (upstream_id, born_ms):
            return
        if (
            entry.start.phase is Phase.GONE
            or now_s - entry.loss_reported_s < LOSS_REPORT_WINDOW_S
        ):
            return
        entry.loss_reported_s = now_s
        self._record_change(entry)
        _log.info("upstream_doubted", upstream=upstream_id, born_ms=born_ms)
        self._on_change()

    def receive(
        self, starts: tuple[StartNews, ...], announced_ids: tuple[str, ...]
    ) -> None:
        """Merge an update of another control instance.

        Args:
            starts: Changed starts.
            announced_ids: Upstreams that announced themselves to the other instance.
        """
        for item in starts:
            self._merge(item.start, is_silent=item.is_silent, origin=Origin.SHARED)
        now_s = self._clock.monotonic_s()
        for upstream_id in announced_ids:
            entry = self._entries.get(upstream_id)
            if entry is not None:
                entry.last_contact_s = now_s
                self._set_silent(entry, False)

    def check_silence(self) -> None:
        """Mark starts whose announcements have stopped, and remove expired ones."""
        now_s = self._clock.monotonic_s()
        limit_s = MISSED_ANNOUNCEMENTS * self._interval_s
        for entry in list(self._entries.values()):
            silence_s = now_s - entry.last_contact_s
            if entry.start.phase is Phase.GONE:
                if silence_s > GONE_RETENTION_S:
                    self._remove(entry.start.upstream_id)
            elif silence_s > limit_s:
                self._set_silent(entry, True)

    def page_after(self, position: int, limit: int) -> FeedPage:
        """Return the starts that changed after a position, in order of change.

        Args:
            position: Position of the last known change; 0 requests all starts that
                aren't gone.
            limit: Maximum number of records.
        """
        changed = self._changed_after(position)
        return page_in_order(changed, limit, self.position, self._to_news)

    def first_page(self, data_centre: str, limit: int) -> FeedPage:
        """Return starts that aren't gone, those of the data centre first."""
        starts = self._changed_after(0)
        return first_page(starts, data_centre, limit, self.position, self._to_news)

    def starts_in_buckets(self, buckets: frozenset[int]) -> tuple[StartNews, ...]:
        """Return the starts of some digest buckets, including those that are gone."""
        return tuple(
            self._to_news(entry)
            for upstream_id, entry in self._entries.items()
            if bucket_of(upstream_id) in buckets
        )

    def pop_unshared(self) -> tuple[StartNews, ...]:
        """Remove and return the announced changes that are still to be shared."""
        upstream_ids, self._unshared = self._unshared, {}
        entries = [self._entries.get(upstream_id) for upstream_id in upstream_ids]
        return tuple(self._to_news(entry) for entry in entries if entry is not None)

    def pop_announced(self) -> tuple[str, ...]:
        """Return the upstreams that announced themselves since the last call."""
        announced_ids, self._announced = self._announced, {}
        return tuple(announced_ids)

    def _merge(self, start: UpstreamStart, *, is_silent: bool, origin: Origin) -> None:
        changed = self._table.merge(start)
        now_s = self._clock.monotonic_s()
        if not changed:
            self._refresh(start, origin, now_s)
            return
        previous_position = self.position
        for record in changed:
            self._store(record, origin, now_s)
        if self.position == previous_position:
            return
        entry = self._entries[start.upstream_id]
        if is_silent and entry.position > previous_position:
            entry.is_silent = True
        self._on_change()

    def _refresh(self, start: UpstreamStart, origin: Origin, now_s: float) -> None:
        entry = self._entries.get(start.upstream_id)
        if entry is None or origin is Origin.SHARED:
            return
        if start.key == entry.start.key and start.sequence >= entry.start.sequence:
            entry.last_contact_s = now_s
            self._set_silent(entry, False)

    def _store(self, start: UpstreamStart, origin: Origin, now_s: float) -> None:
        self.digests.put(start)
        entry = self._entries.get(start.upstream_id)
        if entry is not None and entry.start.key == start.key:
            is_cold_changed = self._update_cold_start(entry, start, now_s)
            is_phase_changed = entry.start.phase is not start.phase
            is_material = is_cold_changed or is_phase_changed or entry.is_silent
            entry.start = start
            entry.last_contact_s = now_s
            entry.is_silent = False
            if not is_material:
                # Repeated, since digests don't find a lost change of a cold start.
                if start.warm_up_left_ms and origin is Origin.ANNOUNCED:
                    self._unshared[start.upstream_id] = None
                return
        else:
            entry = self._entries[start.upstream_id] = StartEntry(
                start=start,
                last_contact_s=now_s,
                cold_until_s=now_s + start.warm_up_left_ms / 1000,
            )
        self._record_change(entry)
        if origin is Origin.ANNOUNCED:
            self._unshared[start.upstream_id] = None
        _log.info(
            "upstream_changed",
            upstream=start.upstream_id,
            service=start.service,
            phase=start.phase.name.lower(),
            born_ms=start.born_ms,
            sequence=start.sequence,
            warm_up_left_ms=start.warm_up_left_ms,
            data_centre=start.data_centre,
            origin=origin.value,
        )

    def _update_cold_start(
        self, entry: StartEntry, start: UpstreamStart, now_s: float
    ) -> bool:
        """Take over when a cold start ends; return whether that has changed.

        An upstream may turn cold again without a new start, such as while its data
        centre is out of service.
        """
        known_left_s = max(0.0, entry.cold_until_s - now_s)
        left_s = start.warm_up_left_ms / 1000
        if abs(left_s - known_left_s) <= COLD_TOLERANCE_S:
            return False
        entry.cold_until_s = now_s + left_s
        return True

    def _set_silent(self, entry: StartEntry, is_silent: bool) -> None:
        if entry.is_silent == is_silent or entry.start.phase is Phase.GONE:
            return
        entry.is_silent = is_silent
        self._record_change(entry)
        _log.info(
            "upstream_silent" if is_silent else "upstream_heard_again",
            upstream=entry.start.upstream_id,
            sequence=entry.start.sequence,
            silence_s=round(self._clock.monotonic_s() - entry.last_contact_s, 3),
        )
        self._on_change()

    def _record_change(self, entry: StartEntry) -> None:
        self.position += 1
        entry.position = self.position

    def _changed_after(self, position: int) -> list[StartEntry | RestoredStart]:
        changed: list[StartEntry | RestoredStart] = [
            entry
            for entry in self._entries.values()
            if entry.position > position
            and (position != 0 or entry.start.phase is not Phase.GONE)
        ]
        changed.extend(i for i in self._unconfirmed_restored() if i.position > position)
        return changed

    def _unconfirmed_restored(self) -> list[RestoredStart]:
        if self.is_settled:
            return []
        restored = self._restored.items()
        return [item for name, item in restored if self._table.get(name) is None]

    def _to_news(self, entry: StartEntry | RestoredStart) -> StartNews:
        if isinstance(entry, RestoredStart):
            return StartNews(start=entry.start, is_silent=False, is_remembered=True)
        now_s = self._clock.monotonic_s()
        remaining_s = max(0.0, entry.cold_until_s - now_s)
        return StartNews(
            start=evolve(entry.start, warm_up_left_ms=int(remaining_s * 1000)),
            is_silent=entry.is_silent,
            is_doubted=now_s - entry.loss_reported_s < LOSS_REPORT_WINDOW_S,
        )

    def _remove(self, upstream_id: str) -> None:
        self._table.remove(upstream_id)
        self.digests.remove(upstream_id)
        del self._entries[upstream_id]
