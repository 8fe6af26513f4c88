"""Control side of the feed: serves entry instances, updates other controls."""

from collections.abc import Callable

import structlog

from ...clock import Clock
from ...errors import MessageError
from ...histograms import Histogram, doubling_bounds
from ...protocol.channel import Channel
from ...protocol.feed import (
    FeedAnswer,
    FeedRequest,
    LossReport,
    RouteTimes,
    RouteTimesRequest,
)
from ...protocol.messages import Message
from ...protocol.sharing import StartDigest, StartsWanted, StartUpdate
from ...state.routingtable import RoutingTable, encode_route_times, encode_table
from ..concurrency import ChangeNotifier
from .startregistry import StartRegistry
from .subscribers import Subscribers

MAX_HOLD_S = 2.0
# About 15 KB, which take 60 ms on a link of 2 Mbit/s, so that answers arrive in time
# and the first upstreams can be used before the last ones have arrived.
MAX_STARTS_PER_ANSWER = 200
SHARE_INTERVAL_S = 0.5
# The comparison repairs the loss of an update.
COMPARE_INTERVAL_S = 3.0

# Bound on the recorded revisions, several times the number of entry instances.
MAX_MEASURED_INSTANCES = 5000

_log = structlog.get_logger()


class FeedServer:
    """Answers feed requests as soon as there is an update (long polling).

    Args:
        channel: Connection to the peers; the handlers of the feed are set on it.
        clock: Source of time.
        epoch: Number of this process, unique among the processes of its name.
        interval_s: Time between two announcements of an upstream.
        controls: Returns the names of the other control instances.

    Attributes:
        registry: Starts of upstreams with the order of their changes.
        propagation_delay_s: Time from the publication of a routing table until each
            entry instance reports it in effect, 1 ms to 33 s.
    """

    def __init__(
        self,
        channel: Channel,
        clock: Clock,
        epoch: int,
        interval_s: float,
        controls: Callable[[], tuple[str, ...]],
    ) -> None:
        self._channel = channel
        self._clock = clock
        self._epoch = epoch
        self._controls = controls
        self._change_notifier = ChangeNotifier(clock)
        self._revision = 0
        self._table = b""
        self._route_times = b""
        self._published_s = clock.monotonic_s()
        self._reported_revisions: dict[str, int] = {}
        self.propagation_delay_s = Histogram(doubling_bounds(0.001, 16))
        self._last_comparison_s = float("-inf")
        self._subscribers = Subscribers(channel, clock)
        self.registry = StartRegistry(clock, interval_s, self._change_notifier.notify)
        channel.register_handler(FeedRequest, self._on_request)
        channel.register_handler(StartUpdate, self._on_update)
        channel.register_handler(StartDigest, self._on_digest)
        channel.register_handler(StartsWanted, self._on_wanted)
        channel.register_handler(LossReport, self._on_loss)
        channel.register_handler(RouteTimesRequest, self._on_times_request)

    def publish(self, table: RoutingTable) -> None:
        """Publish a routing table if its revision is newer."""
        if table.revision > self._revision:
            self._table = encode_table(table)
            self._route_times = encode_route_times(table)
            self._revision = table.revision
            self._published_s = self._clock.monotonic_s()
            self._change_notifier.notify()

    @property
    def subscriber_count(self) -> int:
        """Return the number of subscribed entry instances."""
        return len(self._subscribers)

    async def run(self) -> None:
        """Check for silent upstreams and update other controls until cancelled."""
        while True:
            await self._change_notifier.wait_for(
                lambda: self.registry.has_unshared, SHARE_INTERVAL_S
            )
            self.registry.check_silence()
            await self._share_starts()

    async def _share_starts(self) -> None:
        update = StartUpdate(
            news=self.registry.pop_unshared(), heard=self.registry.pop_announced()
        )
        if update.news or update.heard:
            await self._send_to_all(update)
        now_s = self._clock.monotonic_s()
        if now_s - self._last_comparison_s >= COMPARE_INTERVAL_S:
            self._last_comparison_s = now_s
            await self._send_to_all(StartDigest(digests=self.registry.digests.encode()))

    async def _send_to_all(self, message: Message) -> None:
        for name in self._controls():
            await self._channel.send(name, message)

    async def _on_digest(self, peer: str, message: StartDigest) -> None:
        try:
            buckets = self.registry.digests.differing_buckets(message.digests)
        except ValueError as error:
            raise MessageError(str(error), step="compare starts", peer=peer) from error
        if buckets:
            _log.info("starts_differ", peer=peer, buckets=len(buckets))
            await self._channel.send(peer, StartsWanted(buckets=buckets))

    async def _on_wanted(self, peer: str, message: StartsWanted) -> None:
        starts = self.registry.starts_in_buckets(frozenset(message.buckets))
        if starts:
            await self._channel.send(peer, StartUpdate(news=starts, heard=()))

    async def _on_update(self, peer: str, update: StartUpdate) -> None:
        del peer
        self.registry.receive(update.news, update.heard)

    async def _on_loss(self, peer: str, report: LossReport) -> None:
        del peer
        self.registry.record_loss_report(report.upstream_id, report.born_ms)

    async def _on_times_request(
        self, peer: str, request: RouteTimesRequest
    ) -> RouteTimes:
        del peer, request
        return RouteTimes(revision=self._revision, times=self._route_times)

    async def _on_request(self, peer: str, request: FeedRequest) -> FeedAnswer:
        self._subscribers.record_request(peer, request.data_centre, request.is_stopping)
        self._record_revision(peer, request.revision)
        hold_s = min(request.hold_ms / 1000, MAX_HOLD_S)
        await self._change_notifier.wait_for(lambda: self._has_update(request), hold_s)
        is_same_epoch = request.epoch == self._epoch
        page = self.registry.page_after(
            request.position if is_same_epoch else 0, MAX_STARTS_PER_ANSWER
        )
        is_table_due = request.wants_table and self._revision > request.revision
        return FeedAnswer(
            epoch=self._epoch,
            position=page.position,
            is_first=not is_same_epoch,
            is_settled=self.registry.is_settled and page.is_last,
            news=page.news,
            revision=self._revision,
            table=self._table if is_table_due else b"",
            controls=(self._channel.name, *self._controls()),
            entry_count=len(self._subscribers),
        )

    def _record_revision(self, peer: str, revision: int) -> None:
        """Record the revision of an entry instance; measure each change once."""
        previous = self._reported_revisions.get(peer)
        self._reported_revisions[peer] = revision
        if previous is not None and previous < revision == self._revision:
            self.propagation_delay_s.observe(
                self._clock.monotonic_s() - self._published_s
            )
        if len(self._reported_revisions) > MAX_MEASURED_INSTANCES:
            del self._reported_revisions[next(iter(self._reported_revisions))]

    def _has_update(self, request: FeedRequest) -> bool:
        if request.epoch != self._epoch:
            return True
        if request.wants_table and self._revision > request.revision:
            return True
        return self.registry.position > request.position
