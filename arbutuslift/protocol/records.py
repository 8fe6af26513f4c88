"""Codec of the records that gossip carries."""

from typing import Any

import attrs
import cattrs
import msgpack

from ..errors import MessageError
from .strict import make_strict_converter

# Fields are sent in order and without names. A newer version may append fields;
# those are ignored here.
_converter = make_strict_converter(forbid_extra_keys=False)


def encode_record(record: Any) -> bytes:
    """Return a record as bytes."""
    return msgpack.packb(list(_converter.unstructure(record).values()))


def decode_record(body: bytes, record_class: type) -> Any:
    """Return the record in ``body``.

    Raises:
        MessageError: Malformed.
    """
    try:
        values = msgpack.unpackb(body)
        if not isinstance(values, list):
            raise TypeError("not a list")
        names = (field.name for field in attrs.fields(record_class))
        return _converter.structure(
            dict(zip(names, values, strict=False)), record_class
        )
    except (
        cattrs.BaseValidationError,
        msgpack.UnpackException,
        ArithmeticError,
        AttributeError,
        IndexError,
        TypeError,
        ValueError,
    ) as error:
        raise MessageError(f"malformed: {error!r}", step="decode record") from error
