"""Guards against a routing table that changes in transit or crashes its receiver."""

import zlib

import msgpack
import pytest

from arbutuslift.errors import StorageError
from arbutuslift.state.routingtable import decode_table, encode_table

from ..builders import route, routing_table


def test_a_decoded_table_equals_the_encoded_one():
    table = routing_table(
        3,
        (route(1), route(2, ("alerts", "claims"))),
        out_of_service=frozenset({"dc-2"}),
        idle_timeout_s=1.5,
    )
    assert decode_table(encode_table(table)) == table


def test_a_table_of_an_earlier_version_has_no_times():
    """Guards against an entry instance that can't read the table of older control."""
    table = routing_table(3, (route(1),))
    content = msgpack.unpackb(zlib.decompress(encode_table(table)))
    rows = [row[:4] for row in content[4]]
    earlier = zlib.compress(msgpack.packb([*content[:4], rows, content[5]]))
    assert decode_table(earlier) == table


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
