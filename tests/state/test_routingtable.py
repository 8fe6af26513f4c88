"""Guards against a routing table that changes in transit or crashes its receiver."""

import zlib

import msgpack
import pytest

from arbutuslift.errors import StorageError
from arbutuslift.state.routingtable import (
    decode_table,
    encode_route_times,
    encode_table,
    with_route_times,
)

from ..builders import route, routing_table


def test_a_decoded_table_equals_the_encoded_one():
    table = routing_table(
        3,
        (route(1), route(2, ("alerts", "claims"))),
        out_of_service=frozenset({"dc-2"}),
        idle_timeout_s=1.5,
    )
    assert decode_table(encode_table(table)) == table


def test_times_of_routes_are_kept_beside_the_table():
    """Guards against a table that entry instances of earlier versions can't read."""
    table = routing_table(3, (route(1), route(2, aim_s=0.3, timeout_s=1.5)))
    encoded = encode_table(table)
    rows = msgpack.unpackb(zlib.decompress(encoded))[4]
    assert [len(row) for row in rows] == [4, 4]
    assert with_route_times(decode_table(encoded), encode_route_times(table)) == table


@pytest.mark.parametrize("times", [b"", b"abc", encode_route_times(routing_table())])
def test_times_that_are_not_those_of_the_table_are_refused(times):
    """Guards against a route that gets the times of its neighbour."""
    with pytest.raises(StorageError):
        with_route_times(routing_table(3, (route(1), route(2))), times)


@pytest.mark.parametrize("body", [b"", b"abc", encode_table(routing_table())[:-4]])
def test_damaged_tables_are_refused(body):
    with pytest.raises(StorageError):
        decode_table(body)


def test_a_table_cut_at_any_place_is_refused():
    """Guards against a table that broke off halfway and counts as a whole one."""
    routes = tuple(route(port) for port in range(400, 420))
    encoded = encode_table(routing_table(3, routes))
    for length in range(len(encoded)):
        with pytest.raises(StorageError):
            decode_table(encoded[:length])
