"""SYNs that wait for capacity."""

from collections.abc import Callable
from typing import TypeVar

from attrs import frozen

from ...clock import Clock
from ...state.routingtable import RouteKey
from ...transport.callerpackets import CallerPacket

# A caller sends a copy of its SYN after 200 ms, which another instance may answer.
# What has waited for so long is forgotten: a reset could end a flow that the copy
# opened. The bound on the wait leaves 50 ms for a late timer and the network.
STALE_S = 0.19
MAX_WAIT_S = 0.15
# Part of the aim that a SYN may wait; the rest is for the request itself.
WAIT_AIM_FRACTION = 0.25
# Bounds the memory of SYNs that wait.
MAX_WAITING = 512

Rank = TypeVar("Rank")


def max_wait_s(aim_s: float) -> float:
    """Return how long a SYN may wait, by the aim of its route."""
    return min(MAX_WAIT_S, WAIT_AIM_FRACTION * aim_s)


@frozen(kw_only=True, eq=False)
class WaitingFlow:
    """A SYN that waits.

    Attributes:
        packet: The SYN.
        pool: Name of the pool that it waits for.
        route: Its route.
        is_retry: Whether an earlier attempt or copy of its caller got no answer.
        arrived_s: When it arrived, on the clock that includes time in suspend.
        due_s: When it is forwarded or rejected.
    """

    packet: CallerPacket
    pool: str
    route: RouteKey
    is_retry: bool
    arrived_s: float
    due_s: float


class WaitingFlows:
    """SYNs that wait, bounded in number; the earliest of a route comes first.

    Times are of the clock that also counts the time in suspend, in which callers go
    on sending copies.

    Args:
        clock: Source of time.
        max_waiting: Most SYNs that wait at the same time.
    """

    def __init__(self, clock: Clock, max_waiting: int = MAX_WAITING) -> None:
        self._clock = clock
        self._max_waiting = max_waiting
        self._flows: dict[bytes, WaitingFlow] = {}
        self._counts: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._flows)

    def __contains__(self, flow: bytes) -> bool:
        return flow in self._flows

    def get(self, flow: bytes) -> WaitingFlow | None:
        """Return the waiting SYN of a flow, None without one."""
        return self._flows.get(flow)

    def pools(self) -> list[str]:
        """Return the names of the pools for which SYNs wait."""
        return list(self._counts)

    def count(self, pool: str) -> int:
        """Return the number of SYNs that wait for a pool."""
        return self._counts.get(pool, 0)

    def add(self, waiting: WaitingFlow) -> WaitingFlow | None:
        """Add a SYN.

        Returns:
            The SYN that is over the bound, if any: the newest of the route with the
            most, so that a burst on one route doesn't displace the others.
        """
        self._flows[waiting.packet.flow] = waiting
        self._counts[waiting.pool] = self.count(waiting.pool) + 1
        if len(self._flows) <= self._max_waiting:
            return None
        numbers: dict[RouteKey, int] = {}
        for item in self._flows.values():
            numbers[item.route] = numbers.get(item.route, 0) + 1
        longest = max(numbers, key=numbers.__getitem__)
        newest = next(
            item for item in reversed(self._flows.values()) if item.route == longest
        )
        self.remove(newest)
        return newest

    def remove(self, waiting: WaitingFlow) -> None:
        """Remove a SYN."""
        if self._flows.pop(waiting.packet.flow, None) is None:
            return
        self._counts[waiting.pool] -= 1
        if not self._counts[waiting.pool]:
            del self._counts[waiting.pool]

    def next_of(
        self, pool: str, rank: Callable[[RouteKey, bool], Rank]
    ) -> WaitingFlow | None:
        """Return the SYN of a pool that is next, None without one.

        Args:
            pool: Name of the pool.
            rank: Returns the position of a route's first attempts or retries; the
                least comes first. SYNs of equal positions are in order of arrival.
        """
        ranks: dict[tuple[RouteKey, bool], Rank] = {}
        best, best_rank = None, None
        for item in self._flows.values():
            if item.pool != pool:
                continue
            key = (item.route, item.is_retry)
            if key not in ranks:
                ranks[key] = rank(*key)
            if best is None or ranks[key] < best_rank:
                best, best_rank = item, ranks[key]
        return best

    def due(self) -> list[WaitingFlow]:
        """Return the SYNs whose time is up, earliest first."""
        now_s = self._clock.boottime_s()
        found = [item for item in self._flows.values() if item.due_s <= now_s]
        return sorted(found, key=lambda item: item.due_s)

    def remove_stale(self) -> list[WaitingFlow]:
        """Remove and return what waited beyond any bound, as after a suspension."""
        oldest_s = self._clock.boottime_s() - STALE_S
        stale = [item for item in self._flows.values() if item.arrived_s < oldest_s]
        for item in stale:
            self.remove(item)
        return stale

    def clear(self) -> int:
        """Remove everything and return how many SYNs there were."""
        count = len(self._flows)
        self._flows.clear()
        self._counts.clear()
        return count
