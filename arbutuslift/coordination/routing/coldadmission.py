"""Admission of new flows to upstreams in cold start whose service has a limit."""

import random
from abc import ABC, abstractmethod

from ...clock import Clock
from ...state.starts import StartKey, UpstreamStart

# Fraction of a cold upstream's limit that is divided among the entry instances. The
# rest is for instances that the control instances don't count yet.
COLD_SHARED_FRACTION = 0.8
MAX_STARTS = 5000


class ColdAdmission(ABC):
    """Decides whether this instance may open a flow at a cold upstream now."""

    @abstractmethod
    def may_open(
        self, start: UpstreamStart, limit_per_s: float, entry_count: int
    ) -> bool:
        """Return whether a new flow may go to a start.

        Args:
            start: The start, which is cold.
            limit_per_s: Limit of new flows there, of all instances together.
            entry_count: Number of entry instances.
        """

    @abstractmethod
    def record_flow(self, key: StartKey) -> None:
        """Record a new flow at a start."""

    def is_pending(self, key: StartKey) -> bool:
        """Return whether the answer about a start may soon be another one."""
        del key
        return False


class EvenColdShares(ColdAdmission):
    """Divides the limit evenly, without asking anyone.

    The first flows of the instances are spread over one interval at random. Their sum
    stays within the limit on average only.

    Args:
        clock: Source of time.
        rng: Draws the time of the first flow.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._started_s = clock.monotonic_s()
        self._last_flow_s: dict[StartKey, float] = {}

    def may_open(
        self, start: UpstreamStart, limit_per_s: float, entry_count: int
    ) -> bool:
        """Return whether an interval has passed since the last flow there."""
        interval_s = entry_count / (COLD_SHARED_FRACTION * limit_per_s)
        now_s = self._clock.monotonic_s()
        if start.key not in self._last_flow_s:
            waited_s = self._rng.random() * interval_s
            first_s = self._started_s if entry_count == 1 else now_s - waited_s
            self._last_flow_s[start.key] = first_s
        return now_s - self._last_flow_s[start.key] >= interval_s

    def record_flow(self, key: StartKey) -> None:
        """Record a new flow at a start."""
        self._last_flow_s.pop(key, None)
        self._last_flow_s[key] = self._clock.monotonic_s()
        if len(self._last_flow_s) > MAX_STARTS:
            del self._last_flow_s[next(iter(self._last_flow_s))]
