"""Marks upstreams gone that no longer announce themselves."""

from collections import deque

from attrs import frozen

from ...clock import Clock
from ...state.upstreams import UpstreamRecord, UpstreamView
from .registrar import Registrar

TICK_S = 1.0
ANNOUNCEMENT_TIMEOUT_S = 5.0

# An upstream announces itself every second, and gossip takes up to a second more.
# One that is silent for longer is counted as about to lapse, or a failure of the
# receiving side would show only after the first upstreams were marked gone.
SUSPECT_S = 2.0

# An upstream announces itself to two instances. If both die with it, the others
# mark it gone after this time. It exceeds the time in which a fresh pair of hearers
# spreads new sequence numbers by gossip.
INDIRECT_TIMEOUT_S = 60.0

FREEZE_GAP_S = 2.0


@frozen
class LapseMark:
    """An upstream that was marked gone at a monotonic time."""

    upstream_id: str
    marked_at_s: float


class UpstreamTimeoutDetector:
    """Watches the sequence numbers of the upstreams of one data centre.

    An upstream counts as silent from the last time its sequence grew in the view,
    whether by an announcement to this instance or by gossip. Only an instance to
    which the upstream announces itself marks it after the lapse time, since at others
    a failure of gossip looks the same. If more than half of the upstreams that this
    instance normally hears would lapse within one lapse time, it is presumed unable
    to hear them and marks none. Upstreams of which gossip brings news less often,
    as in a large data centre, don't count for or against that.

    Args:
        view: Records of upstreams.
        registrar: Knows which upstreams announce themselves here.
        clock: Source of time.
        data_centre: Name of this instance's data centre.
    """

    def __init__(
        self,
        view: UpstreamView,
        registrar: Registrar,
        clock: Clock,
        data_centre: str,
    ) -> None:
        self._view = view
        self._registrar = registrar
        self._clock = clock
        self._data_centre = data_centre
        self._marks: deque[LapseMark] = deque()
        self._last_tick_s = clock.monotonic_s()
        self._silent_from_s = self._last_tick_s
        self.is_suspended = False

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            await self._clock.sleep(TICK_S)
            self.tick()

    def tick(self) -> None:
        """Mark silent upstreams gone, unless too many are silent."""
        now_s = self._clock.monotonic_s()
        # Announcements sent during a freeze are still queued or were refused.
        if now_s - self._last_tick_s > FREEZE_GAP_S:
            self._silent_from_s = now_s
        self._last_tick_s = now_s
        self._view.expire()
        alive = self._view.of_data_centre(self._data_centre)
        self._drop_old_marks(now_s)
        self.is_suspended = self._are_too_many_silent(alive, now_s)
        if self.is_suspended:
            # Upstreams that are heard again one by one get a full lapse time.
            self._silent_from_s = now_s
            return
        for record in alive:
            if self._has_lapsed(record, now_s):
                self._marks.append(LapseMark(record.upstream_id, now_s))
                self._view.mark_timed_out(record.upstream_id)

    def _drop_old_marks(self, now_s: float) -> None:
        # Upstreams marked at the start of a failure count for as long as it lasts.
        if self.is_suspended:
            return
        while (
            self._marks and now_s - self._marks[0].marked_at_s >= ANNOUNCEMENT_TIMEOUT_S
        ):
            self._marks.popleft()

    def _are_too_many_silent(self, alive: list[UpstreamRecord], now_s: float) -> bool:
        lapsed = {mark.upstream_id for mark in self._marks}
        lapsed -= {record.upstream_id for record in alive}
        expected = [r.upstream_id for r in alive if self._is_normally_heard(r)]
        silent = sum(
            now_s - self._view.advanced_at_s(upstream_id) > SUSPECT_S
            for upstream_id in expected
        )
        return 2 * (silent + len(lapsed)) > len(expected) + len(lapsed)

    def _is_normally_heard(self, record: UpstreamRecord) -> bool:
        interval_s = self._view.advance_interval_s(record.upstream_id)
        received_at_s = self._registrar.received_at_s(record.upstream_id)
        return interval_s <= SUSPECT_S or received_at_s is not None

    def _has_lapsed(self, record: UpstreamRecord, now_s: float) -> bool:
        advanced_at_s = self._view.advanced_at_s(record.upstream_id)
        silent_s = now_s - max(advanced_at_s, self._silent_from_s)
        received_at_s = self._registrar.received_at_s(record.upstream_id)
        is_hearer = (
            received_at_s is not None and now_s - received_at_s < INDIRECT_TIMEOUT_S
        )
        return silent_s >= (ANNOUNCEMENT_TIMEOUT_S if is_hearer else INDIRECT_TIMEOUT_S)
