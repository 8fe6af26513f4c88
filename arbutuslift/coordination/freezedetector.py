"""Detection of a freeze of this process."""

from collections.abc import Callable

import structlog

from ..clock import Clock

TICK_S = 0.25
# Longer than a pause of the garbage collector or a slow sync of a file.
FREEZE_THRESHOLD_S = 1.0
# Time after a freeze in which messages that waited in sockets are still being read.
BACKLOG_S = 1.0

Listener = Callable[[float], None]

_log = structlog.get_logger()


class FreezeDetector:
    """Calls listeners after the time between two ticks exceeded a threshold.

    A suspended machine counts as a freeze, too.

    Args:
        clock: Source of time.
        threshold_s: Shorter times between ticks aren't a freeze.
    """

    def __init__(self, clock: Clock, threshold_s: float = FREEZE_THRESHOLD_S) -> None:
        self._clock = clock
        self._threshold_s = threshold_s
        self._listeners: list[Listener] = []
        self._last_tick_s = clock.boottime_s()
        self._frozen_since_s = self._resumed_s = float("-inf")

    def on_freeze(self, listener: Listener) -> None:
        """Call ``listener`` after a freeze with its approximate length in seconds.

        Listeners must treat state that is valid for a limited time as expired.
        """
        self._listeners.append(listener)

    def earliest_arrival_s(self) -> float:
        """Return since when a message that is read now may have waited in its socket.

        The time is that of ``Clock.boottime_s``.
        """
        now_s = self._clock.boottime_s()
        if now_s - self._last_tick_s > self._threshold_s:
            return self._last_tick_s
        if now_s - self._resumed_s < BACKLOG_S:
            return self._frozen_since_s
        return now_s

    async def run(self) -> None:
        """Check for freezes until cancelled."""
        self._last_tick_s = self._clock.boottime_s()
        while True:
            await self._clock.sleep(TICK_S)
            self._tick()

    def _tick(self) -> None:
        now_s = self._clock.boottime_s()
        gap_s = now_s - self._last_tick_s
        if gap_s > self._threshold_s:
            self._frozen_since_s = self._last_tick_s
            self._resumed_s = now_s
            _log.warning("process_was_frozen", gap_s=round(gap_s, 3))
        self._last_tick_s = now_s
        if gap_s > self._threshold_s:
            for listener in list(self._listeners):
                listener(gap_s)
