"""Chooses the upstream of a new flow."""

import random
from collections.abc import Iterable

from ..clock import Clock
from ..state.routing import Route, RoutingTable
from ..state.starts import Phase
from .judge import Judge
from .upstreamdirectory import KnownStart, UpstreamDirectory

# A flow to another data centre costs a longer way and bytes between data centres; it
# is worth as much as this many flows more at an upstream nearby.
REMOTE_PENALTY_FLOWS = 1.5
# New flows of one instance to an upstream in cold start.
COLD_INTERVAL_S = 1.0


class Picker:
    """Prefers upstreams that answer, are warm, near and hold few flows.

    Args:
        clock: Source of time.
        directory: Known upstreams.
        judge: Tells which ones have stopped answering.
        data_centre: Where this instance runs.
        rng: Breaks ties.
    """

    def __init__(
        self,
        clock: Clock,
        directory: UpstreamDirectory,
        judge: Judge,
        data_centre: str,
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._judge = judge
        self._data_centre = data_centre
        self._rng = rng
        self._cold_used_s: dict[tuple[str, int], float] = {}

    def pick(
        self, route: Route, table: RoutingTable, avoid: KnownStart | None = None
    ) -> KnownStart | None:
        """Return the upstream for a new flow, None if no one may carry it.

        Args:
            route: Route of the flow.
            table: Routing table in force.
            avoid: Upstream that left an earlier copy of the SYN unanswered.
        """
        for service in self._services(route):
            chosen = self._pick_of(service, table, avoid)
            if chosen is not None:
                self._judge.chosen(chosen.start.key)
                return chosen
        return None

    def _services(self, route: Route) -> list[str]:
        """Return the services of a route, the one drawn by weight first."""
        shares = [share for share in route.shares if share.weight > 0]
        if len(shares) < 2:
            return [share.service for share in shares]
        names = [share.service for share in shares]
        first = self._rng.choices(names, [share.weight for share in shares])[0]
        return [first, *(name for name in names if name != first)]

    def _pick_of(
        self, service: str, table: RoutingTable, avoid: KnownStart | None
    ) -> KnownStart | None:
        now_s = self._clock.monotonic_s()
        usable = [
            known
            for known in self._directory.of_service(service)
            if known.start.phase is Phase.READY
            and known.start.data_centre not in table.out_of_service
        ]
        warm = [known for known in usable if known.cold_until_s <= now_s]
        best = self._trusted(warm)
        others = [known for known in best if known is not avoid]
        if others:
            return self._least_loaded(others)
        cold = [k for k in usable if k.cold_until_s > now_s and self._may_warm(k)]
        if cold:
            chosen = self._least_loaded(cold)
            self._cold_used_s[chosen.start.key] = now_s
            return chosen
        return self._least_loaded(best or warm)

    def _trusted(self, starts: list[KnownStart]) -> list[KnownStart]:
        return [
            known
            for known in starts
            if not self._judge.is_suspected(known.start.key)
            and not self._directory.is_silent(known.start)
        ]

    def _may_warm(self, known: KnownStart) -> bool:
        used_s = self._cold_used_s.get(known.start.key, float("-inf"))
        return self._clock.monotonic_s() - used_s >= COLD_INTERVAL_S

    def _least_loaded(self, starts: Iterable[KnownStart]) -> KnownStart | None:
        return min(starts, key=self._cost, default=None)

    def _cost(self, known: KnownStart) -> float:
        is_remote = known.start.data_centre != self._data_centre
        penalty = REMOTE_PENALTY_FLOWS if is_remote else 0.0
        return known.flow_count + penalty + self._rng.random()
