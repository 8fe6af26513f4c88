"""Entry side of cold permits: asks control for new flows at cold upstreams."""

import random
from collections.abc import Callable, Coroutine

import structlog

from ...clock import Clock
from ...errors import MessageError, PeerFailure, TransportError
from ...protocol.channel import Channel
from ...protocol.coldpermits import ColdPermitAnswer, ColdPermitRequest
from ...state.starts import StartKey, UpstreamStart
from ..routing.coldadmission import ColdAdmission
from .coldgranters import granters_of

# A permit that is used later would add to those of the next second.
VALID_S = 0.25
REQUEST_TIMEOUT_S = 0.3
# After a refusal an instance waits at least this long, and longer in proportion to the
# number of instances, so that they don't ask all the time.
MIN_WAIT_S = 0.1
MAX_WAIT_S = 2.0
UNCROWDED_INSTANCES = 50
MAX_STARTS = 5000

_log = structlog.get_logger()

Spawn = Callable[[Coroutine[object, object, None]], None]


class ColdPermits(ColdAdmission):
    """Permits of this instance, one at a time for each start.

    Args:
        channel: Connection to the control instances.
        clock: Source of time.
        spawn: Runs a request.
        rng: Spreads the requests over the granters and over time.
        fallback: Decides while no granter knows permits, as in earlier versions.
        on_outcome: Called when a request is answered, or isn't in time.
    """

    def __init__(
        self,
        channel: Channel,
        clock: Clock,
        spawn: Spawn,
        rng: random.Random,
        fallback: ColdAdmission,
        on_outcome: Callable[[], None],
    ) -> None:
        self._channel = channel
        self._clock = clock
        self._spawn = spawn
        self._rng = rng
        self._fallback = fallback
        self._on_outcome = on_outcome
        self._entry_count = 1
        self._controls: tuple[str, ...] = ()
        self._is_supported = True
        self._pending: set[StartKey] = set()
        self._valid_until_s: dict[StartKey, float] = {}
        self._next_request_s: dict[StartKey, float] = {}

    def set_controls(self, names: tuple[str, ...]) -> None:
        """Use the names of the control instances that an answer of the feed gives."""
        self._controls = names

    def may_open(
        self, start: UpstreamStart, limit_per_s: float, entry_count: int
    ) -> bool:
        """Return whether there is a permit for a start; ask for one if not."""
        now_s = self._clock.monotonic_s()
        self._entry_count = entry_count
        if self._valid_until_s.get(start.key, 0.0) >= now_s:
            return True
        self._ask(start, now_s)
        if self._is_supported:
            return False
        return self._fallback.may_open(start, limit_per_s, entry_count)

    def record_flow(self, key: StartKey) -> None:
        """Use up the permit for a start."""
        self._valid_until_s.pop(key, None)
        self._fallback.record_flow(key)

    def is_pending(self, key: StartKey) -> bool:
        """Return whether a request about a start is under way."""
        return key in self._pending

    def _ask(self, start: UpstreamStart, now_s: float) -> None:
        is_due = now_s >= self._next_request_s.get(start.key, 0.0)
        if start.key in self._pending or not is_due or not self._controls:
            return
        self._pending.add(start.key)
        self._spawn(self._request(start))

    async def _request(self, start: UpstreamStart) -> None:
        wait_s = MAX_WAIT_S
        try:
            wait_s = await self._request_of_granters(start)
        finally:
            self._pending.discard(start.key)
            self._set_wait(start.key, wait_s)
            self._on_outcome()

    async def _request_of_granters(self, start: UpstreamStart) -> float:
        """Ask one granter after another and return how long to wait then."""
        request = ColdPermitRequest(
            upstream_id=start.upstream_id, born_ms=start.born_ms
        )
        granters = granters_of(start.upstream_id, self._controls)
        self._rng.shuffle(granters)
        wait_s = MAX_WAIT_S
        unsupported = 0
        for name in granters:
            try:
                answer = await self._channel.request(name, request, REQUEST_TIMEOUT_S)
            except PeerFailure:
                unsupported += 1
                continue
            except (TransportError, MessageError) as error:
                _log.info("cold_permit_not_answered", peer=name, reason=str(error))
                continue
            if not isinstance(answer, ColdPermitAnswer):
                continue
            if answer.is_granted:
                self._is_supported = True
                until_s = self._clock.monotonic_s() + VALID_S
                self._valid_until_s[start.key] = until_s
                return 0.0
            wait_s = min(wait_s, answer.wait_ms / 1000)
        self._is_supported = unsupported < len(granters)
        crowd = max(1.0, self._entry_count / UNCROWDED_INSTANCES)
        wait_s = min(MAX_WAIT_S, max(MIN_WAIT_S, wait_s) * crowd)
        return wait_s * (0.5 + self._rng.random())

    def _set_wait(self, key: StartKey, wait_s: float) -> None:
        self._next_request_s.pop(key, None)
        self._next_request_s[key] = self._clock.monotonic_s() + wait_s
        if len(self._next_request_s) > MAX_STARTS:
            oldest = next(iter(self._next_request_s))
            del self._next_request_s[oldest]
            self._valid_until_s.pop(oldest, None)
