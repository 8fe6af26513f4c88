"""Processing of operators' orders: pending ones are merged into one revision.

An order that no number fences is carried out only while its sender waits for the
answer. Otherwise a process that was frozen, cut off or without a quorum would carry it
out after newer orders, which others have acknowledged since.
"""

import asyncio
import os
import random
from collections.abc import Callable

import structlog
from attrs import frozen

from ...clock import Clock
from ...errors import (
    ArbutusliftError,
    ConfigurationConflict,
    NoQuorum,
    OrderAbandoned,
    OutcomeUnknown,
)
from ...state.agreedstate import AgreedState, Order, apply_order, is_fenced
from ...state.configuration import StoredRevision, Submission
from .store import ConfigurationStore

# Upper bound of the random back-off after a conflict with another instance.
MAX_BACKOFF_S = 0.02
MAX_ATTEMPTS = 20
REQUEST_ID_BYTES = 8
AUTHOR = "order"
# Operators' clients ask another instance after a second without an answer.
SENDER_PATIENCE_S = 0.9
# The end of a connection that a partition held up arrives a round trip after the order.
SETTLING_S = 0.1

_log = structlog.get_logger()


@frozen(kw_only=True)
class OrderSender:
    """The client that sent an order.

    Attributes:
        arrived_s: Earliest time at which the order can have arrived here, on the clock
            that includes time in suspend.
        is_connected: Returns whether the client hasn't closed its connection.
    """

    arrived_s: float
    is_connected: Callable[[], bool]

    def is_waiting(self, now_s: float) -> bool:
        """Return whether the client still waits for the answer."""
        return now_s - self.arrived_s < SENDER_PATIENCE_S and self.is_connected()


@frozen(kw_only=True)
class _PendingOrder:
    order: Order
    sender: OrderSender | None
    revision_future: "asyncio.Future[int]"

    def is_obsolete(self, now_s: float) -> bool:
        """Return whether newer orders may have been acknowledged since."""
        if self.sender is None or is_fenced(self.order):
            return False
        return not self.sender.is_waiting(now_s)


class OrderProcessor:
    """Applies orders to the agreed state and acknowledges them once accepted.

    Orders that arrive while others are being processed share the next revision. An
    order that wouldn't change the agreed state is acknowledged after a read that a
    quorum confirmed.

    Args:
        store: Store of the agreed revisions.
        clock: Source of time.
    """

    def __init__(self, store: ConfigurationStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._rng = random.Random()
        self._pending: list[_PendingOrder] = []
        self._has_pending = asyncio.Event()

    async def submit(self, order: Order, sender: OrderSender | None = None) -> int:
        """Return the revision that holds the order.

        Args:
            order: The order.
            sender: The client that waits for the answer; None for one that does until
                the end.

        Raises:
            OrderAbandoned: No number fences the order, and its sender has given up.
            NoQuorum: The outcome is unknown; repeating the order returns it.
            OutcomeUnknown: Every attempt conflicted with another instance.
            StorageError: This member can't write; the outcome is unknown.
        """
        if sender is not None and not is_fenced(order):
            await self._clock.sleep(SETTLING_S)
        revision_future = asyncio.get_running_loop().create_future()
        self._pending.append(
            _PendingOrder(order=order, sender=sender, revision_future=revision_future)
        )
        self._has_pending.set()
        return await revision_future

    async def current(self) -> AgreedState:
        """Return the newest agreed state, confirmed by a quorum.

        Raises:
            NoQuorum: No quorum confirmed it.
        """
        return _state_of(await self._store.current())

    async def run(self) -> None:
        """Process orders until cancelled; orders pending then fail with NoQuorum."""
        batch: list[_PendingOrder] = []
        try:
            while True:
                await self._has_pending.wait()
                self._has_pending.clear()
                batch, self._pending = self._pending, []
                await self._process(batch)
        finally:
            error = NoQuorum("the order processor is closed", step="agree")
            _complete([*batch, *self._pending], error)

    async def _process(self, batch: list[_PendingOrder]) -> None:
        try:
            revision = await self._merge_and_submit(batch)
        except ArbutusliftError as error:
            # Such as a full disk of this member: another one takes the order.
            _log.warning("orders_failed", count=len(batch), reason=str(error))
            _complete(batch, error)
        except Exception as error:
            # An order must not end the processing of those that follow.
            _log.exception("orders_failed", count=len(batch))
            _complete(batch, OutcomeUnknown(repr(error), step="agree"))
        else:
            _complete(batch, revision)

    async def _merge_and_submit(self, batch: list[_PendingOrder]) -> int:
        for _ in range(MAX_ATTEMPTS):
            stored = await self._store.current()
            # Checked after the read: what was acknowledged before it is in the state,
            # and a sender that still waits has sent nothing since.
            self._abandon_obsolete(batch)
            before = _state_of(stored)
            after = before
            for item in batch:
                if not item.revision_future.done():
                    after = apply_order(item.order, after)
            if after == before:
                return stored.revision if stored else 0
            try:
                return await self._submit_state(after, stored)
            except ConfigurationConflict:
                await self._clock.sleep(self._rng.random() * MAX_BACKOFF_S)
        raise OutcomeUnknown(
            "every attempt conflicted with another instance", step="agree"
        )

    def _abandon_obsolete(self, batch: list[_PendingOrder]) -> None:
        now_s = self._clock.boottime_s()
        for item in batch:
            if item.revision_future.done() or not item.is_obsolete(now_s):
                continue
            age_s = now_s - item.sender.arrived_s
            _log.warning(
                "order_abandoned", order=repr(item.order), age_s=round(age_s, 3)
            )
            error = OrderAbandoned("its sender no longer waits", step="agree")
            item.revision_future.set_exception(error)

    async def _submit_state(
        self, state: AgreedState, stored: StoredRevision | None
    ) -> int:
        submission = Submission(
            document=state.encode(),
            expected_revision=stored.revision if stored else 0,
            request_id=os.urandom(REQUEST_ID_BYTES).hex(),
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


def _complete(batch: list[_PendingOrder], outcome: int | Exception) -> None:
    for item in batch:
        if item.revision_future.done():
            continue
        if isinstance(outcome, Exception):
            item.revision_future.set_exception(outcome)
        else:
            item.revision_future.set_result(outcome)
