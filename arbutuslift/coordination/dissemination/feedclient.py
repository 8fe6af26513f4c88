"""Entry side of the feed: follows several control instances at once."""

import asyncio
from collections.abc import Callable

import structlog

from ...clock import Clock
from ...errors import ArbutusliftError, MessageError
from ...protocol.channel import Channel
from ...protocol.feed import FeedAnswer, FeedRequest, LossReport

# Three control instances in different places: the news of any one of them is enough.
SUBSCRIPTIONS = 3
HOLD_S = 1.0
# An answer is due after HOLD_S; the rest is the way and a busy processor.
ANSWER_TIMEOUT_S = 2.0
RETRY_S = 0.2
FAILURES_TO_MOVE = 2
MAX_KNOWN = 64
TURN_INTERVAL_S = 0.15
TURN_TIMEOUT_S = 0.4

_log = structlog.get_logger()

AnswerCallback = Callable[[str, FeedAnswer], None]


class FeedClient:
    """Keeps subscriptions to control instances.

    Args:
        channel: Reaches them by name.
        clock: Source of time.
        seeds: Names to begin with.
        data_centre: Where this instance runs.
        revision: Returns the revision of the routing table in force.
        on_answer: Takes each answer, with the name of its sender.
        on_lost: Called with the name of an instance that doesn't answer.
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
        self._known: dict[str, None] = dict.fromkeys(seeds)
        self._followed: set[str] = set()
        self._table_source = ""

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take new seeds from changed settings."""
        self._learn(seeds)

    async def wait_for_stop_permit(self, limit_s: float) -> bool:
        """Wait until this instance may stop; return whether its turn came in time.

        All instances ask the same control instance first, so that one keeps the turns.
        """
        end_s = self._clock.monotonic_s() + limit_s
        names = sorted(self._known)
        while self._clock.monotonic_s() < end_s and names:
            try:
                if await self._ask_turn(names[0]):
                    return True
            except ArbutusliftError as error:
                _log.info("turn_not_answered", peer=names[0], reason=str(error))
                names.append(names.pop(0))
            await self._clock.sleep(TURN_INTERVAL_S)
        return False

    def set_stopping(self) -> None:
        """Tell control instances from now on that this instance stops."""
        self._is_stopping = True

    async def report_loss(self, upstream_id: str, born_ms: int) -> None:
        """Tell the followed control instances that an upstream can't be reached."""
        report = LossReport(upstream_id=upstream_id, born_ms=born_ms)
        for name in sorted(self._followed):
            await self._channel.send(name, report)

    async def _ask_turn(self, name: str) -> bool:
        from ...protocol.stopping import StopAnswer, StopRequest

        request = StopRequest(data_centre=self._data_centre)
        answer = await self._channel.request(name, request, TURN_TIMEOUT_S)
        return isinstance(answer, StopAnswer) and answer.is_turn

    async def run(self) -> None:
        """Follow control instances until cancelled."""
        async with asyncio.TaskGroup() as group:
            for _ in range(SUBSCRIPTIONS):
                group.create_task(self._subscribe())

    async def _subscribe(self) -> None:
        while True:
            name = self._next_name()
            if name is None:
                await self._clock.sleep(RETRY_S)
                continue
            self._followed.add(name)
            try:
                await self._follow(name)
            finally:
                self._followed.discard(name)
                self._on_lost(name)

    def _next_name(self) -> str | None:
        free = [name for name in self._known if name not in self._followed]
        if not free:
            return None
        # The one that failed last is tried last.
        self._known[free[0]] = self._known.pop(free[0])
        return free[0]

    async def _follow(self, name: str) -> None:
        """Ask again and again until the instance stops answering."""
        epoch = position = failures = 0
        is_behind = False
        while failures < FAILURES_TO_MOVE:
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
                answer = await self._ask(name, request)
            except ArbutusliftError as error:
                failures += 1
                _log.info("feed_failed", peer=name, reason=str(error))
                if self._table_source == name:
                    self._table_source = ""
                await self._clock.sleep(RETRY_S)
                continue
            if epoch != answer.epoch:
                _log.info("feed_followed", peer=name, revision=answer.revision)
            failures = 0
            epoch, position = answer.epoch, answer.position
            self._learn(answer.controls)
            self._on_answer(name, answer)
            is_behind = answer.revision > self._revision()

    async def _ask(self, name: str, request: FeedRequest) -> FeedAnswer:
        answer = await self._channel.request(name, request, ANSWER_TIMEOUT_S)
        if not isinstance(answer, FeedAnswer):
            raise MessageError("not a FeedAnswer", step="follow feed", peer=name)
        return answer

    def _learn(self, names: tuple[str, ...]) -> None:
        for name in names:
            self._known.setdefault(name, None)
        while len(self._known) > MAX_KNOWN:
            del self._known[next(iter(self._known))]
