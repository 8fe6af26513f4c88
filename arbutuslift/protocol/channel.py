"""Typed messages over a bus."""

from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import structlog

from ..errors import ArbutusliftError, MessageError, PeerFailure
from ..state.fieldcodec import dropped_items
from ..transport.bus import Bus
from .messages import Failure, Message, decode, encode

# Prefix of the names of operators' clients. With CURVE a name is bound to a key, so
# the owner of an operator's key can't act as an instance.
OPERATOR_PREFIX = "operator-"

_log = structlog.get_logger()

MessageHandler = Callable[[str, Any], Awaitable[Message | None]]


class Channel:
    """Sends typed messages and calls the handler registered for a class.

    Args:
        bus: Carries the bytes; the channel replaces its handler.

    Attributes:
        refusals: Number of messages and records that couldn't be encoded or decoded,
            by kind.
    """

    def __init__(self, bus: Bus) -> None:
        self.refusals: Counter[str] = Counter()
        self._bus = bus
        self._handlers: dict[type[Message], MessageHandler] = {}
        self._permitted_to_operators: set[type[Message]] = set()
        bus.handler = self._handle

    @property
    def name(self) -> str:
        """Name of this process."""
        return self._bus.name

    def register_handler(
        self,
        message_class: type[Message],
        handler: MessageHandler,
        *,
        for_operators: bool = False,
    ) -> None:
        """Set the handler of a message class.

        Args:
            message_class: Class of the messages.
            handler: Called with the sender's name and the message; its result is
                the answer.
            for_operators: Whether operators may send such messages.
        """
        self._handlers[message_class] = handler
        if for_operators:
            self._permitted_to_operators.add(message_class)

    def connect(self, peer: str, endpoint: str) -> None:
        """Set the endpoint of a peer."""
        self._bus.connect(peer, endpoint)

    async def request(self, peer: str, message: Message, timeout_s: float) -> Message:
        """Send a request and return the answer.

        Raises:
            PeerTimeout: No answer in time; whether the peer acted is unknown.
            PeerFailure: The peer's handler raised an error.
            MessageError: The request can't be encoded, or the answer is malformed.
        """
        body = await self._bus.request(peer, self._encode(message), timeout_s)
        answer = self._decode(peer, body)
        if isinstance(answer, Failure):
            raise PeerFailure(answer.reason, step=answer.step, peer=peer)
        return answer

    async def send(self, peer: str, message: Message) -> None:
        """Send a message that needs no answer.

        One that can't be encoded is lost, as it may be on the way.
        """
        try:
            body = self._encode(message)
        except MessageError as error:
            _log.error("message_not_sent", peer=peer, reason=error.message)
            return
        await self._bus.send(peer, body)

    def _encode(self, message: Message) -> bytes:
        try:
            return encode(message)
        except MessageError:
            self.refusals["not_encodable"] += 1
            raise

    def _decode(self, peer: str, body: bytes) -> Message:
        dropped = dropped_items.total()
        try:
            message = decode(body)
        except MessageError:
            self.refusals["message"] += 1
            raise
        count = dropped_items.total() - dropped
        if count:
            self.refusals["record"] += count
            name = type(message).__name__
            _log.warning("records_refused", peer=peer, message=name, count=count)
        return message

    async def _handle(self, peer: str, body: bytes) -> bytes | None:
        answer = await self._answer(peer, body)
        if answer is None:
            return None
        try:
            return self._encode(answer)
        except MessageError as error:
            _log.error("message_not_sent", peer=peer, reason=error.message)
            return encode(Failure(step=error.step, reason="not encodable"))

    async def _answer(self, peer: str, body: bytes) -> Message | None:
        try:
            message = self._decode(peer, body)
            handler = self._handlers.get(type(message))
            if handler is None:
                name = type(message).__name__
                raise MessageError(f"no handler for {name}", step="handle message")
            self._check_permission(peer, type(message))
            return await handler(peer, message)
        except MessageError as error:
            # A one-way message gets no answer, so the refusal shows only in the log.
            _log.warning(
                "message_refused", peer=peer, step=error.step, reason=error.message
            )
            return Failure(step=error.step, reason=error.message)
        except ArbutusliftError as error:
            return Failure(step=error.step, reason=error.message)

    def _check_permission(self, peer: str, message_class: type[Message]) -> None:
        is_operator = peer.startswith(OPERATOR_PREFIX)
        if is_operator and message_class not in self._permitted_to_operators:
            raise MessageError(
                f"operators may not send {message_class.__name__}",
                step="handle message",
                peer=peer,
            )
