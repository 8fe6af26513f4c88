"""Histograms whose observations cost less than a microsecond."""

from bisect import bisect_left


class Histogram:
    """Counts of observations by upper bound.

    Args:
        bounds: Upper bounds in rising order; larger values are counted too.

    Attributes:
        bounds: Upper bounds.
        counts: Observations in each bucket, the last one without a bound.
        total: Sum of all observations.
    """

    __slots__ = ("bounds", "counts", "total")

    def __init__(self, bounds: tuple[float, ...]) -> None:
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.total = 0.0

    def observe(self, value: float) -> None:
        """Count one value."""
        self.counts[bisect_left(self.bounds, value)] += 1
        self.total += value


def doubling_bounds(first: float, count: int) -> tuple[float, ...]:
    """Return bounds of which each is twice the one before."""
    return tuple(first * 2**step for step in range(count))
