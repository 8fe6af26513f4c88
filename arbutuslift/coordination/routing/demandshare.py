"""Part of the demand of a data centre that comes through this instance."""

import math

from attrs import define

# One instance sees a few arrivals a second, so that their number over a shorter time
# says little. The demand of the data centre is smoothed over the same time; otherwise a
# burst would show in one of them first.
MEMORY_S = 10.0
# Arrivals that the even share counts for. Few arrivals of an instance leave its share
# near the even one.
EVEN_ARRIVALS = 10.0


@define
class DemandShare:
    """Smoothed arrivals here and in the whole data centre.

    Attributes:
        own: Arrivals here within the memory.
        total: Arrivals of the data centre within the memory.
        updated_s: When ``own`` was last brought up to date.
        total_updated_s: When ``total`` was; infinitely long ago before the first.
    """

    own: float = 0.0
    total: float = 0.0
    updated_s: float = -math.inf
    total_updated_s: float = -math.inf

    def record_arrival(self, now_s: float) -> None:
        """Count an arrival here."""
        self._decay(now_s)
        self.own += 1.0

    def observe_total(self, total_per_s: float, instances: int, now_s: float) -> None:
        """Add the present demand of the data centre.

        Args:
            total_per_s: Its new flows per second.
            instances: Instances among which it is divided.
            now_s: The present time.
        """
        if self.total_updated_s == -math.inf:
            self.total = total_per_s * MEMORY_S
            self.own = self.total / max(1, instances)
            self.updated_s = now_s
        weight = 1.0 - math.exp(-(now_s - self.total_updated_s) / MEMORY_S)
        self.total += weight * (total_per_s * MEMORY_S - self.total)
        self.total_updated_s = now_s

    def share(self, instances: int, now_s: float) -> float:
        """Return this instance's part of the demand, above 0 and at most 1."""
        self._decay(now_s)
        instances = max(1, instances)
        total = self.total + EVEN_ARRIVALS * instances
        return min(1.0, (self.own + EVEN_ARRIVALS) / total)

    def _decay(self, now_s: float) -> None:
        if self.updated_s > -math.inf:
            self.own *= math.exp(-(now_s - self.updated_s) / MEMORY_S)
        self.updated_s = now_s
