"""Starts of upstreams as a control instance hears of them."""

from collections.abc import Callable
from enum import Enum

import structlog
from attrs import define, evolve, frozen

from ...clock import Clock
from ...histograms import Histogram, doubling_bounds
from ...protocol.feed import StartNews
from ...state.startdigests import StartDigests, bucket_of
from ...state.starts import GONE_RETENTION_S, Phase, StartTable, UpstreamStart

# Announcements that may be missed before an upstream counts as silent: two lost ones
# and a late third.
MISSED_ANNOUNCEMENTS = 3.5
# After this many intervals every running upstream has found a control instance.
SETTLING_ANNOUNCEMENTS = 6
# Reports of loss within this time count as one: every entry instance sends its own.
DOUBT_S = 2.0

_log = structlog.get_logger()


class Origin(Enum):
    """How this instance learned of a start."""

    ANNOUNCED = "announced"
    SHARED = "shared"


@define(kw_only=True)
class _Entry:
    """A start with what this instance knows of its announcements.

    Attributes:
        start: The newest record.
        heard_s: When it was last heard, here or at another control instance.
        cold_until_s: End of its cold start.
        is_silent: Whether its announcements have stopped.
        position: Position of its last change in the feed.
        doubted_s: When an entry instance last reported it lost.
    """

    start: UpstreamStart
    heard_s: float
    cold_until_s: float
    is_silent: bool = False
    position: int = 0
    doubted_s: float = float("-inf")


@define(kw_only=True)
class _Remembered:
    """A start that was known before this process began.

    Attributes:
        start: The record.
        position: Its position in the feed.
    """

    start: UpstreamStart
    position: int


@frozen(kw_only=True)
class Page:
    """A part of the feed.

    Attributes:
        news: Records in the order of their positions.
        position: Position after which the next part begins.
        is_last: Whether nothing is left now.
    """

    news: tuple[StartNews, ...]
    position: int
    is_last: bool


