"""Time in which an instance uses no share of a limit after a start or suspension."""

from ..clock import Clock
from .shares import MAX_PROPAGATION_S

# Span in which the new flows that a limit permits per second are counted.
RATE_WINDOW_S = 1.0
# Time between two ticks beyond which the process counts as suspended.
FREEZE_GAP_S = 1.0


class HoldDown:
    """Tells whether this instance has to leave its shares unused.

    Flows that the previous process admitted, or this one before it was suspended, may
    still count against a limit. After a longer suspension, or at a start without all
    revisions, other instances may use shares by a revision that is unknown here.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._has_plan = False
        self._last_active_s = clock.monotonic_s()
        self._end_s = self._last_active_s + RATE_WINDOW_S

    @property
    def is_active(self) -> bool:
        """Return whether shares are left unused now."""
        return self._clock.monotonic_s() < self._end_s

    def record_plan(self, *, is_settled: bool) -> None:
        """Extend the time if a revision is the first one here.

        Args:
            is_settled: Whether all instances are known to have it in effect.
        """
        if not self._has_plan and not is_settled:
            self._extend(MAX_PROPAGATION_S)
        self._has_plan = True

    def tick(self) -> None:
        """Extend the time if the process was suspended since the last tick."""
        now_s = self._clock.monotonic_s()
        gap_s, self._last_active_s = now_s - self._last_active_s, now_s
        if gap_s > MAX_PROPAGATION_S:
            # The other instances may have completed a transition to a revision that
            # this instance hasn't received yet.
            self._extend(MAX_PROPAGATION_S)
        elif gap_s > FREEZE_GAP_S:
            self._extend(RATE_WINDOW_S)

    def _extend(self, duration_s: float) -> None:
        self._end_s = max(self._end_s, self._clock.monotonic_s() + duration_s)
