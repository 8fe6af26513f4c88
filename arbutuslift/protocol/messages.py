"""Codec of typed messages between the system's processes."""

from typing import TypeVar

import msgpack
from attrs import frozen

from ..errors import MessageError
from ..state.fieldcodec import from_row, to_row

MAX_MESSAGE_BYTES = 4 * 1024 * 1024

_classes: dict[str, type["Message"]] = {}

M = TypeVar("M", bound=type)


@frozen
class Message:
    """Base of all messages."""


@frozen(kw_only=True)
class Failure(Message):
    """Answer of a handler that raised an error.

    Attributes:
        step: The step that failed.
        reason: Description of the error.
    """

    step: str
    reason: str


def register(message_class: M) -> M:
    """Register a message class with the codec; used as a class decorator.

    Raises:
        MessageError: Another class has the same name. Names must be unique because
            messages are decoded by the name of their class.
    """
    name = message_class.__name__
    registered = _classes.setdefault(name, message_class)
    if registered is not message_class:
        reason = (
            f"{name} of {message_class.__module__} is also in {registered.__module__}"
        )
        raise MessageError(reason, step="register message")
    return message_class


register(Failure)


def encode(message: Message) -> bytes:
    """Return the message as bytes.

    Raises:
        MessageError: A value can't be encoded, such as a number of more than 64 bits.
    """
    name = type(message).__name__
    try:
        return msgpack.packb([name, to_row(message)])
    except (ArithmeticError, TypeError, ValueError) as error:
        message = f"{name} isn't encodable: {error!r}"
        raise MessageError(message, step="encode message") from error


def decode(body: bytes) -> Message:
    """Return the message in ``body``.

    Raises:
        MessageError: Too large, malformed or of an unknown class.
    """
    if len(body) > MAX_MESSAGE_BYTES:
        raise MessageError(
            f"{len(body)} bytes, more than {MAX_MESSAGE_BYTES}", step="decode message"
        )
    try:
        name, row = msgpack.unpackb(body)
        return from_row(row, _classes[name])
    except (
        msgpack.UnpackException,
        ArithmeticError,
        KeyError,
        TypeError,
        ValueError,
    ) as error:
        raise MessageError(f"malformed: {error!r}", step="decode message") from error
