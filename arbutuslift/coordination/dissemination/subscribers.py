"""Entry instances that follow a control instance, and their turns to stop."""

import structlog
from attrs import define

from ...clock import Clock
from ...protocol.channel import Channel
from ...protocol.stopping import StopAnswer, StopRequest

# An entry instance asks at least every second; one that is cut off may still forward.
FOLLOWER_KEPT_S = 10.0
# Part of a data centre's instances that may be stopping or starting at one time.
# Routers fall back to all instances, dead ones included, once half are not ready.
STOPPING_PART = 0.25
# Time from a turn until the instance is back: drain, end, start, and two checks of
# the routers. After it the turn is over even if the instance never comes back.
LONGEST_TURN_S = 5.0
# Routers notice an instance that is ready again with their next check.
SETTLE_S = 0.5

_log = structlog.get_logger()


@define(kw_only=True)
class _Follower:
    """An entry instance.

    Attributes:
        data_centre: Where it runs.
        seen_s: When it last asked.
        turn_s: When it got its turn to stop; None if it has none.
        back_s: When it was first seen after its stop.
    """

    data_centre: str
    seen_s: float
    turn_s: float | None = None
    back_s: float | None = None


class Subscribers:
    """Lets entry instances of a data centre stop one after the other.

    Args:
        channel: Its handler of stop requests is set here.
        clock: Source of time.
    """

    def __init__(self, channel: Channel, clock: Clock) -> None:
        self._clock = clock
        self._followers: dict[str, _Follower] = {}
        channel.on(StopRequest, self._on_stop)

    def __len__(self) -> int:
        self._expire()
        return len(self._followers)

    def record_request(self, name: str, data_centre: str, is_stopping: bool) -> None:
        """Note a request of an entry instance."""
        now_s = self._clock.monotonic_s()
        follower = self._followers.get(name)
        if follower is None:
            follower = self._followers[name] = _Follower(
                data_centre=data_centre, seen_s=now_s
            )
        follower.seen_s = now_s
        had_turn = follower.turn_s is not None and follower.back_s is None
        if had_turn and not is_stopping and now_s - follower.turn_s > SETTLE_S:
            follower.back_s = now_s

    def grant_stop_permit(self, name: str, data_centre: str) -> bool:
        """Return whether an instance may stop now."""
        self._expire()
        now_s = self._clock.monotonic_s()
        follower = self._followers.get(name)
        if follower is None:
            self.record_request(name, data_centre, is_stopping=False)
            follower = self._followers[name]
        if follower.turn_s is not None and follower.back_s is None:
            return True
        here = [f for f in self._followers.values() if f.data_centre == data_centre]
        allowed = max(1, int(STOPPING_PART * len(here)))
        if sum(self._is_away(other, now_s) for other in here) >= allowed:
            return False
        follower.turn_s = now_s
        follower.back_s = None
        _log.info("stop_turn_given", entry=name, data_centre=data_centre)
        return True

    def _is_away(self, follower: _Follower, now_s: float) -> bool:
        if follower.turn_s is None or now_s - follower.turn_s > LONGEST_TURN_S:
            return False
        return follower.back_s is None or now_s - follower.back_s < SETTLE_S

    def _expire(self) -> None:
        oldest_s = self._clock.monotonic_s() - FOLLOWER_KEPT_S
        for name, follower in list(self._followers.items()):
            if follower.seen_s < oldest_s:
                del self._followers[name]

    async def _on_stop(self, peer: str, request: StopRequest) -> StopAnswer:
        return StopAnswer(is_turn=self.grant_stop_permit(peer, request.data_centre))
