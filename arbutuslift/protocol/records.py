"""Codec of the records that gossip carries.

A newer version of the software may append fields; unknown ones are ignored.
"""

from typing import Any

import msgpack

from ..errors import MessageError
from ..state.fieldcodec import from_row, to_row


def encode_record(record: Any) -> bytes:
    """Return a record as bytes."""
    return msgpack.packb(to_row(record))


def decode_record(body: bytes, record_class: type) -> Any:
    """Return the record in ``body``.

    Raises:
        MessageError: The body is malformed.
    """
    try:
        return from_row(msgpack.unpackb(body), record_class, ignores_extra_values=True)
    except (
        msgpack.UnpackException,
        ArithmeticError,
        TypeError,
        ValueError,
    ) as error:
        raise MessageError(f"malformed: {error!r}", step="decode record") from error
