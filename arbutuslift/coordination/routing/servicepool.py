"""Upstreams that can take the new flows of a route, and their capacity for them."""

import math

from attrs import frozen

from ...state.starts import StartKey
from .randomclusters import mean_below

# A caller has its answer in time if the request waits and runs for half of the aim.
# The other half is for the network, further attempts and the spread of the work.
ANSWER_AIM_FRACTION = 0.5


@frozen(kw_only=True)
class PooledUpstream:
    """An eligible upstream.

    Attributes:
        key: Key of its start.
        slots: Requests that it processes at the same time.
        cold_new_flows_per_s: Limit on its new flows while it is cold, 0 if it is warm
            or has no limit.
        outstanding: Requests of all instances without an answer, 0 without a view.
    """

    key: StartKey
    slots: int
    cold_new_flows_per_s: float = 0.0
    outstanding: float = 0.0


@frozen(kw_only=True)
class ServicePool:
    """The eligible upstreams for the new flows of a route.

    Attributes:
        name: Services of the upstreams; routes with the same name share the pool.
        upstreams: The upstreams.
        share: Part of the pool's requests that comes through this instance.
        outstanding: Requests at these upstreams that came through this instance and
            have no answer yet.
        response_s: Mean response time of its upstreams, 0 if it isn't known.
        is_shared: Whether what all instances have outstanding is known.
        spare_slots: This instance's part of the free slots in other data centres.
        queue_length: Requests that wait at each upstream before it rejects more, None
            if it isn't known. What is outstanding at one upstream scatters about the
            mean, so that only a part of its places counts.
    """

    name: str
    upstreams: tuple[PooledUpstream, ...]
    share: float
    outstanding: float = 0.0
    response_s: float = 0.0
    is_shared: bool = False
    spare_slots: float = 0.0
    queue_length: int | None = None

    @property
    def slots(self) -> int:
        """Return the slots of all its upstreams."""
        return sum(upstream.slots for upstream in self.upstreams)

    @property
    def shared_outstanding(self) -> float | None:
        """Return the requests of all instances without an answer, None if unknown."""
        if not self.is_shared:
            return None
        return sum(upstream.outstanding for upstream in self.upstreams)

    def stretch(self, outstanding: float) -> float:
        """Return the response time of a request as a multiple of its work.

        With two slots, random arrivals and work of random length, this is the mean for
        a number of requests per slot. With many requests per slot it is that number,
        with few it is 1, whatever the arrivals are.

        Args:
            outstanding: This instance's mean outstanding requests, from which the
                load is derived without a usable view.
        """
        total = self.shared_outstanding
        if total is None:
            total = outstanding / self.share
        per_slot = total / max(1, self.slots)
        return (1.0 + math.sqrt(1.0 + 4.0 * per_slot**2)) / 2.0

    def capacity(self, work_s: float, aim_s: float) -> float:
        """Return the requests that all its upstreams can have outstanding at a time.

        Args:
            work_s: Time that a request takes in a slot, 0 if it isn't known.
            aim_s: Time within which the callers want an answer.
        """
        fit = requests_that_fit(work_s, aim_s)
        return sum(
            self._room(upstream, fit, work_s, aim_s) for upstream in self.upstreams
        )

    def used(self, work_s: float, aim_s: float) -> float:
        """Return how much of the capacity is used by all instances.

        An upstream that has more than its room, such as a slow one, takes nothing from
        the room of the others.
        """
        fit = requests_that_fit(work_s, aim_s)
        return sum(
            min(upstream.outstanding, self._room(upstream, fit, work_s, aim_s))
            for upstream in self.upstreams
        )

    def capacity_here(self, work_s: float, aim_s: float) -> float:
        """Return this instance's part of the capacity, with that of the spare slots."""
        spare = self.spare_slots * requests_that_fit(work_s, aim_s)
        return self.share * self.capacity(work_s, aim_s) + spare

    def flows_per_s(self, work_s: float) -> float:
        """Return this instance's part of what the upstreams answer per second.

        It is 0 if the work isn't known.
        """
        if work_s <= 0.0:
            return 0.0
        rates = (
            min(upstream.slots / work_s, upstream.cold_new_flows_per_s or math.inf)
            for upstream in self.upstreams
        )
        return self.share * sum(rates) + self.spare_slots / work_s

    def _room(
        self, upstream: PooledUpstream, fit: float, work_s: float, aim_s: float
    ) -> float:
        room = upstream.slots * fit
        if self.queue_length is not None:
            places = mean_below(upstream.slots + self.queue_length)
            places = max(upstream.slots, places)
            room = min(room, places) if work_s else places
        if upstream.cold_new_flows_per_s > 0:
            # The requests that the limited rate keeps outstanding.
            stay_s = work_s or ANSWER_AIM_FRACTION * aim_s
            room = min(room, upstream.cold_new_flows_per_s * stay_s)
        return room


def requests_that_fit(work_s: float, aim_s: float) -> float:
    """Return how many requests one slot answers one after another in half the aim.

    It is 1 if the work isn't known.
    """
    return max(1.0, ANSWER_AIM_FRACTION * aim_s / work_s) if work_s else 1.0
