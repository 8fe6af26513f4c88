"""This instance's load on one pool over time, and whether it is a shortage."""

import math

from attrs import define, field

from .randomclusters import evident_limit
from .servicepool import ServicePool

# Time that the mean of what is outstanding covers. A shorter one takes more clusters
# for a shortage, a longer one finds a shortage later.
MEAN_S = 1.0
# The work of requests doesn't change within a second, but the response time does when
# a queue builds up or empties. The estimate changes by this factor per second. It
# doesn't fall while more than the capacity is outstanding, since full upstreams reject,
# which looks like a fast answer.
MAX_CHANGE_PER_S = 1.25
# Instances can't use what others leave unused. While less than the capacity is
# outstanding at all instances together, each may use up to twice its part.
MIN_EXCESS = 0.5
# A shortage has begun when all instances use this part of the capacity on average. Some
# upstreams then have more than their room, and those with less will soon be full.
BEGIN_FRACTION = 0.9
# A shortage has ended when less than this part of the capacity is used on average,
# although nothing waits.
END_FRACTION = 0.8
# Elapsed time beyond which the permitted change of the estimate no longer grows. Its
# factor is over 600,000 by then; without a bound the power could overflow.
MAX_CHANGE_TIME_S = 60.0
# Stands for the capacity of a pool without any, as a divisor.
MIN_CAPACITY = 1e-9


@define
class PoolLoad:
    """Load on one pool.

    Attributes:
        mean: Mean of what was outstanding, as seen by arrivals.
        squares: Sum of the squares of the weights in it, which is 1 for one sample
            and lower the more samples count.
        work_s: Estimated time of a request in a slot, 0 if it isn't known.
        updated_s: When these were last brought up to date.
        capacity: This instance's part of the capacity when it was last measured.
        measured_s: When that was.
        short_aims_s: Aims for which there is a shortage; a longer queue is a shortage
            for a short aim only.
        is_shared: Whether the work was last estimated from figures of all instances,
            which replace those of this one at once.
        last_extra_s: When the fraction of a request in the capacity was last used.
    """

    mean: float = 0.0
    squares: float = 1.0
    work_s: float = 0.0
    updated_s: float = -math.inf
    capacity: float = 0.0
    measured_s: float = -math.inf
    short_aims_s: set[float] = field(factory=set)
    last_extra_s: float = -math.inf
    is_shared: bool = False

    @property
    def is_short(self) -> bool:
        """Return whether there is a shortage for any aim."""
        return bool(self.short_aims_s)

    def observe(self, pool: ServicePool, aim_s: float, now_s: float) -> None:
        """Add the present state of the pool.

        Args:
            pool: The pool.
            aim_s: Time within which the callers want an answer.
            now_s: The present time.
        """
        elapsed_s = now_s - self.updated_s
        self.observe_outstanding(pool.outstanding, now_s)
        if pool.response_s > 0.0:
            self._observe_work(pool, aim_s, elapsed_s)

    def observe_outstanding(self, outstanding: float, now_s: float) -> None:
        """Add what is outstanding now to the mean."""
        weight = 1.0 - math.exp((self.updated_s - now_s) / MEAN_S)
        self.mean += weight * (outstanding - self.mean)
        self.squares = (1.0 - weight) ** 2 * self.squares + weight**2
        self.updated_s = now_s

    def update_shortage(self, pool: ServicePool, aim_s: float, waiting: int) -> bool:
        """Find out whether there is a shortage; return whether it began or ended.

        Args:
            pool: The pool.
            aim_s: Time within which the callers want an answer.
            waiting: SYNs that wait for it.
        """
        was_short = self.is_short
        for known_s in list(self.short_aims_s):
            if not waiting and not self._is_used(pool, known_s, END_FRACTION):
                self.short_aims_s.discard(known_s)
        if aim_s not in self.short_aims_s and self._is_evident(pool, aim_s, waiting):
            self.short_aims_s.add(aim_s)
        return self.is_short != was_short

    def has_room(self, pool: ServicePool, capacity: float, now_s: float) -> bool:
        """Return whether the capacity takes one more request in a shortage.

        A fraction of a request in the capacity is used once in the time that a request
        takes, divided by the fraction.
        """
        whole = math.floor(capacity)
        if pool.outstanding < whole:
            return True
        fraction = capacity - whole
        if pool.outstanding >= whole + 1 or fraction <= 0.0:
            return False
        stay_s = self.work_s * pool.stretch(self.mean)
        if now_s - self.last_extra_s < stay_s / fraction:
            return False
        self.last_extra_s = now_s
        return True

    def _samples(self) -> float:
        """Return the number of independent samples of which the mean consists.

        Samples closer to each other than a response time show the same requests.
        """
        return 1.0 / min(1.0, self.squares + self.work_s / (self.work_s + MEAN_S))

    def excess(self, pool: ServicePool, aim_s: float) -> float:
        """Return what is outstanding as a multiple of the capacity.

        The least value is MIN_EXCESS, without the figures of all instances 1.
        """
        if pool.is_shared:
            whole = pool.capacity(self.work_s, aim_s)
            return max(MIN_EXCESS, pool.shared_outstanding / max(whole, MIN_CAPACITY))
        ordinary = evident_limit(
            pool.capacity_here(self.work_s, aim_s), self._samples()
        )
        return max(1.0, self.mean / ordinary)

    def _is_evident(self, pool: ServicePool, aim_s: float, waiting: int) -> bool:
        """Return whether the load can't be a random cluster of an ordinary one."""
        capacity = pool.capacity_here(self.work_s, aim_s)
        return (
            pool.outstanding + waiting >= evident_limit(capacity)
            or self.mean >= evident_limit(capacity, self._samples())
            or (pool.is_shared and self._is_used(pool, aim_s, BEGIN_FRACTION))
        )

    def _is_used(self, pool: ServicePool, aim_s: float, fraction: float) -> bool:
        """Return whether a fraction of the capacity is used, by the best figures."""
        here = fraction * pool.capacity_here(self.work_s, aim_s)
        if not pool.is_shared:
            return self.mean >= here
        # Spare slots elsewhere count as much as slots of the pool.
        return pool.share * pool.used(self.work_s, aim_s) >= here

    def _observe_work(self, pool: ServicePool, aim_s: float, elapsed_s: float) -> None:
        work_s = pool.response_s / pool.stretch(self.mean)
        is_first = self.work_s <= 0.0 or pool.is_shared > self.is_shared
        self.is_shared = pool.is_shared
        if not is_first:
            factor = MAX_CHANGE_PER_S ** min(elapsed_s, MAX_CHANGE_TIME_S)
            is_full = self.excess(pool, aim_s) > 1.0
            falling_s = self.work_s / factor if pool.is_shared else 0.0
            lowest_s = self.work_s if is_full else falling_s
            work_s = min(self.work_s * factor, max(lowest_s, work_s))
        self.work_s = work_s
