"""Guards against load messages that are too large or change on their way."""

import zlib

import pytest

from arbutuslift.errors import MessageError
from arbutuslift.protocol.loads import CompressedLoad, LoadTotals, compress, expand
from arbutuslift.protocol.messages import MAX_MESSAGE_BYTES, encode

from ..builders import (
    load_report,
    load_summary,
    service_demand,
    service_load,
    upstream_load,
)

DATA_CENTRES = ("north-a", "north-b", "north-c")


def busy_load(number, share):
    return upstream_load(
        number,
        upstream_id=f"i-{number * 2654435761 % 2**40:010x}",
        born_ms=1_773_323_991_688 + number * 7919,
        outstanding=number * share / 7,
        answered=number % 13,
        response_sum_ms=number % 13 * 61,
    )


def busy_row(service, data_centre):
    return service_load(
        service=service,
        data_centre=data_centre,
        outstanding=11 / 7,
        demand_outstanding=12 / 7,
        arrivals_per_s=1000 / 7,
        response_ms=400 / 7,
        age_ms=900,
    )


SERVICES = tuple(
    busy_row(name, dc) for name in ("alerts", "claims") for dc in DATA_CENTRES
)
MESSAGES = [
    load_report(upstreams=(upstream_load(outstanding=0.5),)),
    load_summary(services=SERVICES[:1]),
    LoadTotals(services=SERVICES),
]


@pytest.mark.parametrize("message", MESSAGES)
def test_a_message_survives_up_to_the_rounding_of_its_numbers(message):
    once = expand(compress(message))
    assert type(once) is type(message)
    assert expand(compress(once)) == once
    for sent, received in zip(message.services, once.services, strict=True):
        assert abs(sent.outstanding - received.outstanding) <= 1 / 2048


def test_an_instance_spends_at_most_2_kb_a_second_on_its_load():
    """Guards against reports that slow an entry instance with a link of 1.4 Mbit/s.

    A report on all 25 upstreams of a data centre of the larger customer, and its
    answer.
    """
    report = load_report(
        1_773_323_991_688,
        upstreams=tuple(busy_load(n, 0.01) for n in range(25)),
        services=(service_demand(outstanding=1 / 7), service_demand(service="claims")),
    )
    summary = load_summary(
        upstreams=tuple(busy_load(n, 0.3) for n in range(25)), services=SERVICES
    )
    sizes = [len(encode(compress(message))) for message in (report, summary)]
    assert sum(sizes) <= 2000


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"not compressed",
        zlib.compress(b"x")[:-1],
        zlib.compress(b"x"),
        zlib.compress(bytes(MAX_MESSAGE_BYTES + 1)),
    ],
)
def test_a_malformed_or_huge_body_is_refused(body):
    with pytest.raises(MessageError):
        expand(CompressedLoad(body=body))
