"""Guards against packets that routers send to an instance that can't forward them."""

import asyncio

import pytest

from arbutuslift.metricfamilies import Gauge
from arbutuslift.transport.readiness import ReadinessEndpoint

FLOWS = Gauge(name="arbutuslift_flows", help_text="Flows.", value=3)


class EndpointHarness:
    """A readiness endpoint and a client of it."""

    def __init__(self):
        self.ready = True
        self.endpoint = ReadinessEndpoint("/ready", lambda: self.ready, lambda: [FLOWS])

    async def open(self):
        await self.endpoint.open("127.0.0.1", 0)
        self.port = self.endpoint.port

    async def exchange(self, text):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(text)
        answer = await reader.read(1000)
        writer.close()
        return answer

    async def get(self, path):
        request = f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        return await self.exchange(request.encode())


@pytest.fixture
async def harness():
    opened = EndpointHarness()
    await opened.open()
    yield opened
    await opened.endpoint.close()


async def test_ready_and_not_ready(harness):
    assert b" 200 " in await harness.get("/ready")
    harness.ready = False
    assert b" 503 " in await harness.get("/ready")


async def test_metrics_and_unknown_paths(harness):
    page = await harness.get("/metrics")
    assert b" 200 " in page
    assert page.endswith(b"arbutuslift_flows 3.0\n")
    assert b" 404 " in await harness.get("/other")


@pytest.mark.parametrize(
    "text", [b"nonsense\r\n\r\n", b"GET /ready HTTP/1.1\r\n" * 900]
)
async def test_malformed_requests_end_their_own_connection_only(harness, text):
    await harness.exchange(text)
    assert b" 200 " in await harness.get("/ready")
