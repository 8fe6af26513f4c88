"""Guards against calls that are acknowledged but not processed."""

import json
import threading

import pytest
from adapter import httpapi
from adapter.configurations import decode_configuration
from adapter.httpapi import MAX_BODY_BYTES, HttpApi

from arbutuslift.errors import AnnouncementError, NoQuorum
from arbutuslift.state.agreedstate import (
    MAX_SOURCE_BYTES,
    MAX_VERSION,
    AgreedState,
    PutConfiguration,
    SetInService,
)
from arbutuslift.state.configuration import MAX_DOCUMENT_BYTES
from arbutuslift.state.starts import Departure
from arbutuslift.transport.httpserver import HttpRequest

from .test_announcements import REPORT
from .test_configurations import CONFIGURATION


class Control:
    """Fake of a control instance that records calls."""

    def __init__(self):
        self.announced = []
        self.deregistered = []
        self.orders = []
        self.state = AgreedState()
        self.refusal = None
        self.is_ambiguous = False
        self.wants_new_connection = False
        self.opened_s = []

    def earliest_arrival_s(self):
        return 1.0

    def announce(self, start, opened_s):
        if self.refusal is not None:
            raise self.refusal
        self.announced.append(start)
        self.opened_s.append(opened_s)
        return self.wants_new_connection

    def leave(self, departure):
        self.deregistered.append(departure)
        return not self.is_ambiguous

    async def submit(self, order, is_connected):
        if self.refusal is not None:
            raise self.refusal
        self.orders.append(order)
        return len(self.orders)

    async def current(self):
        if self.refusal is not None:
            raise self.refusal
        return self.state


class Calls:
    """Calls the endpoint directly, without a network."""

    def __init__(self):
        self.control = Control()
        self.endpoint = HttpApi(self.control, frozenset({"dc-1", "dc-2"}))

    async def __call__(self, method, path, body=b""):
        request = HttpRequest(method=method, path=path, body=body, opened_s=7.0)
        return await self.endpoint._answer(request)


@pytest.fixture
def call():
    return Calls()


async def test_a_report_is_accepted(call):
    body = json.dumps(REPORT).encode()
    answer = await call("POST", "/Instances.Heartbeat/i-7f3a91c2", body)
    assert (answer.status, answer.body) == (200, b"{}")
    assert not answer.is_last
    assert [start.upstream_id for start in call.control.announced] == ["i-7f3a91c2"]
    assert call.control.opened_s == [7.0]


async def test_a_report_of_unknown_age_ends_its_connection(call):
    """Guards against a next report that doesn't show when it was sent, either."""
    call.control.wants_new_connection = True
    body = json.dumps(REPORT).encode()
    answer = await call("POST", "/Instances.Heartbeat/i-7f3a91c2", body)
    assert (answer.status, answer.body, answer.is_last) == (200, b"{}", True)


async def test_an_invalid_report_is_refused(call):
    path = "/Instances.Heartbeat/i-7f3a91c2"
    assert (await call("POST", path, b"{")).status == 400
    assert (await call("POST", path, b" " * (MAX_BODY_BYTES + 1))).status == 413
    call.control.refusal = AnnouncementError("unknown service", step="announce")
    assert (await call("POST", path, json.dumps(REPORT).encode())).status == 400
    assert call.control.announced == []


async def test_a_leave_names_its_start(call):
    """Guards against a report of leaving that loses the boot that it speaks of."""
    path = "/Instances.Leave/i-7f3a91c2"
    assert (await call("POST", path)).status == 200
    assert (await call("POST", path, json.dumps(REPORT).encode())).status == 200
    assert call.control.deregistered == [
        Departure(upstream_id="i-7f3a91c2"),
        Departure(upstream_id="i-7f3a91c2", born_ms=REPORT["born"]),
    ]


