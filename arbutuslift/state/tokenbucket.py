"""Token bucket rate limiter."""

from collections.abc import Callable


class TokenBucket:
    """Limits the mean rate and the size of bursts.

    Args:
        rate_per_s: Tokens added per second.
        burst: Capacity in tokens; the bucket is full at first.
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
        """Take ``count`` tokens and return True, or take none if there are fewer."""
        now_s = self._now_s()
        added = (now_s - self._filled_at_s) * self._rate_per_s
        self._tokens = min(self._burst, self._tokens + added)
        self._filled_at_s = now_s
        if self._tokens < count:
            return False
        self._tokens -= count
        return True
