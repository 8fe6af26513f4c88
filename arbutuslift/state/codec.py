"""Codec of stored values: attrs classes as msgpack."""

from typing import TypeVar

import cattrs
import msgpack
from cattrs.preconf.msgpack import make_converter

from ..errors import StorageError

T = TypeVar("T")

_converter = make_converter(forbid_extra_keys=True)


def encode_value(value: object) -> bytes:
    """Return an attrs object as bytes."""
    return msgpack.packb(_converter.unstructure(value))


def decode_value(body: bytes, value_class: type[T]) -> T:
    """Return the object of class ``value_class`` in ``body``.

    Raises:
        StorageError: The bytes don't hold such an object.
    """
    try:
        return _converter.structure(msgpack.unpackb(body), value_class)
    except (
        cattrs.BaseValidationError,
        msgpack.UnpackException,
        AttributeError,
        KeyError,
        TypeError,
        ValueError,
    ) as error:
        step = f"decode {value_class.__name__}"
        raise StorageError(f"malformed: {error!r}", step=step) from error
