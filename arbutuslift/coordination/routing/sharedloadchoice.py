"""Choice of an upstream by the load of all instances."""

import random
from collections.abc import Sequence

from attrs import field, frozen

from ...state.starts import StartKey
from .loadtracker import LoadTracker
from .loadview import LoadView
from .trackedstart import TrackedStart
from .upstreamweights import UpstreamWeights

# What is outstanding through other instances counts as far as it exceeds the mean of
# the candidates by this factor. The figures are up to two seconds old, as long as many
# requests. Ordinary differences between upstreams have changed by then, and instances
# that all followed them would send the next second's requests to the same upstreams.
EXCESS_FACTOR = 3.0


@frozen
class _Penalty:
    """Why an upstream gets fewer new flows until the next summary.

    Attributes:
        excess: Requests through other instances above the limit.
        weight: Its weight.
    """

    excess: float
    weight: float


@frozen
class _Group:
    """Upstreams of one service and data centre until the next summary.

    Attributes:
        limit_per_slot: What may be outstanding through other instances.
        penalties: Penalties of the starts that were candidates, None without one.
    """

    limit_per_slot: float
    penalties: dict[StartKey, _Penalty | None] = field(factory=dict)


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
        self._summary_number = 0
        # Computing the penalties for each flow would double the time of a selection.
        self._groups: dict[tuple[str, str], _Group] = {}

    @property
    def is_usable(self) -> bool:
        """Return whether the view is recent enough to choose by it."""
        return self._view.is_usable

    def choose(self, starts: Sequence[TrackedStart]) -> TrackedStart | None:
        """Return the start for a new flow, None if there are no starts.

        Args:
            starts: Starts of one service.
        """
        if not starts:
            return None
        group = self._group_of(starts)
        penalties = group.penalties
        outstanding, draw = self._tracker.outstanding, self._rng.random
        best, least = None, float("inf")
        for tracked in starts:
            start = tracked.start
            key = start.key
            estimate = outstanding(key) + draw()
            if key not in penalties:
                penalties[key] = self._penalty_of(tracked, group.limit_per_slot)
            penalty = penalties[key]
            if penalty is not None:
                estimate = (estimate + penalty.excess) / penalty.weight
            estimate /= start.slots or 1
            if estimate < least:
                best, least = tracked, estimate
        return best

    def _group_of(self, starts: Sequence[TrackedStart]) -> _Group:
        """Return the group of the starts, computed once for each summary."""
        if self._summary_number != self._view.summaries:
            self._summary_number = self._view.summaries
            self._groups.clear()
        first = starts[0].start
        key = (first.service, first.data_centre)
        group = self._groups.get(key)
        if group is None:
            limit_per_slot = EXCESS_FACTOR * self._mean_per_slot(starts)
            group = self._groups[key] = _Group(limit_per_slot)
        return group

    def _mean_per_slot(self, starts: Sequence[TrackedStart]) -> float:
        """Return the mean outstanding requests for each slot of a service.

        Summaries leave out upstreams if there are many. The mean over those that they
        contain is used only where nobody reports on the data centre as a whole.
        """
        first = starts[0].start
        load = self._view.service(first.service, first.data_centre)
        if load is not None and load.slots:
            return load.outstanding / load.slots
        elsewhere = [self._view.outstanding_elsewhere(k.start.key) for k in starts]
        return sum(elsewhere) / sum(tracked.start.slots or 1 for tracked in starts)

    def _penalty_of(
        self, tracked: TrackedStart, limit_per_slot: float
    ) -> _Penalty | None:
        start = tracked.start
        elsewhere = self._view.outstanding_elsewhere(start.key)
        excess = max(0.0, elsewhere - limit_per_slot * (start.slots or 1))
        weight = self._weights.weight(start.key)
        return _Penalty(excess, weight) if excess or weight < 1.0 else None
