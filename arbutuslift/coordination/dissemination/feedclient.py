"""Entry side of the feed: subscribes to several control instances at once."""

import asyncio
from collections.abc import Callable

import structlog

from ...clock import Clock
from ...errors import ArbutusliftError, MessageError
from ...protocol.channel import Channel
from ...protocol.feed import (
    FeedAnswer,
    FeedRequest,
    LossReport,
    RouteTimes,
    RouteTimesRequest,
)

# An update from any one of three control instances in different places is enough.
SUBSCRIPTIONS = 3
HOLD_S = 1.0
# An answer is due after HOLD_S; the rest allows for network delay and a busy processor.
ANSWER_TIMEOUT_S = 2.0
RETRY_S = 0.2
MAX_FAILURES = 2
MAX_KNOWN_NAMES = 64
PERMIT_RETRY_S = 0.15
PERMIT_TIMEOUT_S = 0.4

_log = structlog.get_logger()

AnswerCallback = Callable[[str, FeedAnswer], None]


class FeedClient:
    """Maintains the subscriptions of an entry instance to control instances.

    Args:
        channel: Connection to the control instances.
        clock: Source of time.
        seeds: Names of the control instances that are known at first.
        data_centre: Data centre of this instance.
        revision: Returns the revision of the routing table in effect.
        on_answer: Called with the name of the sender and each answer.
        on_lost: Called with the name of a control instance that no longer answers.
    """

    def __init__(
        self,
        channel: Channel,
        clock: Clock,
        seeds: tuple[str, ...],
        data_centre: str,
        revision: Callable[[], int],
        on_answer: AnswerCallback,
        on_lost: Callable[[str], None],
    ) -> None:
        self._channel = channel
        self._clock = clock
        self._data_centre = data_centre
        self._is_stopping = False
        self._revision = revision
        self._on_answer = on_answer
        self._on_lost = on_lost
        self._known_names: dict[str, None] = dict.fromkeys(seeds)
        self._subscribed_names: set[str] = set()
        self._table_source = ""

    @property
    def subscribed_names(self) -> list[str]:
        """Return the names of the control instances that it subscribes to."""
        return sorted(self._subscribed_names)

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Add the seeds of changed settings."""
        self._add_known_names(seeds)

    async def wait_for_stop_permit(self, limit_s: float) -> bool:
        """Wait for a stop permit; return whether it was granted in time.

        All entry instances ask the same control instance first, so that a single one
        grants the permits.

        Args:
            limit_s: Longest time to wait.
        """
        end_s = self._clock.monotonic_s() + limit_s
        names = sorted(self._known_names)
        while self._clock.monotonic_s() < end_s and names:
            try:
                if await self._request_stop_permit(names[0]):
                    return True
            except ArbutusliftError as error:
                _log.info("turn_not_answered", peer=names[0], reason=str(error))
                names.append(names.pop(0))
            await self._clock.sleep(PERMIT_RETRY_S)
        return False

    def set_stopping(self) -> None:
        """Report in all further feed requests that this instance stops."""
        self._is_stopping = True

    async def report_loss(self, upstream_id: str, born_ms: int) -> None:
        """Send a loss report about an upstream to the subscribed control instances."""
        report = LossReport(upstream_id=upstream_id, born_ms=born_ms)
        for name in sorted(self._subscribed_names):
            await self._channel.send(name, report)

    async def request_route_times(self, name: str) -> RouteTimes | None:
        """Return the encoded times of the newest routes, None without an answer."""
        try:
            answer = await self._channel.request(
                name, RouteTimesRequest(), ANSWER_TIMEOUT_S
            )
        except ArbutusliftError as error:
            _log.info("route_times_not_answered", peer=name, reason=str(error))
            return None
        return answer if isinstance(answer, RouteTimes) else None

    async def _request_stop_permit(self, name: str) -> bool:
        from ...protocol.stopping import StopAnswer, StopRequest

        request = StopRequest(data_centre=self._data_centre)
        answer = await self._channel.request(name, request, PERMIT_TIMEOUT_S)
        return isinstance(answer, StopAnswer) and answer.is_turn

    async def run(self) -> None:
        """Maintain the subscriptions until cancelled."""
        async with asyncio.TaskGroup() as group:
            for _ in range(SUBSCRIPTIONS):
                group.create_task(self._subscribe())

    async def _subscribe(self) -> None:
        while True:
            name = self._next_name()
            if name is None:
                await self._clock.sleep(RETRY_S)
                continue
            self._subscribed_names.add(name)
            try:
                await self._poll(name)
            finally:
                self._subscribed_names.discard(name)
                self._on_lost(name)

    def _next_name(self) -> str | None:
        unsubscribed = [
            name for name in self._known_names if name not in self._subscribed_names
        ]
        if not unsubscribed:
            return None
        # Moved to the end, so that the others are tried before it is tried again.
        self._known_names[unsubscribed[0]] = self._known_names.pop(unsubscribed[0])
        return unsubscribed[0]

    async def _poll(self, name: str) -> None:
        """Send feed requests until the control instance no longer answers."""
        epoch = position = failures = 0
        is_behind = False
        while failures < MAX_FAILURES:
            if not self._table_source:
                self._table_source = name
            wants_table = is_behind or self._table_source == name
            request = FeedRequest(
                epoch=epoch,
                position=position,
                revision=self._revision(),
                wants_table=wants_table,
                hold_ms=int(HOLD_S * 1000),
                data_centre=self._data_centre,
                is_stopping=self._is_stopping,
            )
            try:
                answer = await self._request_answer(name, request)
            except ArbutusliftError as error:
                failures += 1
                _log.info("feed_failed", peer=name, reason=str(error))
                if self._table_source == name:
                    self._table_source = ""
                await self._clock.sleep(RETRY_S)
                continue
            if epoch != answer.epoch:
                _log.info("feed_followed", peer=name, revision=answer.revision)
            if not self._use(name, answer):
                failures += 1
                await self._clock.sleep(RETRY_S)
                continue
            failures = 0
            epoch, position = answer.epoch, answer.position
            self._add_known_names(answer.controls)
            is_behind = answer.revision > self._revision()

    def _use(self, name: str, answer: FeedAnswer) -> bool:
        """Return whether an answer could be used; another instance's may differ."""
        try:
            self._on_answer(name, answer)
        except Exception:
            # An answer must not end the process, nor stop it from following the feed.
            _log.exception("feed_answer_refused", peer=name, revision=answer.revision)
            if self._table_source == name:
                self._table_source = ""
            return False
        return True

    async def _request_answer(self, name: str, request: FeedRequest) -> FeedAnswer:
        answer = await self._channel.request(name, request, ANSWER_TIMEOUT_S)
        if not isinstance(answer, FeedAnswer):
            raise MessageError(
                "answer is not a FeedAnswer", step="follow feed", peer=name
            )
        return answer

    def _add_known_names(self, names: tuple[str, ...]) -> None:
        for name in names:
            self._known_names.setdefault(name, None)
        while len(self._known_names) > MAX_KNOWN_NAMES:
            del self._known_names[next(iter(self._known_names))]
