"""Entry instances that subscribe to a control instance, and their stop permits."""

import structlog
from attrs import define

from ...clock import Clock
from ...protocol.channel import Channel
from ...protocol.stopping import StopAnswer, StopRequest

# An entry instance sends a feed request at least every second. One that is partitioned
# from this instance may still forward packets.
SUBSCRIBER_RETENTION_S = 10.0
# Fraction of the entry instances of a data centre that may be stopping or starting at
# the same time. Once half are not ready, routers fall back to all instances, including
# dead ones.
MAX_ABSENT_FRACTION = 0.25
# Time from a permit until the instance serves again: drain, exit, start, and two checks
# by the routers. A permit expires after this time even if the instance doesn't return.
MAX_PERMIT_S = 5.0
# Time until routers detect, at their next check, that an instance is ready again.
READY_DETECTION_S = 0.5

_log = structlog.get_logger()


@define(kw_only=True)
class _Subscriber:
    """A subscribed entry instance.

    Attributes:
        data_centre: Data centre of the instance.
        last_seen_s: Time of its last request.
        permit_granted_s: When its last stop permit was granted, if any.
        returned_s: When it was first seen after the stop, if it has returned.
    """

    data_centre: str
    last_seen_s: float
    permit_granted_s: float | None = None
    returned_s: float | None = None


class Subscribers:
    """Tracks subscribed entry instances and limits how many stop at the same time.

    Args:
        channel: Connection to the peers; the handler of stop requests is set on it.
        clock: Source of time.
    """

    def __init__(self, channel: Channel, clock: Clock) -> None:
        self._clock = clock
        self._subscribers: dict[str, _Subscriber] = {}
        channel.register_handler(StopRequest, self._on_stop)

    def __len__(self) -> int:
        self._expire()
        return len(self._subscribers)

    def record_request(self, name: str, data_centre: str, is_stopping: bool) -> None:
        """Record a request of an entry instance.

        Args:
            name: Name of the instance.
            data_centre: Its data centre.
            is_stopping: Whether the instance is draining before it stops.
        """
        now_s = self._clock.monotonic_s()
        subscriber = self._subscribers.get(name)
        if subscriber is None:
            subscriber = self._subscribers[name] = _Subscriber(
                data_centre=data_centre, last_seen_s=now_s
            )
        subscriber.last_seen_s = now_s
        has_permit = (
            subscriber.permit_granted_s is not None and subscriber.returned_s is None
        )
        if (
            has_permit
            and not is_stopping
            and now_s - subscriber.permit_granted_s > READY_DETECTION_S
        ):
            subscriber.returned_s = now_s

    def grant_stop_permit(self, name: str, data_centre: str) -> bool:
        """Grant an instance a stop permit if not too many others are absent.

        Returns:
            Whether the instance holds a permit.
        """
        self._expire()
        now_s = self._clock.monotonic_s()
        subscriber = self._subscribers.get(name)
        if subscriber is None:
            self.record_request(name, data_centre, is_stopping=False)
            subscriber = self._subscribers[name]
        if subscriber.permit_granted_s is not None and subscriber.returned_s is None:
            return True
        local = [s for s in self._subscribers.values() if s.data_centre == data_centre]
        max_absent = max(1, int(MAX_ABSENT_FRACTION * len(local)))
        if sum(self._is_absent(other, now_s) for other in local) >= max_absent:
            return False
        subscriber.permit_granted_s = now_s
        subscriber.returned_s = None
        _log.info("stop_turn_given", entry=name, data_centre=data_centre)
        return True

    def _is_absent(self, subscriber: _Subscriber, now_s: float) -> bool:
        if (
            subscriber.permit_granted_s is None
            or now_s - subscriber.permit_granted_s > MAX_PERMIT_S
        ):
            return False
        return (
            subscriber.returned_s is None
            or now_s - subscriber.returned_s < READY_DETECTION_S
        )

    def _expire(self) -> None:
        oldest_s = self._clock.monotonic_s() - SUBSCRIBER_RETENTION_S
        for name, subscriber in list(self._subscribers.items()):
            if subscriber.last_seen_s < oldest_s:
                del self._subscribers[name]

    async def _on_stop(self, peer: str, request: StopRequest) -> StopAnswer:
        return StopAnswer(is_turn=self.grant_stop_permit(peer, request.data_centre))
