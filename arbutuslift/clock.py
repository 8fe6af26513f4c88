"""The system clock, and a clock that tests advance."""

import asyncio
import heapq
import itertools
import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """Source of time for all delays and expiry times."""

    @abstractmethod
    def monotonic_s(self) -> float:
        """Return the time in seconds of a clock that never goes backwards."""

    def boottime_s(self) -> float:
        """Return the time in seconds of a clock that includes time in suspend."""
        return self.monotonic_s()

    @abstractmethod
    def wall_s(self) -> float:
        """Return seconds since the Unix epoch."""

    @abstractmethod
    async def sleep(self, duration_s: float) -> None:
        """Wait for ``duration_s`` seconds."""


class SystemClock(Clock):
    """The machine's clock."""

    def monotonic_s(self) -> float:
        """Return ``time.monotonic()``."""
        return time.monotonic()

    def boottime_s(self) -> float:
        """Return ``CLOCK_BOOTTIME``."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_s(self) -> float:
        """Return ``time.time()``."""
        return time.time()

    async def sleep(self, duration_s: float) -> None:
        """Wait on the event loop."""
        await asyncio.sleep(duration_s)


class ManualClock(Clock):
    """Clock for tests; time moves only in :meth:`advance` and :meth:`jump`.

    Args:
        start_s: Initial monotonic and wall-clock time in seconds.
    """

    def __init__(self, start_s: float = 1000.0) -> None:
        self._now_s = start_s
        self._order = itertools.count()
        self._sleepers: list[tuple[float, int, asyncio.Future[None]]] = []

    def monotonic_s(self) -> float:
        """Return the current reading."""
        return self._now_s

    def wall_s(self) -> float:
        """Return the current reading."""
        return self._now_s

    async def sleep(self, duration_s: float) -> None:
        """Wait until the clock has been advanced by ``duration_s`` seconds."""
        future = asyncio.get_running_loop().create_future()
        entry = (self._now_s + max(0.0, duration_s), next(self._order), future)
        heapq.heappush(self._sleepers, entry)
        await future

    def jump(self, duration_s: float) -> None:
        """Advance the time without waking sleepers, as after a suspended process."""
        self._now_s += duration_s

    async def advance(self, duration_s: float) -> None:
        """Advance the time and wake every sleeper that becomes due, in order."""
        end_s = self._now_s + duration_s
        await self.run_ready_tasks()
        while self._sleepers and self._sleepers[0][0] <= end_s:
            due_s, _, future = heapq.heappop(self._sleepers)
            self._now_s = max(self._now_s, due_s)
            if not future.done():
                future.set_result(None)
            await self.run_ready_tasks()
        self._now_s = end_s

    @staticmethod
    async def run_ready_tasks(rounds: int = 30) -> None:
        """Let other tasks run until all of them wait for time to pass."""
        for _ in range(rounds):
            await asyncio.sleep(0)
