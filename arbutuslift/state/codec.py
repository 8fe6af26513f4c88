"""Codec of stored values: attrs objects as msgpack."""

from typing import TypeVar

import msgpack

from ..errors import StorageError
from .fieldcodec import from_map, to_map

T = TypeVar("T")


def encode_value(value: object) -> bytes:
    """Return an attrs object as bytes.

    Raises:
        StorageError: A value can't be encoded, such as a number of more than 64 bits.
    """
    try:
        return msgpack.packb(to_map(value))
    except (ArithmeticError, TypeError, ValueError) as error:
        step = f"encode {type(value).__name__}"
        raise StorageError(f"not encodable: {error!r}", step=step) from error


def decode_value(body: bytes, value_class: type[T]) -> T:
    """Return the object of class ``value_class`` in ``body``.

    Raises:
        StorageError: The bytes aren't an encoded object of this class.
    """
    try:
        return from_map(msgpack.unpackb(body), value_class)
    except (
        msgpack.UnpackException,
        ArithmeticError,
        TypeError,
        ValueError,
    ) as error:
        step = f"decode {value_class.__name__}"
        raise StorageError(f"malformed: {error!r}", step=step) from error
