"""Sliding window log of events on a monotonic clock."""

from bisect import bisect_right
from collections import deque

from ..clock import Clock


class SlidingWindowLog:
    """Times of the events within the retention time.

    Spans are half-open, so that an event on the boundary of two adjoining spans counts
    in exactly one of them, and a limit on
    ``count_within(span_s)`` bounds the events of any span of that length.

    Args:
        clock: Source of time.
        retention_s: Longest span that can be counted.
    """

    def __init__(self, clock: Clock, retention_s: float) -> None:
        self._clock = clock
        self._retention_s = retention_s
        self._times_s: deque[float] = deque()

    def add(self) -> None:
        """Add an event now."""
        now_s = self._clock.monotonic_s()
        self._remove_expired(now_s)
        self._times_s.append(now_s)

    def clear(self) -> None:
        """Remove all events."""
        self._times_s.clear()

    def count_within(self, span_s: float) -> int:
        """Return the number of events in the last ``span_s`` seconds."""
        now_s = self._clock.monotonic_s()
        self._remove_expired(now_s)
        return len(self._times_s) - bisect_right(self._times_s, now_s - span_s)

    def _remove_expired(self, now_s: float) -> None:
        oldest_s = now_s - self._retention_s
        while self._times_s and self._times_s[0] <= oldest_s:
            self._times_s.popleft()
