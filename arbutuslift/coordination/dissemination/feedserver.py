"""Control side of the feed: answers entry instances, shares with other controls."""

from collections.abc import Callable

import structlog

from ...clock import Clock
from ...errors import MessageError
from ...histograms import Histogram, doubling_bounds
from ...protocol.channel import Channel
from ...protocol.feed import FeedAnswer, FeedRequest, LossReport
from ...protocol.messages import Message
from ...protocol.sharing import StartDigest, StartsWanted, StartUpdate
from ...state.routingtable import RoutingTable, encode_table
from ..concurrency import ChangeNotifier
from .startregistry import StartRegistry
from .subscribers import Subscribers

MAX_HOLD_S = 2.0
# About 15 KB, which take 60 ms on a link of 2 Mbit/s: the first upstreams can be used
# before the last ones have come, and no answer is late.
MAX_STARTS_PER_ANSWER = 200
SHARE_INTERVAL_S = 0.5
# Comparison repairs what an update that was lost left out.
COMPARE_INTERVAL_S = 3.0

# Entry instances whose revision is remembered, several times as many as there are.
MAX_MEASURED = 5000

_log = structlog.get_logger()


class FeedServer:
    """Answers feed requests as soon as there is something new.

    Args:
        channel: Its handlers are set here.
        clock: Source of time.
        epoch: Number of this process, which no other process of its name has.
        interval_s: Time between two announcements of an upstream.
        controls: Returns the names of the other control instances.

    Attributes:
        registry: Starts of upstreams.
        propagation_delay_s: Time from the publication of a routing table until each
            entry instance asks with it in effect, 1 ms to 33 s.
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
        self._changed = ChangeNotifier(clock)
        self._revision = 0
        self._table = b""
        self._published_s = clock.monotonic_s()
        self._in_effect: dict[str, int] = {}
        self.propagation_delay_s = Histogram(doubling_bounds(0.001, 16))
        self._compared_s = float("-inf")
        self._followers = Subscribers(channel, clock)
        self.registry = StartRegistry(clock, interval_s, self._changed.notify)
        channel.on(FeedRequest, self._on_request)
        channel.on(StartUpdate, self._on_update)
        channel.on(StartDigest, self._on_digest)
        channel.on(StartsWanted, self._on_wanted)
        channel.on(LossReport, self._on_loss)

    def publish(self, table: RoutingTable) -> None:
        """Offer a newer routing table."""
        if table.revision > self._revision:
            self._table = encode_table(table)
            self._revision = table.revision
            self._published_s = self._clock.monotonic_s()
            self._changed.notify()

    @property
    def subscriber_count(self) -> int:
        """Return the number of entry instances that follow."""
        return len(self._followers)

    async def run(self) -> None:
        """Check for silence and share with the other controls until cancelled."""
        while True:
            await self._changed.wait_for(
                lambda: self.registry.has_unshared, SHARE_INTERVAL_S
            )
            self.registry.check_silence()
            await self._share()

    async def _share(self) -> None:
        update = StartUpdate(
            news=self.registry.pop_unshared(), heard=self.registry.pop_announced()
        )
        if update.news or update.heard:
            await self._send_to_all(update)
        now_s = self._clock.monotonic_s()
        if now_s - self._compared_s >= COMPARE_INTERVAL_S:
            self._compared_s = now_s
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
        news = self.registry.starts_in_buckets(frozenset(message.buckets))
        if news:
            await self._channel.send(peer, StartUpdate(news=news, heard=()))

    async def _on_update(self, peer: str, update: StartUpdate) -> None:
        del peer
        self.registry.receive(update.news, update.heard)

    async def _on_loss(self, peer: str, report: LossReport) -> None:
        del peer
        self.registry.record_loss_report(report.upstream_id, report.born_ms)

    async def _on_request(self, peer: str, request: FeedRequest) -> FeedAnswer:
        self._followers.record_request(peer, request.data_centre, request.is_stopping)
        self._note_in_effect(peer, request.revision)
        hold_s = min(request.hold_ms / 1000, MAX_HOLD_S)
        await self._changed.wait_for(lambda: self._has_news(request), hold_s)
        known = request.epoch == self._epoch
        page = self.registry.page_after(
            request.position if known else 0, MAX_STARTS_PER_ANSWER
        )
        newer = request.wants_table and self._revision > request.revision
        return FeedAnswer(
            epoch=self._epoch,
            position=page.position,
            is_first=not known,
            is_settled=self.registry.is_settled and page.is_last,
            news=page.news,
            revision=self._revision,
            table=self._table if newer else b"",
            controls=(self._channel.name, *self._controls()),
            entry_count=len(self._followers),
        )

    def _note_in_effect(self, peer: str, revision: int) -> None:
        """Measure how long a change took, once for each entry instance."""
        before = self._in_effect.get(peer)
        self._in_effect[peer] = revision
        if before is not None and before < revision == self._revision:
            self.propagation_delay_s.observe(
                self._clock.monotonic_s() - self._published_s
            )
        if len(self._in_effect) > MAX_MEASURED:
            del self._in_effect[next(iter(self._in_effect))]

    def _has_news(self, request: FeedRequest) -> bool:
        if request.epoch != self._epoch:
            return True
        if request.wants_table and self._revision > request.revision:
            return True
        return self.registry.position > request.position
