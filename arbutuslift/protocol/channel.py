"""Typed messages over a bus."""

from collections.abc import Awaitable, Callable
from typing import Any

import structlog

from ..errors import ArbutusliftError, MessageError, PeerFailure
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
    """

    def __init__(self, bus: Bus) -> None:
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
            MessageError: The answer is malformed.
        """
        answer = decode(await self._bus.request(peer, encode(message), timeout_s))
        if isinstance(answer, Failure):
            raise PeerFailure(answer.reason, step=answer.step, peer=peer)
        return answer

    async def send(self, peer: str, message: Message) -> None:
        """Send a message that needs no answer."""
        await self._bus.send(peer, encode(message))

    async def _handle(self, peer: str, body: bytes) -> bytes | None:
        try:
            message = decode(body)
            handler = self._handlers.get(type(message))
            if handler is None:
                name = type(message).__name__
                raise MessageError(f"no handler for {name}", step="handle message")
            self._check_permission(peer, type(message))
            answer = await handler(peer, message)
        except MessageError as error:
            # A one-way message gets no answer, so the refusal shows only in the log.
            _log.warning(
                "message_refused", peer=peer, step=error.step, reason=error.message
            )
            answer = Failure(step=error.step, reason=error.message)
        except ArbutusliftError as error:
            answer = Failure(step=error.step, reason=error.message)
        return encode(answer) if answer is not None else None

    def _check_permission(self, peer: str, message_class: type[Message]) -> None:
        is_operator = peer.startswith(OPERATOR_PREFIX)
        if is_operator and message_class not in self._permitted_to_operators:
            raise MessageError(
                f"operators may not send {message_class.__name__}",
                step="handle message",
                peer=peer,
            )
