"""Choice of an upstream by the load of all instances."""

import random
from collections.abc import Sequence

from .loadtracker import LoadTracker
from .loadview import LoadView
from .trackedstart import TrackedStart
from .upstreamweights import UpstreamWeights

# What is outstanding through other instances counts as far as it exceeds the mean of
# the candidates by this factor. The figures are up to two seconds old, as long as many
# requests. Ordinary differences between upstreams have changed by then, and instances
# that all followed them would send the next second's requests to the same upstreams.
EXCESS_FACTOR = 3.0


class SharedLoadChoice:
    """Chooses the upstream with the least requests for each slot.

    Requests of this instance count as they are now, those of other instances as far as
    they show an upstream that has got too many.

    Args:
        view: Load through all instances.
        tracker: Load through this instance.
        weights: Weights of slow upstreams.
        rng: Breaks ties between upstreams.
    """

    def __init__(
        self,
        view: LoadView,
        tracker: LoadTracker,
        weights: UpstreamWeights,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._tracker = tracker
        self._weights = weights
        self._rng = rng

    @property
    def is_usable(self) -> bool:
        """Return whether the view is recent enough to choose by it."""
        return self._view.is_usable

    def choose(self, starts: Sequence[TrackedStart]) -> TrackedStart | None:
        """Return the start for a new flow, None if there are no starts."""
        elsewhere = [self._view.outstanding_elsewhere(k.start.key) for k in starts]
        slots = sum(max(1, tracked.start.slots) for tracked in starts)
        limit_per_slot = EXCESS_FACTOR * sum(elsewhere) / max(1, slots)
        best, least = None, float("inf")
        for tracked, outstanding in zip(starts, elsewhere, strict=True):
            estimate = self._estimate(tracked, outstanding, limit_per_slot)
            if estimate < least:
                best, least = tracked, estimate
        return best

    def _estimate(
        self, tracked: TrackedStart, elsewhere: float, limit_per_slot: float
    ) -> float:
        """Return the requests for each slot, divided by the weight."""
        start = tracked.start
        slots = max(1, start.slots)
        excess = max(0.0, elsewhere - limit_per_slot * slots)
        own = self._tracker.outstanding(start.key)
        weighted_slots = slots * self._weights.weight(start.key)
        return (own + excess + self._rng.random()) / weighted_slots
