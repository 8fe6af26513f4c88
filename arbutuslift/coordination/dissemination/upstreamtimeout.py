"""Marks upstreams as gone when their announcements time out."""

from collections import deque

from attrs import frozen

from ...clock import Clock
from ...state.upstreams import UpstreamRecord, UpstreamView
from .registrar import Registrar

TICK_S = 1.0
ANNOUNCEMENT_TIMEOUT_S = 5.0

# An upstream announces itself every second, and gossip adds up to a second. An upstream
# that is silent for longer counts as about to time out. Otherwise a failure of the
# receiving side would be noticed only after the first upstreams were marked as gone.
SILENCE_S = 2.0

# An upstream announces itself to two instances. If both fail together with it, the
# other instances mark it as gone after this time. The time exceeds the time in which
# two new receivers of its announcements propagate new sequence numbers by gossip.
INDIRECT_TIMEOUT_S = 60.0

FREEZE_GAP_S = 2.0


@frozen
class TimedOutUpstream:
    """An upstream that was marked as gone, and the monotonic time of that."""

    upstream_id: str
    marked_at_s: float


class UpstreamTimeoutDetector:
    """Detects upstreams of one data centre whose sequence numbers no longer grow.

    An upstream is silent since its sequence last grew in the view, whether by an
    announcement to this instance or by gossip. Only an instance to which the upstream
    announces itself marks it after the announcement time-out, since other instances
    can't distinguish a failed upstream from failed gossip. If more than half of the
    upstreams from which this instance normally receives updates would time out within
    one time-out, the instance is presumed to have a receive failure and marks none.
    Upstreams that gossip updates less often, as in a large data centre, aren't counted
    here.

    Attributes:
        is_suspended: Whether time-outs are suspended since too many upstreams are
            silent.

    Args:
        view: Records of upstreams.
        registrar: Records which upstreams announce themselves to this instance.
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
        self._recent_timeouts: deque[TimedOutUpstream] = deque()
        self._last_tick_s = clock.monotonic_s()
        self._timeout_base_s = self._last_tick_s
        self.is_suspended = False

    async def run(self) -> None:
        """Check for time-outs periodically until cancelled."""
        while True:
            await self._clock.sleep(TICK_S)
            self.tick()

    def tick(self) -> None:
        """Mark silent upstreams as gone, unless too many are silent."""
        now_s = self._clock.monotonic_s()
        # Announcements that were sent while this process was frozen are still queued or
        # were refused.
        if now_s - self._last_tick_s > FREEZE_GAP_S:
            self._timeout_base_s = now_s
        self._last_tick_s = now_s
        self._view.expire()
        alive = self._view.of_data_centre(self._data_centre)
        self._expire_recent_timeouts(now_s)
        self.is_suspended = self._are_too_many_silent(alive, now_s)
        if self.is_suspended:
            # Upstreams whose announcements resume one by one get a full time-out each.
            self._timeout_base_s = now_s
            return
        for record in alive:
            if self._has_timed_out(record, now_s):
                self._recent_timeouts.append(
                    TimedOutUpstream(record.upstream_id, now_s)
                )
                self._view.mark_timed_out(record.upstream_id)

    def _expire_recent_timeouts(self, now_s: float) -> None:
        # Upstreams that were marked when a receive failure began count until it ends.
        if self.is_suspended:
            return
        while (
            self._recent_timeouts
            and now_s - self._recent_timeouts[0].marked_at_s >= ANNOUNCEMENT_TIMEOUT_S
        ):
            self._recent_timeouts.popleft()

    def _are_too_many_silent(self, alive: list[UpstreamRecord], now_s: float) -> bool:
        timed_out = {timeout.upstream_id for timeout in self._recent_timeouts}
        timed_out -= {record.upstream_id for record in alive}
        expected = [r.upstream_id for r in alive if self._is_normally_received(r)]
        silent_count = sum(
            now_s - self._view.advanced_at_s(upstream_id) > SILENCE_S
            for upstream_id in expected
        )
        return 2 * (silent_count + len(timed_out)) > len(expected) + len(timed_out)

    def _is_normally_received(self, record: UpstreamRecord) -> bool:
        interval_s = self._view.advance_interval_s(record.upstream_id)
        received_at_s = self._registrar.received_at_s(record.upstream_id)
        return interval_s <= SILENCE_S or received_at_s is not None

    def _has_timed_out(self, record: UpstreamRecord, now_s: float) -> bool:
        advanced_at_s = self._view.advanced_at_s(record.upstream_id)
        silent_s = now_s - max(advanced_at_s, self._timeout_base_s)
        received_at_s = self._registrar.received_at_s(record.upstream_id)
        is_receiver = (
            received_at_s is not None and now_s - received_at_s < INDIRECT_TIMEOUT_S
        )
        return silent_s >= (
            ANNOUNCEMENT_TIMEOUT_S if is_receiver else INDIRECT_TIMEOUT_S
        )
