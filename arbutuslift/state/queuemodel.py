"""Expected waits at upstreams that process several requests at the same time."""

from bisect import bisect_right
from collections.abc import Sequence
from functools import lru_cache
from math import sqrt

# Utilisations at which the model is computed; between them it is interpolated.
_POINTS = 200


class QueueModel:
    """Relates utilisation, waits and outstanding requests of upstreams.

    It is Sakasegawa's approximation of the M/M/k queue. Waits are in multiples of the
    time that a request takes without waiting.

    Args:
        slots: Requests that one upstream processes at the same time, at least 1.
    """

    def __init__(self, slots: int) -> None:
        exponent = sqrt(2 * (slots + 1)) - 1
        self._utilisations = [number / _POINTS for number in range(_POINTS)]
        self._waits = [
            point**exponent / (slots * (1 - point)) for point in self._utilisations
        ]
        self._outstanding = [
            point * (1 + wait)
            for point, wait in zip(self._utilisations, self._waits, strict=True)
        ]

    def wait_at(self, utilisation: float) -> float:
        """Return the wait at a utilisation; from 0.995 on it no longer grows."""
        return _interpolate(self._utilisations, self._waits, utilisation)

    def utilisation_at_wait(self, wait: float) -> float:
        """Return the utilisation at which requests wait for this time."""
        return _interpolate(self._waits, self._utilisations, wait)

    def utilisation_of(self, outstanding_per_slot: float) -> float:
        """Return the utilisation at which so many requests are outstanding."""
        return _interpolate(self._outstanding, self._utilisations, outstanding_per_slot)


@lru_cache(maxsize=64)
def queue_model(slots: int) -> QueueModel:
    """Return the model for upstreams with so many slots."""
    return QueueModel(max(1, slots))


def _interpolate(xs: Sequence[float], ys: Sequence[float], x: float) -> float:
    """Return y at x on the line through the points; xs and ys never decrease."""
    upper = bisect_right(xs, x)
    if upper == 0:
        return ys[0]
    if upper == len(xs):
        return ys[-1]
    part = (x - xs[upper - 1]) / (xs[upper] - xs[upper - 1])
    return ys[upper - 1] + part * (ys[upper] - ys[upper - 1])
