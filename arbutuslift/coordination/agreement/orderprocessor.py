"""Orders of operators: merged into the agreed state, several in one revision."""

import asyncio
import random
import secrets

import structlog
from attrs import frozen

from ...clock import Clock
from ...errors import ConfigurationConflict, NoQuorum, OutcomeUnknown
from ...state.agreedstate import AgreedState, Order, apply_order
from ...state.configuration import StoredRevision, Submission
from .store import ConfigurationStore

# Two instances that lose against each other wait for a random part of this.
RETRY_S = 0.02
MAX_ATTEMPTS = 20
AUTHOR = "order"

_log = structlog.get_logger()


@frozen(kw_only=True)
class _Waiting:
    order: Order
    done: "asyncio.Future[int]"


class OrderProcessor:
    """Accepts orders, once each is agreed on.

    Orders that arrive while others are under way share the next revision. An order
    that the agreed state already meets is acknowledged after a confirmed read.

    Args:
        store: The agreed revisions.
        clock: Source of time.
    """

    def __init__(self, store: ConfigurationStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._rng = random.Random()
        self._waiting: list[_Waiting] = []
        self._wake = asyncio.Event()

    async def submit(self, order: Order) -> int:
        """Return the revision that holds the order.

        Raises:
            NoQuorum: Not accepted as far as known; a resend tells.
            OutcomeUnknown: Other instances won every attempt.
        """
        done = asyncio.get_running_loop().create_future()
        self._waiting.append(_Waiting(order=order, done=done))
        self._wake.set()
        return await done

    async def current(self) -> AgreedState:
        """Return the newest agreed state, confirmed by a quorum.

        Raises:
            NoQuorum: No quorum confirmed it.
        """
        return _state_of(await self._store.current())

    async def run(self) -> None:
        """Work on orders until cancelled; those that wait then fail."""
        batch: list[_Waiting] = []
        try:
            while True:
                await self._wake.wait()
                self._wake.clear()
                batch, self._waiting = self._waiting, []
                await self._decide(batch)
        finally:
            error = NoQuorum("the order desk is closed", step="agree")
            _finish([*batch, *self._waiting], error)

    async def _decide(self, batch: list[_Waiting]) -> None:
        try:
            revision = await self._agree([item.order for item in batch])
        except (NoQuorum, OutcomeUnknown) as error:
            _log.warning("orders_failed", count=len(batch), reason=str(error))
            _finish(batch, error)
        else:
            _finish(batch, revision)

    async def _agree(self, orders: list[Order]) -> int:
        for _ in range(MAX_ATTEMPTS):
            stored = await self._store.current()
            before = _state_of(stored)
            after = before
            for order in orders:
                after = apply_order(order, after)
            if after == before:
                return stored.revision if stored else 0
            try:
                return await self._propose(after, stored)
            except ConfigurationConflict:
                await self._clock.sleep(self._rng.random() * RETRY_S)
        raise OutcomeUnknown("other instances won every attempt", step="agree")

    async def _propose(self, state: AgreedState, stored: StoredRevision | None) -> int:
        submission = Submission(
            document=state.encode(),
            expected_revision=stored.revision if stored else 0,
            request_id=secrets.token_hex(8),
            author=AUTHOR,
            submitted_at_s=self._clock.wall_s(),
        )
        accepted = await self._store.submit(submission)
        _log.info(
            "orders_accepted",
            revision=accepted.revision,
            version=state.version,
            out_of_service=",".join(state.out_of_service),
        )
        return accepted.revision


def _state_of(stored: StoredRevision | None) -> AgreedState:
    return AgreedState.decode(stored.submission.document) if stored else AgreedState()


def _finish(batch: list[_Waiting], outcome: int | Exception) -> None:
    for item in batch:
        if item.done.done():
            continue
        if isinstance(outcome, Exception):
            item.done.set_exception(outcome)
        else:
            item.done.set_result(outcome)
