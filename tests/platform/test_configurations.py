"""Guards against an invalid configuration that is accepted, or a valid one refused."""

import copy
import json
from contextlib import suppress

import pytest
from adapter.configurations import decode_configuration, routing_table
from hypothesis import given, strategies as st

from arbutuslift.errors import DocumentError
from arbutuslift.state.agreedstate import AgreedState
from arbutuslift.state.routingtable import (
    decode_table,
    encode_route_times,
    encode_table,
    with_route_times,
)

from ..builders import json_values, mutated

ROUTE = {
    "name": "r-1",
    "host": "198.18.0.1",
    "path_prefix": "/8443/",
    "route_type": "safe",
    "timeout_ms": 500,
    "aim_ms": 100,
    "priority": 2,
    "traffic_split": [
        {"service": "one", "weight": 90},
        {"service": "two", "weight": 10},
    ],
    "max_attempts": 2,
}
SERVICE = {
    "name": "one",
    "health_path": "/health",
    "max_conns": 2000,
    "protocol": "h1",
    "tls": False,
    "cold_start_s": 2.0,
    "cold_per_s": 0.0,
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        ROUTE,
        {**ROUTE, "name": "r-2", "path_prefix": "/80/", "traffic_split": None}
        | {"service": "two"},
    ],
    "services": [SERVICE, {**SERVICE, "name": "two"}],
    "limits": {"idle_timeout_ms": 15000},
}


def changed(path, value):
    content = copy.deepcopy(CONFIGURATION)
    parent = content
    for step in path[:-1]:
        parent = parent[step]
    parent[path[-1]] = value
    return json.dumps(content).encode()


def test_a_valid_configuration():
    decoded = decode_configuration(json.dumps(CONFIGURATION).encode())
    assert decoded.version == 7
    assert [(r.ip, r.port) for r in decoded.routes] == [
        (bytes([198, 18, 0, 1]), 8443),
        (bytes([198, 18, 0, 1]), 80),
    ]
    weights = [[(s.service, s.weight) for s in r.shares] for r in decoded.routes]
    assert weights == [[("one", 90), ("two", 10)], [("two", 1)]]
    assert decoded.idle_timeout_s == 15


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("version",), 0),
        (("version",), "7"),
        (("version",), True),
        (("routes",), None),
        (("services",), []),
        (("routes", 0, "timeout_ms"), 0),
        (("routes", 0, "timeout_ms"), None),
        (("routes", 0, "host"), "example"),
        (("routes", 0, "path_prefix"), "/x/"),
        (("routes", 0, "path_prefix"), "/70000/"),
        (("routes", 1, "path_prefix"), "/8443/"),
        (("routes", 1, "service"), "three"),
        (("routes", 0, "traffic_split", 0, "service"), "three"),
        (("routes", 0, "service"), "three"),
        (("routes", 0, "service"), 7),
        (("routes", 0, "service"), ""),
        (("routes", 1, "traffic_split"), {}),
        (("routes", 1, "traffic_split"), 0),
        (("routes", 1, "traffic_split"), ""),
        (("routes", 0, "traffic_split", 0, "weight"), -1),
        (("routes", 0, "traffic_split", 0, "weight"), None),
        (("limits",), None),
        (("routes", 0, "path_prefix"), "/0/"),
        (("routes", 0, "path_prefix"), "/٨٠/"),
        (("routes", 0, "aim_ms"), "soon"),
        (("services", 0, "cold_per_s"), "4"),
    ],
)
def test_invalid_configurations_are_refused(path, value):
    with pytest.raises(DocumentError):
        decode_configuration(changed(path, value))


def test_a_route_with_a_split_that_also_names_an_unknown_service_is_refused():
    """Guards against a field that isn't checked where another one replaces it."""
    with pytest.raises(DocumentError, match="unknown service"):
        decode_configuration(changed(("routes", 0, "service"), "three"))


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("routes", 0, "service"), "two"),
        (("routes", 0, "service"), None),
        (("routes", 1, "traffic_split"), []),
        (("routes", 1, "traffic_split"), None),
    ],
)
def test_a_known_service_beside_a_split_and_an_empty_split_are_valid(path, value):
    assert decode_configuration(changed(path, value)).version == 7


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("version",), 2**64),
        (("routes", 0, "priority"), 10**20),
        (("routes", 0, "timeout_ms"), 10**20),
        (("routes", 0, "aim_ms"), 10**400),
        (("routes", 0, "traffic_split", 0, "weight"), 10**20),
        (("services", 0, "max_conns"), 10**20),
        (("services", 0, "cold_per_s"), float("inf")),
        (("services", 0, "cold_start_s"), float("nan")),
        (("services", 0, "name"), "\ud800"),
        (("limits", "idle_timeout_ms"), 10**20),
    ],
)
def test_values_that_no_codec_takes_are_refused(path, value):
    """Guards against an agreed order that ends every process that reads it."""
    with pytest.raises(DocumentError):
        decode_configuration(changed(path, value))


@given(
    st.sampled_from(
        [
            ("version",),
            ("routes", 0, "priority"),
            ("routes", 0, "timeout_ms"),
            ("routes", 0, "aim_ms"),
            ("routes", 0, "host"),
            ("routes", 0, "traffic_split"),
            ("services", 0, "max_conns"),
            ("services", 0, "cold_per_s"),
            ("services", 0, "cold_start_s"),
            ("limits", "idle_timeout_ms"),
        ]
    ),
    json_values,
)
def test_what_is_accepted_passes_every_codec(path, value):
    """Guards against an agreed order that can't be put in effect."""
    body = changed(path, value)
    try:
        decoded = decode_configuration(body)
    except DocumentError:
        return
    state = AgreedState(version=decoded.version, source=body)
    assert AgreedState.decode(state.encode()) == state
    table = routing_table(1, state)
    sent = decode_table(encode_table(table))
    assert with_route_times(sent, encode_route_times(table)) == table


@given(mutated(json.dumps(CONFIGURATION).encode()))
def test_a_mutated_configuration_is_decoded_or_refused(body):
    """Guards against an error that the API answers with 500."""
    with suppress(DocumentError):
        decode_configuration(body)


def test_a_deeply_nested_configuration_is_refused():
    with pytest.raises(DocumentError, match="nested"):
        decode_configuration(b"[" * 5000 + b"]" * 5000)


def test_a_split_without_weight_is_refused_but_not_a_weight_of_zero():
    none = changed(("routes", 0, "traffic_split", 0, "weight"), 0)
    assert decode_configuration(none).routes[0].shares[0].weight == 0
    split = [{"service": "one", "weight": 0}]
    with pytest.raises(DocumentError):
        decode_configuration(changed(("routes", 0, "traffic_split"), split))


@given(st.integers(0, 400))
def test_a_truncated_configuration_is_refused(length):
    body = json.dumps(CONFIGURATION).encode()
    with pytest.raises(DocumentError):
        decode_configuration(body[:length])


def test_the_table_of_an_agreed_state():
    body = json.dumps(CONFIGURATION).encode()
    state = AgreedState(version=7, source=body, out_of_service=("dc-1",))
    table = routing_table(3, state)
    assert (table.revision, table.version, len(table.routes)) == (3, 7, 2)
    assert table.out_of_service == {"dc-1"}
    assert routing_table(1, AgreedState(out_of_service=("dc-1",))).routes == ()
