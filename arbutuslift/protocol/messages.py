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
        step: The step at which the error arose.
        reason: What went wrong.
    """

    step: str
    reason: str


def register(message_class: M) -> M:
    """Class decorator: make a message class known to the codec.

    Raises:
        MessageError: Another class has the same name, by which messages are decoded.
    """
    name = message_class.__name__
    known = _classes.setdefault(name, message_class)
    if known is not message_class:
        reason = f"{name} of {message_class.__module__} is also in {known.__module__}"
        raise MessageError(reason, step="register message")
    return message_class


register(Failure)


def encode(message: Message) -> bytes:
    """Return the message as bytes."""
    name = type(message).__name__
    return msgpack.packb([name, to_row(message)])


def decode(body: bytes) -> Message:
    """Return the message in ``body``.

    Raises:
        MessageError: Too large, malformed or of an unknown class.
    """
    if len(body) > MAX_MESSAGE_BYTES:
        raise MessageError(f"{len(body)} bytes", step="decode message")
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
