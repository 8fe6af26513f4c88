"""Histograms; an observation costs less than a microsecond."""

from bisect import bisect_left


class Histogram:
    """Counts of observations in buckets.

    Args:
        bounds: Upper bounds of the buckets in ascending order. Larger values fall into
            an additional bucket.

    Attributes:
        bounds: Upper bounds of the buckets.
        counts: Observations in each bucket; the last bucket has no upper bound.
        total: Sum of all observations.
    """

    __slots__ = ("bounds", "counts", "total")

    def __init__(self, bounds: tuple[float, ...]) -> None:
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.total = 0.0

    def observe(self, value: float) -> None:
        """Count one observation."""
        self.counts[bisect_left(self.bounds, value)] += 1
        self.total += value


def doubling_bounds(first: float, count: int) -> tuple[float, ...]:
    """Return bounds of which each is twice the previous one."""
    return tuple(first * 2**step for step in range(count))