class StartRegistry:
    """Keeps the starts, their freshness and the order of changes.

    Args:
        clock: Source of time.
        interval_s: Time between two announcements of an upstream.
        on_change: Called after changes.

    Attributes:
        position: Number of the newest change.
        digests: What other control instances compare with theirs.
        announcement_gap_s: Time between two announcements of an upstream heard here,
            50 ms to 102 s.
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
        self._entries: dict[str, _Entry] = {}
        self._opened_s = clock.monotonic_s()
        self._unshared: dict[str, None] = {}
        self._heard: dict[str, None] = {}
        self._remembered: dict[str, _Remembered] = {}

    @property
    def is_settled(self) -> bool:
        """Return whether every running upstream had time to announce itself."""
        age_s = self._clock.monotonic_s() - self._opened_s
        return age_s >= SETTLING_ANNOUNCEMENTS * self._interval_s

    @property
    def has_unshared(self) -> bool:
        """Return whether something announced here waits to be shared."""
        return bool(self._unshared)

    def add_remembered(self, starts: tuple[UpstreamStart, ...]) -> None:
        """Keep starts that were known before this process began.

        They aren't part of the table: what they say may have changed since.
        """
        for start in starts:
            self.position += 1
            self._remembered[start.upstream_id] = _Remembered(
                start=start, position=self.position
            )

    def remembered(self) -> tuple[UpstreamStart, ...]:
        """Return remembered starts whose upstreams may still announce themselves."""
        return tuple(item.start for item in self._still_remembered())

    def starts_to_save(self) -> tuple[UpstreamStart, ...]:
        """Return the starts whose flows may go on after a restart of this process."""
        announced = tuple(
            entry.start
            for entry in self._entries.values()
            if entry.start.phase is not Phase.GONE and not entry.is_silent
        )
        return announced + self.remembered()

    def count_by_state(self) -> dict[str, int]:
        """Return how many starts are ready, draining, silent and remembered."""
        phases = [Phase.READY.name.lower(), Phase.DRAINING.name.lower()]
        states = dict.fromkeys((*phases, "silent"), 0)
        for entry in self._entries.values():
            if entry.start.phase is not Phase.GONE:
                states[entry.start.phase.name.lower()] += 1
                states["silent"] += entry.is_silent
        states["remembered"] = len(self.remembered())
        return states

    def announce(self, start: UpstreamStart) -> None:
        """Take in what an upstream says of itself."""
        self._heard[start.upstream_id] = None
        entry = self._entries.get(start.upstream_id)
        if entry is not None:
            self.announcement_gap_s.observe(self._clock.monotonic_s() - entry.heard_s)
        self._take(start, is_silent=False, origin=Origin.ANNOUNCED)

    def leave(self, upstream_id: str) -> None:
        """Take in that an upstream ends."""
        held = self._table.get(upstream_id)
        if held is not None:
            gone = evolve(held, phase=Phase.GONE)
            self._take(gone, is_silent=False, origin=Origin.ANNOUNCED)

    def record_loss_report(self, upstream_id: str, born_ms: int) -> None:
        """Pass on that an entry instance found a start lost."""
        entry = self._entries.get(upstream_id)
        now_s = self._clock.monotonic_s()
        if entry is None or entry.start.key != (upstream_id, born_ms):
            return
        if entry.start.phase is Phase.GONE or now_s - entry.doubted_s < DOUBT_S:
            return
        entry.doubted_s = now_s
        self._mark(entry)
        _log.info("upstream_doubted", upstream=upstream_id, born_ms=born_ms)
        self._on_change()

    def receive(self, news: tuple[StartNews, ...], heard: tuple[str, ...]) -> None:
        """Take in what another control instance sends."""
        for item in news:
            self._take(item.start, is_silent=item.is_silent, origin=Origin.SHARED)
        now_s = self._clock.monotonic_s()
        for upstream_id in heard:
            entry = self._entries.get(upstream_id)
            if entry is not None:
                entry.heard_s = now_s
                self._set_silent(entry, False)

    def check_silence(self) -> None:
        """Mark starts whose announcements have stopped, and forget old ones."""
        now_s = self._clock.monotonic_s()
        limit_s = MISSED_ANNOUNCEMENTS * self._interval_s
        for entry in list(self._entries.values()):
            silence_s = now_s - entry.heard_s
            if entry.start.phase is Phase.GONE:
                if silence_s > GONE_RETENTION_S:
                    self._forget(entry.start.upstream_id)
            elif silence_s > limit_s:
                self._set_silent(entry, True)

    def page_after(self, position: int, limit: int) -> Page:
        """Return the starts that changed after a position, the earliest ones first.

        Args:
            position: 0 for all starts; those that are gone are left out then.
            limit: Most records to return.
        """
        changed: list[_Entry | _Remembered] = [
            entry
            for entry in self._entries.values()
            if entry.position > position
            and (position > 0 or entry.start.phase is not Phase.GONE)
        ]
        changed.extend(i for i in self._still_remembered() if i.position > position)
        changed.sort(key=lambda item: item.position)
        is_last = len(changed) <= limit
        page = changed[:limit]
        return Page(
            news=tuple(self._news(item) for item in page),
            position=self.position if is_last else page[-1].position,
            is_last=is_last,
        )

    def starts_in_buckets(self, buckets: frozenset[int]) -> tuple[StartNews, ...]:
        """Return the starts in some buckets, those that are gone too."""
        return tuple(
            self._news(entry)
            for upstream_id, entry in self._entries.items()
            if bucket_of(upstream_id) in buckets
        )

    def pop_unshared(self) -> tuple[StartNews, ...]:
        """Return, once, what was announced here and changed something."""
        identities, self._unshared = self._unshared, {}
        entries = [self._entries.get(identity) for identity in identities]
        return tuple(self._news(entry) for entry in entries if entry is not None)

    def pop_announced(self) -> tuple[str, ...]:
        """Return, once, which upstreams announced themselves here."""
        heard, self._heard = self._heard, {}
        return tuple(heard)

    def _take(self, start: UpstreamStart, *, is_silent: bool, origin: Origin) -> None:
        changed = self._table.merge(start)
        now_s = self._clock.monotonic_s()
        if not changed:
            self._refresh(start, origin, now_s)
            return
        before = self.position
        for record in changed:
            self._store(record, origin, now_s)
        if self.position == before:
            return
        entry = self._entries[start.upstream_id]
        if is_silent and entry.position > before:
            entry.is_silent = True
        self._on_change()

    def _refresh(self, start: UpstreamStart, origin: Origin, now_s: float) -> None:
        entry = self._entries.get(start.upstream_id)
        if entry is None or origin is Origin.SHARED:
            return
        if start.key == entry.start.key and start.sequence >= entry.start.sequence:
            entry.heard_s = now_s
            self._set_silent(entry, False)

    def _store(self, start: UpstreamStart, origin: Origin, now_s: float) -> None:
        self.digests.put(start)
        entry = self._entries.get(start.upstream_id)
        if entry is not None and entry.start.key == start.key:
            material = entry.start.phase is not start.phase or entry.is_silent
            entry.start = start
            entry.heard_s = now_s
            entry.is_silent = False
            if not material:
                return
        else:
            entry = self._entries[start.upstream_id] = _Entry(
                start=start,
                heard_s=now_s,
                cold_until_s=now_s + start.warm_up_left_ms / 1000,
            )
        self._mark(entry)
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

    def _set_silent(self, entry: _Entry, is_silent: bool) -> None:
        if entry.is_silent == is_silent or entry.start.phase is Phase.GONE:
            return
        entry.is_silent = is_silent
        self._mark(entry)
        _log.info(
            "upstream_silent" if is_silent else "upstream_heard_again",
            upstream=entry.start.upstream_id,
            sequence=entry.start.sequence,
            silence_s=round(self._clock.monotonic_s() - entry.heard_s, 3),
        )
        self._on_change()

    def _mark(self, entry: _Entry) -> None:
        self.position += 1
        entry.position = self.position

    def _still_remembered(self) -> list[_Remembered]:
        if self.is_settled:
            return []
        remembered = self._remembered.items()
        return [item for name, item in remembered if self._table.get(name) is None]

    def _news(self, entry: _Entry | _Remembered) -> StartNews:
        if isinstance(entry, _Remembered):
            return StartNews(start=entry.start, is_silent=False, is_remembered=True)
        now_s = self._clock.monotonic_s()
        left_s = max(0.0, entry.cold_until_s - now_s)
        return StartNews(
            start=evolve(entry.start, warm_up_left_ms=int(left_s * 1000)),
            is_silent=entry.is_silent,
            is_doubted=now_s - entry.doubted_s < DOUBT_S,
        )

    def _forget(self, upstream_id: str) -> None:
        self._table.remove(upstream_id)
        self.digests.remove(upstream_id)
        del self._entries[upstream_id]
