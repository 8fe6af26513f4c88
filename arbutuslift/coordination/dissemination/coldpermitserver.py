"""Control side of cold permits: grants new flows at upstreams in cold start.

A few control instances grant permits for one start, each an even part of its limit.
They needn't agree: what all of them grant in a second, and what is opened a little
later than it was granted, stays within the limit and its slack for any number of entry
instances. One that is cut off gets no permit and opens no flow.
"""

from collections.abc import Callable

from ...clock import Clock
from ...protocol.channel import Channel
from ...protocol.coldpermits import ColdPermitAnswer, ColdPermitRequest
from ...state.routingtable import RoutingTable
from ...state.starts import StartKey
from .coldgranters import granters_of
from .startregistry import StartRegistry

# Part of the limit that is granted; the rest is for permits that are used late.
GRANTED_FRACTION = 0.8
MAX_STARTS = 50_000
_REFUSED_WAIT_MS = 1000


class ColdPermitServer:
    """Grants permits, one at a time for each start.

    After a restart it grants none before one interval has passed, since it doesn't
    know what the former process granted.

    Args:
        channel: Connection to the peers; the handler is set on it.
        clock: Source of time.
        starts: Starts of upstreams.
        table: Returns the routing table in effect, None without one.
        controls: Returns the names of the other control instances.
    """

    def __init__(
        self,
        channel: Channel,
        clock: Clock,
        starts: StartRegistry,
        table: Callable[[], RoutingTable | None],
        controls: Callable[[], tuple[str, ...]],
    ) -> None:
        self._name = channel.name
        self._clock = clock
        self._starts = starts
        self._table = table
        self._controls = controls
        self._started_s = clock.monotonic_s()
        self._granted_s: dict[StartKey, float] = {}
        channel.register_handler(ColdPermitRequest, self._on_request)

    async def _on_request(
        self, peer: str, request: ColdPermitRequest
    ) -> ColdPermitAnswer:
        del peer
        granters = granters_of(request.upstream_id, (self._name, *self._controls()))
        limit_per_s = self._limit_per_s(request)
        if self._name not in granters or limit_per_s <= 0:
            return ColdPermitAnswer(is_granted=False, wait_ms=_REFUSED_WAIT_MS)
        interval_s = len(granters) / (GRANTED_FRACTION * limit_per_s)
        return self._grant((request.upstream_id, request.born_ms), interval_s)

    def _grant(self, key: StartKey, interval_s: float) -> ColdPermitAnswer:
        now_s = self._clock.monotonic_s()
        last_s = self._granted_s.pop(key, self._started_s)
        wait_s = last_s + interval_s - now_s
        self._granted_s[key] = last_s if wait_s > 0 else now_s
        if len(self._granted_s) > MAX_STARTS:
            del self._granted_s[next(iter(self._granted_s))]
        if wait_s > 0:
            return ColdPermitAnswer(is_granted=False, wait_ms=int(1000 * wait_s) + 1)
        return ColdPermitAnswer(is_granted=True)

    def _limit_per_s(self, request: ColdPermitRequest) -> float:
        """Return the limit of a start's service, 0 for an unknown start."""
        start = self._starts.find(request.upstream_id)
        table = self._table()
        if start is None or table is None or start.born_ms != request.born_ms:
            return 0.0
        limits = (s for s in table.services if s.name == start.service)
        return next((s.cold_new_flows_per_s for s in limits), 0.0)
