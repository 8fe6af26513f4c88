"""Time-out for an answer, from the round trips observed so far."""

# Gains of the moving averages and the factor of the deviation, RFC 6298 2.3.
ROUND_TRIP_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATION_FACTOR = 4
# A round trip in a region takes a few ms, and an operating system answers at once.
MIN_TIMEOUT_S = 0.1
# A caller waits for a second or two.
MAX_TIMEOUT_S = 1.0


class RetransmissionTimeout:
    """Estimates how long an answer may take on this instance's own path (RFC 6298).

    Args:
        minimum_s: Shortest time-out.
        maximum_s: Longest time-out.
        initial_s: Time-out before the first observation.

    Attributes:
        timeout_s: Time after which an answer counts as missing.
    """

    def __init__(
        self,
        minimum_s: float = MIN_TIMEOUT_S,
        maximum_s: float = MAX_TIMEOUT_S,
        initial_s: float = MIN_TIMEOUT_S,
    ) -> None:
        self.timeout_s = initial_s
        self._minimum_s = minimum_s
        self._maximum_s = maximum_s
        self._round_trip_s: float | None = None
        self._deviation_s = 0.0

    def observe(self, round_trip_s: float) -> None:
        """Add an observed round trip."""
        if self._round_trip_s is None:
            self._round_trip_s = round_trip_s
            self._deviation_s = round_trip_s / 2
        else:
            error_s = abs(self._round_trip_s - round_trip_s)
            self._deviation_s += DEVIATION_GAIN * (error_s - self._deviation_s)
            self._round_trip_s += ROUND_TRIP_GAIN * (round_trip_s - self._round_trip_s)
        estimate_s = self._round_trip_s + DEVIATION_FACTOR * self._deviation_s
        self.timeout_s = min(self._maximum_s, max(self._minimum_s, estimate_s))
