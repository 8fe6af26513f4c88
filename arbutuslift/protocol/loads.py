"""Messages by which instances share their load.

They are sent compressed: a summary of 26 upstreams would take most of the 2 KB that an
entry instance may spend on load in a second.
"""

import zlib
from typing import Any

import msgpack
from attrs import fields, frozen

from ..errors import MessageError
from ..state.fieldcodec import to_row
from ..state.loadfigures import ServiceDemand, ServiceLoad, UpstreamLoad
from .messages import MAX_MESSAGE_BYTES, Message, decode, register

STEP = "check load"
# An instance that was suspended reports its first interval afterwards as a whole.
MAX_INTERVAL_MS = 24 * 3600 * 1000
# Largest number of upstreams to design for.
MAX_ROWS = 50_000
MAX_NAME_CHARACTERS = 256
# Larger than the present time in ms since the Unix epoch, about 2**41. The sum of such
# values over all instances still fits into the 64 bits of an encoded integer.
MAX_VALUE = 2**48

# Numbers are sent as multiples of 1/1024, whose zero bytes compress well.
FRACTION = 1024
_COMPRESSION_LEVEL = 1

Row = UpstreamLoad | ServiceDemand | ServiceLoad


@register
@frozen(kw_only=True)
class LoadReport(Message):
    """Reports the load at an entry instance; the answer is a LoadSummary.

    Attributes:
        sequence: Orders the reports of one instance, also across its restarts.
        interval_ms: Length of the interval that the figures cover.
        data_centre: Data centre of the instance.
        upstreams: Load of the upstreams that have something to report.
        services: Demand for services at this instance.
    """

    sequence: int
    interval_ms: int
    data_centre: str
    upstreams: tuple[UpstreamLoad, ...]
    services: tuple[ServiceDemand, ...]


@register
@frozen(kw_only=True)
class LoadSummary(Message):
    """Answers a LoadReport with the sums of all reports.

    Attributes:
        instances: Instances of the requester's data centre that report.
        upstreams: Sums for the upstreams that the requester reported, and for others of
            its data centre, the busiest ones if there are many.
        services: Load of services in all data centres.
    """

    instances: int
    upstreams: tuple[UpstreamLoad, ...]
    services: tuple[ServiceLoad, ...]


@register
@frozen(kw_only=True)
class LoadTotals(Message):
    """Sends the load of data centres to another control instance.

    Attributes:
        services: Load of services in the data centres that report to the sender.
    """

    services: tuple[ServiceLoad, ...]


@register
@frozen(kw_only=True)
class CompressedLoad(Message):
    """Carries one of the messages above; the answer to a report is one as well.

    Attributes:
        body: The encoded message, compressed.
    """

    body: bytes


def compress(message: Message) -> CompressedLoad:
    """Return a message in compressed form, its numbers rounded."""
    content = [type(message).__name__, _rounded(to_row(message))]
    return CompressedLoad(
        body=zlib.compress(msgpack.packb(content), _COMPRESSION_LEVEL)
    )


def expand(compressed: CompressedLoad) -> Message:
    """Return the message in compressed form.

    Raises:
        MessageError: The body is malformed or too large.
    """
    try:
        expander = zlib.decompressobj()
        body = expander.decompress(compressed.body, MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise MessageError(f"malformed: {error}", step=STEP) from error
    if not expander.eof:
        raise MessageError(
            f"truncated or over {MAX_MESSAGE_BYTES} bytes expanded", step=STEP
        )
    return decode(body)


def _rounded(value: Any) -> Any:
    if type(value) is list:
        return [_rounded(item) for item in value]
    if type(value) is float:
        return round(value * FRACTION) / FRACTION
    return value


def check_report(report: LoadReport) -> None:
    """Check the values of a report; the codec has checked their types.

    Raises:
        MessageError: A value is out of range, or there are too many rows.
    """
    if report.sequence < 0:
        raise MessageError(f"sequence {report.sequence}", step=STEP)
    if not 0 < report.interval_ms <= MAX_INTERVAL_MS:
        raise MessageError(f"interval_ms {report.interval_ms}", step=STEP)
    if not 0 < len(report.data_centre) <= MAX_NAME_CHARACTERS:
        raise MessageError("empty or too long data_centre", step=STEP)
    _check_rows(report.upstreams)
    _check_rows(report.services)


def check_totals(totals: LoadTotals) -> None:
    """Check the values of totals; the codec has checked their types.

    Raises:
        MessageError: A value is out of range, or there are too many rows.
    """
    _check_rows(totals.services)


def check_summary(summary: LoadSummary) -> None:
    """Check the values of a summary; the codec has checked their types.

    Raises:
        MessageError: A value is out of range, or there are too many rows.
    """
    if summary.instances < 0:
        raise MessageError(f"instances {summary.instances}", step=STEP)
    _check_rows(summary.upstreams)
    _check_rows(summary.services)


def _check_rows(rows: tuple[Row, ...]) -> None:
    if len(rows) > MAX_ROWS:
        raise MessageError(f"{len(rows)} rows, more than {MAX_ROWS}", step=STEP)
    for row in rows:
        for field in fields(type(row)):
            value = getattr(row, field.name)
            is_text = isinstance(value, str)
            least, largest = (1, MAX_NAME_CHARACTERS) if is_text else (0, MAX_VALUE)
            if not least <= (len(value) if is_text else value) <= largest:
                shown = str(value)[:MAX_NAME_CHARACTERS]
                raise MessageError(f"{field.name} {shown} out of range", step=STEP)
