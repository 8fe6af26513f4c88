"""Guards against requests that are mixed up and clients that block the server."""

import asyncio

import pytest

from arbutuslift.transport import httpserver
from arbutuslift.transport.httpserver import HttpRequest, HttpResponse, HttpServer
from arbutuslift.transport.opensockets import open_listener

MAX_BODY_BYTES = 100


class Site:
    """A server that records its requests, and raw connections to it."""

    def __init__(self):
        self.requests = []
        self.gate = asyncio.Event()
        self.gate.set()
        self.now_s = 1.0
        self.server = HttpServer(self.answer, MAX_BODY_BYTES, lambda: self.now_s)

    async def answer(self, request):
        self.requests.append(request)
        await self.gate.wait()
        if request.path == "/fault":
            raise RuntimeError("error in the handler")
        is_last = request.path == "/last"
        return HttpResponse(status=200, body=request.path.encode(), is_last=is_last)

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.server.port)

    async def exchange(self, *parts, end=False):
        """Send parts on one connection and return everything received."""
        reader, writer = await self.connect()
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.01)
        if end:
            writer.write_eof()
        answer = await asyncio.wait_for(reader.read(), 5.0)
        writer.close()
        return answer


@pytest.fixture
async def site():
    opened = Site()
    await opened.server.open("127.0.0.1", 0)
    yield opened
    opened.gate.set()
    await opened.server.close()


def post(path, body, *headers, length=None):
    size = len(body) if length is None else length
    lines = [f"POST {path} HTTP/1.1", "Host: x", f"Content-Length: {size}", *headers]
    return "\r\n".join([*lines, "", ""]).encode() + body


CLOSE_HEADER = "Connection: close"


async def test_a_request_sent_before_the_server_runs_is_answered_once_it_does():
    """Guards against orders and announcements that are lost during a start."""
    listener = open_listener("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*listener.getsockname())
    writer.write(b"GET /early HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    site = Site()
    await site.server.serve(listener)
    try:
        answer = await asyncio.wait_for(reader.read(), 5.0)
        assert answer.endswith(b"/early")
    finally:
        writer.close()
        await site.server.close()


async def test_requests_on_one_connection_are_answered_in_order(site):
    answer = await site.exchange(post("/a", b"1"), post("/b", b"2", CLOSE_HEADER))
    assert answer.count(b"HTTP/1.1 200") == 2
    assert answer.index(b"/a") < answer.index(b"/b")
    assert site.requests == [
        HttpRequest(method="POST", path="/a", body=b"1"),
        HttpRequest(method="POST", path="/b", body=b"2"),
    ]


async def test_each_of_two_pipelined_requests_is_answered(site):
    answer = await site.exchange(post("/a", b"1") + post("/b", b"2", CLOSE_HEADER))
    assert answer.count(b"HTTP/1.1 200") == 2


async def test_a_body_may_arrive_in_parts_or_chunks(site):
    whole = post("/a", b"0123456789", CLOSE_HEADER)
    await site.exchange(whole[:20], whole[20:-4], whole[-4:])
    head = b"POST /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
    chunks = b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    await site.exchange(head + chunks)
    assert [request.body for request in site.requests] == [b"0123456789", b"abcde"]


async def test_the_path_is_unquoted_and_has_no_query(site):
    await site.exchange(post("/a%2Fb%20c?d=e", b"", CLOSE_HEADER))
    assert site.requests[0].path == "/a/b c"


async def test_a_truncated_body_reaches_no_handler(site):
    """Guards against a truncated order that is processed as a complete one."""
    await site.exchange(post("/a", b"0123", length=10), end=True)
    head = b"POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    await site.exchange(head + b"3\r\nabc\r\n", end=True)
    assert site.requests == []


async def test_a_body_that_is_too_long_is_refused(site):
    """Guards against a client that exhausts the memory."""
    answer = await site.exchange(post("/a", b"x" * (MAX_BODY_BYTES + 1)))
    assert answer.startswith(b"HTTP/1.1 413")
    assert f"longer than {MAX_BODY_BYTES} bytes".encode() in answer
    assert site.requests == []
    await site.exchange(post("/a", b"x" * MAX_BODY_BYTES, CLOSE_HEADER))
    assert len(site.requests) == 1


async def test_a_client_that_expects_100_continue_gets_it(site):
    head = post("/a", b"", "Expect: 100-continue", CLOSE_HEADER, length=3)
    answer = await site.exchange(head, b"abc")
    assert answer.startswith(b"HTTP/1.1 100")
    assert b"HTTP/1.1 200" in answer


async def test_an_error_in_the_handler_ends_neither_connection_nor_server(site):
    answer = await site.exchange(post("/fault", b""), post("/a", b"", CLOSE_HEADER))
    assert answer.startswith(b"HTTP/1.1 500")
    assert b"HTTP/1.1 200" in answer


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense\r\n\r\n",
        b"GET /" + b"a" * 20_000,
        b"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        b"\x16\x03\x01\x02\x00",
        b"",
    ],
)
async def test_malformed_input_ends_its_own_connection_only(site, data):
    await site.exchange(data, end=True)
    assert site.requests == []
    assert b"200" in await site.exchange(post("/a", b"", CLOSE_HEADER))


