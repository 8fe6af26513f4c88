"""Detection of a freeze of this process."""

from collections.abc import Callable

import structlog

from ..clock import Clock

TICK_S = 0.25
# Longer than a pause of the garbage collector or a slow sync of a file.
FREEZE_THRESHOLD_S = 1.0

Listener = Callable[[float], None]

_log = structlog.get_logger()


class FreezeDetector:
    """Calls listeners after the time between two ticks exceeded a threshold.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._listeners: list[Listener] = []

    def on_freeze(self, listener: Listener) -> None:
        """Call ``listener`` after a freeze with its approximate length in seconds.

        Listeners must treat state that is valid for a limited time as expired.
        """
        self._listeners.append(listener)

    async def run(self) -> None:
        """Check for freezes until cancelled."""
        last_tick_s = self._clock.monotonic_s()
        while True:
            await self._clock.sleep(TICK_S)
            now_s = self._clock.monotonic_s()
            gap_s = now_s - last_tick_s
            last_tick_s = now_s
            if gap_s > FREEZE_THRESHOLD_S:
                _log.warning("process_was_frozen", gap_s=round(gap_s, 3))
                for listener in list(self._listeners):
                    listener(gap_s)
