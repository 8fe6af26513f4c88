"""Guards against an invalid configuration that is accepted, or a valid one refused."""

import copy
import json

import pytest
from adapter.configurations import decode_configuration, routing_table
from hypothesis import given, strategies as st

from arbutuslift.errors import DocumentError
from arbutuslift.state.agreedstate import AgreedState

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
        (("routes", 0, "traffic_split", 0, "weight"), -1),
        (("routes", 0, "traffic_split", 0, "weight"), None),
        (("limits",), None),
    ],
)
def test_invalid_configurations_are_refused(path, value):
    with pytest.raises(DocumentError):
        decode_configuration(changed(path, value))


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
