"""Token bucket."""

from collections.abc import Callable


class TokenBucket:
    """Allows a mean rate with a bounded burst.

    Args:
        rate_per_s: Tokens added per second.
        burst: Most tokens that it holds; it starts full.
        now_s: Returns the monotonic time in seconds.
    """

    def __init__(
        self, rate_per_s: float, burst: float, now_s: Callable[[], float]
    ) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._now_s = now_s
        self._tokens = burst
        self._filled_at_s = now_s()

    def take(self, count: int) -> bool:
        """Take ``count`` tokens; if there are fewer, take none."""
        now_s = self._now_s()
        added = (now_s - self._filled_at_s) * self._rate_per_s
        self._tokens = min(self._burst, self._tokens + added)
        self._filled_at_s = now_s
        if self._tokens < count:
            return False
        self._tokens -= count
        return True
