"""HTTP endpoint of announcements: checks, signatures and answers."""

import json

import aiohttp
import pytest
from hypothesis import given, settings, strategies as st

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.dissemination.registrar import Registrar
from arbutuslift.coordination.routing.services import ServiceTable
from arbutuslift.state.upstreams import UpstreamView
from arbutuslift.transport.announcements import (
    MAX_BODY_BYTES,
    SIGNATURE_HEADER,
    AnnouncementEndpoint,
    signature_of,
)
from arbutuslift.transport.fabric import Address

from .. import builders

KEY = b"shared key"
FIELDS = builders.announcement()
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=10,
)
CHANGED_FIELDS = st.dictionaries(st.sampled_from(sorted(FIELDS)), JSON, max_size=2)


class Receiver:
    def __init__(self, key=None):
        self.clock = ManualClock()
        self.view = UpstreamView(self.clock)
        registrar = Registrar(ServiceTable(self.clock, self.view), self.clock)
        self.refusals = []
        self.endpoint = AnnouncementEndpoint(
            registrar.accept, key, self.refusals.append
        )

    def post(self, content, signature=""):
        body = content if isinstance(content, bytes) else json.dumps(content).encode()
        return self.endpoint.handle(body, signature, "127.0.0.1").status


@settings(derandomize=True, max_examples=500, deadline=None)
@given(JSON | CHANGED_FIELDS.map(FIELDS.__or__), st.booleans(), st.text(max_size=70))
def test_any_json_is_answered_and_refused_json_changes_nothing(
    content, is_known, signature
):
    # Guards against input that raises an error or is merged before it is checked.
    receiver = Receiver()
    if is_known:
        receiver.view.merge(builders.upstream(started_at_s=5.0))
    before = list(receiver.view)
    status = receiver.post(content)
    assert status in (204, 400)
    assert status == 204 or list(receiver.view) == before
    assert status == 204 or receiver.refusals[0].reason
    for record in receiver.view:
        assert receiver.view.at_address(record.address, record.service) == record
    signed_only = Receiver(KEY)
    assert signed_only.post(content, signature) == 401
    assert list(signed_only.view) == []


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=200))
def test_any_bytes_are_answered(body):
    assert Receiver().post(body) in (204, 400)


BAD_BODIES = [
    pytest.param(b"[" * 8000, id="deep nesting"),
    pytest.param(b"1" * 8000, id="long number"),
    pytest.param(
        json.dumps(FIELDS | {"started_at_s": float("nan")}).encode(), id="not a number"
    ),
    pytest.param(json.dumps(FIELDS).replace("0.0", "1e999").encode(), id="infinity"),
    pytest.param(b'"\xff"', id="not UTF-8"),
]


@pytest.mark.parametrize("body", BAD_BODIES)
def test_malicious_body_is_refused(body):
    receiver = Receiver()
    assert receiver.post(body) == 400
    assert receiver.endpoint.counts["refused_400"] == 1


def test_signed_announcement_is_accepted_and_its_replay_changes_nothing():
    receiver = Receiver(KEY)
    old = json.dumps(builders.announcement(sequence=1)).encode()
    new = json.dumps(builders.announcement(sequence=2, state="draining")).encode()
    assert receiver.post(old, signature_of(old, KEY)) == 204
    assert receiver.post(new, signature_of(new, KEY)) == 204
    records = list(receiver.view)
    assert receiver.post(old, signature_of(old, KEY)) == 204
    assert list(receiver.view) == records
    assert receiver.post(new, signature_of(old, KEY)) == 401
    assert receiver.post(new, signature_of(new, b"other key")) == 401


async def test_over_http(unused_tcp_port):
    receiver = Receiver(KEY)
    await receiver.endpoint.open(Address("127.0.0.1", unused_tcp_port))
    base = f"http://127.0.0.1:{unused_tcp_port}/v1"
    body = json.dumps(FIELDS).encode()
    signed = {SIGNATURE_HEADER: signature_of(body, KEY)}

    async def status_of(method, path, **options):
        async with session.request(method, base + path, **options) as response:
            return response.status

    try:
        async with aiohttp.ClientSession() as session:
            path = "/announcements"
            assert await status_of("POST", path, data=body, headers=signed) == 204
            assert await status_of("POST", path, data=body) == 401
            large = b" " * (MAX_BODY_BYTES + 1)
            assert await status_of("POST", path, data=large) == 400
            assert await status_of("GET", "/health") == 200
            receiver.endpoint.is_serving = False
            assert await status_of("GET", "/health") == 503
    finally:
        await receiver.endpoint.close()
    assert len(receiver.view) == 1