async def test_a_client_that_stops_within_a_request_is_disconnected(site, monkeypatch):
    monkeypatch.setattr(httpserver, "REQUEST_TIMEOUT_S", 0.05)
    assert await site.exchange(post("/a", b"0123", length=10)) == b""
    assert site.requests == []


async def test_an_idle_client_is_disconnected(site, monkeypatch):
    monkeypatch.setattr(httpserver, "IDLE_TIMEOUT_S", 0.05)
    assert await site.exchange(b"") == b""


async def test_connections_beyond_the_limit_are_closed(site, monkeypatch):
    monkeypatch.setattr(httpserver, "MAX_CONNECTIONS", 1)
    _, first = await site.connect()
    await asyncio.sleep(0.01)
    assert await site.exchange(b"") == b""
    first.close()


async def test_closing_ends_requests_in_progress(site):
    """Guards against a process that can't end while a client waits for an answer."""
    site.gate.clear()
    reader, writer = await site.connect()
    writer.write(post("/a", b""))
    while not site.requests:
        await asyncio.sleep(0.005)
    await asyncio.wait_for(site.server.close(), 1.0)
    assert await reader.read() == b""
    writer.close()


async def test_a_request_knows_when_its_client_has_gone(site):
    site.gate.clear()
    _, writer = await site.connect()
    writer.write(post("/order", b""))
    await writer.drain()
    while not site.requests:
        await asyncio.sleep(0.01)
    assert site.requests[0].is_connected()
    writer.close()
    await writer.wait_closed()
    await asyncio.sleep(0.05)
    assert not site.requests[0].is_connected()


async def test_a_malformed_target_costs_its_connection_only(site):
    """Guards against an error in a task that nobody handles."""
    bad = b"GET //[::1 HTTP/1.1\r\nHost: a\r\n\r\n"
    assert await site.exchange(bad) == b""
    assert b"200" in await site.exchange(post("/a", b""), end=True)


async def test_a_request_knows_since_when_its_connection_is_open(site):
    """Guards against a request that was held up and counts as sent when it is read."""
    reader, writer = await site.connect()
    for now_s in (2.0, 3.0):
        writer.write(post("/x", b""))
        await asyncio.wait_for(reader.readuntil(b"/x"), 5.0)
        site.now_s = now_s
    writer.close()
    await site.exchange(post("/last", b""))
    assert [request.opened_s for request in site.requests] == [1.0, 1.0, 3.0]


async def test_a_last_response_ends_the_connection(site):
    answer = await site.exchange(post("/last", b""))
    assert b"connection: close" in answer.lower()
    assert answer.endswith(b"/last")
