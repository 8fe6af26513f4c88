"""Limit on the bytes of control traffic."""

from ..clock import Clock

RATE_BYTES_S = 4096.0
BURST_BYTES = 4096.0
# Headers of TCP, IP and ZeroMQ and the sender's name. When they weren't counted, 150
# instances that started together sent 5.4 KB/s against the limit of 5 KB/s.
MESSAGE_OVERHEAD_BYTES = 80


class BandwidthLimiter:
    """Token bucket of bytes that counts the headers of each message as well.

    Args:
        clock: Source of time.
        rate_bytes_s: Bytes per second.
        burst_bytes: Bytes that may be sent at once.
    """

    def __init__(
        self,
        clock: Clock,
        rate_bytes_s: float = RATE_BYTES_S,
        burst_bytes: float = BURST_BYTES,
    ) -> None:
        self._clock = clock
        self._rate_bytes_s = rate_bytes_s
        self._burst_bytes = burst_bytes
        self._tokens = burst_bytes
        self._updated_s = clock.monotonic_s()

    def charge(self, size_bytes: int) -> None:
        """Take tokens for bytes that are sent in any case, below zero if needed.

        Later messages then wait longer.
        """
        self._refill()
        needed = size_bytes + MESSAGE_OVERHEAD_BYTES
        self._tokens = max(self._tokens - needed, -self._burst_bytes)

    def try_charge(self, size_bytes: int) -> bool:
        """Take tokens for the bytes if there are enough, and return whether."""
        self._refill()
        needed = size_bytes + MESSAGE_OVERHEAD_BYTES
        if self._tokens < min(needed, self._burst_bytes):
            return False
        self._tokens -= needed
        return True

    async def wait_and_charge(self, size_bytes: int) -> None:
        """Wait until there are enough tokens for the bytes, and take them."""
        while not self.try_charge(size_bytes):
            needed = size_bytes + MESSAGE_OVERHEAD_BYTES
            missing = min(needed, self._burst_bytes) - self._tokens
            # Without the added time, rounding could require another short sleep.
            await self._clock.sleep(missing / self._rate_bytes_s + 0.001)

    def _refill(self) -> None:
        now_s = self._clock.monotonic_s()
        refilled = (now_s - self._updated_s) * self._rate_bytes_s
        self._tokens = min(self._burst_bytes, self._tokens + refilled)
        self._updated_s = now_s