async def test_a_leave_that_is_not_carried_out_is_not_acknowledged(call):
    path = "/Instances.Leave/i-7f3a91c2"
    for body in (b"{", b"[]", b'{"born": -1}', b'{"born": 1e30}'):
        assert (await call("POST", path, body)).status == 400
    assert (await call("POST", "/Instances.Leave/xyz")).status == 400
    assert call.control.deregistered == []
    call.control.is_ambiguous = True
    assert (await call("POST", path)).status == 409


async def test_a_configuration_is_submitted_as_it_was_sent(call):
    body = json.dumps(CONFIGURATION).encode()
    assert (await call("POST", "/Config.Put", body)).status == 200
    assert call.control.orders == [
        PutConfiguration(version=CONFIGURATION["version"], source=body)
    ]


def test_the_longest_body_that_is_taken_can_be_agreed():
    """Guards against a valid configuration that gets 503 for ever."""
    names = tuple(f"{number:03d}" + "d" * 125 for number in range(100))
    state = AgreedState(
        version=MAX_VERSION, source=b"x" * MAX_SOURCE_BYTES, out_of_service=names
    )
    assert len(state.encode()) <= MAX_DOCUMENT_BYTES


@pytest.mark.parametrize(("routes", "is_beside"), [(2, False), (400, True)])
async def test_a_long_configuration_is_decoded_beside_the_event_loop(
    call, monkeypatch, routes, is_beside
):
    """Guards against a large configuration that keeps others from an answer."""
    threads = []

    def decode(body):
        threads.append(threading.get_ident())
        return decode_configuration(body)

    monkeypatch.setattr(httpapi, "decode_configuration", decode)
    (route, *_) = CONFIGURATION["routes"]
    many = [route | {"path_prefix": f"/{1 + number}/"} for number in range(routes)]
    body = json.dumps(CONFIGURATION | {"routes": many}).encode()
    assert (await call("POST", "/Config.Put", body)).status == 200
    assert (threads[0] != threading.get_ident()) == is_beside


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b"{}", b"\xff"])
async def test_an_invalid_configuration_is_refused_and_not_submitted(call, body):
    assert (await call("POST", "/Config.Put", body)).status == 400
    assert call.control.orders == []


async def test_an_order_without_a_quorum_is_not_acknowledged(call):
    call.control.refusal = NoQuorum("no leader", step="submit")
    body = json.dumps(CONFIGURATION).encode()
    assert (await call("POST", "/Config.Put", body)).status == 503
    assert (await call("POST", "/Evacuations.Begin/dc-1")).status == 503
    assert (await call("GET", "/Config.Get")).status == 503


async def test_a_read_returns_what_was_sent(call):
    assert (await call("GET", "/Config.Get")).status == 503
    call.control.state = AgreedState(version=3, source=b'{"version":3}')
    answer = await call("GET", "/Config.Get")
    assert (answer.status, answer.body) == (200, b'{"version":3}')


async def test_a_data_centre_is_taken_out_of_service_and_back(call):
    assert (await call("POST", "/Evacuations.Begin/dc-1")).status == 200
    assert (await call("POST", "/Evacuations.Finish/dc-1")).status == 200
    assert (await call("POST", "/Evacuations.Begin/dc-9")).status == 404
    assert call.control.orders == [
        SetInService(data_centre="dc-1", in_service=False),
        SetInService(data_centre="dc-1", in_service=True),
    ]


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("POST", "/Instances.Heartbeat/", 404),
        ("POST", "/Instances.Heartbeat", 404),
        ("POST", "/Instances.Heartbeat/a/b", 404),
        ("POST", "/Config.Put/more", 404),
        ("POST", "/Other", 404),
        ("GET", "/", 404),
        ("GET", "/Config.Put", 405),
        ("POST", "/Config.Get", 405),
        ("DELETE", "/Instances.Leave/i-7f3a91c2", 405),
    ],
)
async def test_other_calls_have_no_effect(call, method, path, status):
    assert (await call(method, path)).status == status
    assert (call.control.announced, call.control.deregistered) == ([], [])
