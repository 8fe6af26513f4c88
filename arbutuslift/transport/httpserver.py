"""Small HTTP/1.1 server on h11, for processes that must start quickly."""

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable

import h11
import structlog
from attrs import field, frozen

from .opensockets import LISTEN_BACKLOG

MAX_HEADER_BYTES = 16 * 1024
READ_BYTES = 64 * 1024
# Clients that keep a connection open send a request once a second or less often.
IDLE_TIMEOUT_S = 75.0
# Time within which the body of a request must arrive.
REQUEST_TIMEOUT_S = 10.0
MAX_CONNECTIONS = 2000
# A client reads the answer only once it has sent its body, so that a body which is too
# long is read to its end up to this multiple of the limit.
DISCARDED_MULTIPLE = 8

_log = structlog.get_logger()


@frozen(kw_only=True)
class HttpRequest:
    """A complete request.

    Attributes:
        method: Method, such as ``GET``.
        path: Path without the query, unquoted.
        body: Body, empty if there is none.
        opened_s: Time on the monotonic clock since when its connection is open, at the
            earliest. The request was sent later, however late it is read.
        is_connected: Returns whether the client hasn't closed its connection. A client
            that closes only its sending side counts as having closed it.
    """

    method: str
    path: str
    body: bytes = b""
    opened_s: float = field(default=float("-inf"), eq=False)
    is_connected: Callable[[], bool] = field(default=lambda: True, eq=False)


@frozen(kw_only=True)
class HttpResponse:
    """A complete response.

    Attributes:
        status: Status code.
        body: Body, empty for none.
        content_type: Type of the body.
        is_last: Whether the connection is closed after it.
    """

    status: int
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"
    is_last: bool = False


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class HttpServer:
    """Answers requests, one at a time on each connection.

    Args:
        handler: Returns the response; if it raises an error, the response is 500.
        max_body_bytes: Requests with a longer body are answered with 413.
        earliest_arrival_s: Returns since when a connection that is accepted now may
            have waited, on the monotonic clock.
    """

    def __init__(
        self,
        handler: Handler,
        max_body_bytes: int,
        earliest_arrival_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self._handler = handler
        self._max_body_bytes = max_body_bytes
        self._earliest_arrival_s = earliest_arrival_s
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return self._server.sockets[0].getsockname()[1]

    async def open(self, ip: str, port: int) -> None:
        """Listen.

        Raises:
            OSError: The address can't be used.
        """
        self._server = await asyncio.start_server(self._accept, ip, port)

    async def serve(self, listener: socket.socket) -> None:
        """Serve the connections of a listening socket, which is closed at the end."""
        self._server = await asyncio.start_server(
            self._accept, sock=listener, backlog=LISTEN_BACKLOG
        )

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is None:
            return
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._tasks) >= MAX_CONNECTIONS:
            _log.warning("connection_refused", connections=len(self._tasks))
            writer.close()
            return
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        opened_s = self._earliest_arrival_s()
        connection = _Connection(reader, writer, self._max_body_bytes, opened_s)
        try:
            await connection.serve(self._handler)
        except (OSError, TimeoutError, h11.ProtocolError) as error:
            # The client disconnected or doesn't speak HTTP. Other connections aren't
            # affected.
            _log.debug("connection_ended", reason=repr(error))
        finally:
            writer.close()


class _Connection:
    """One connection of a client."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        max_body_bytes: int,
        opened_s: float,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._max_body_bytes = max_body_bytes
        self._opened_s = opened_s
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES
        )

    async def serve(self, handler: Handler) -> None:
        """Answer requests until the connection ends.

        Raises:
            OSError: The connection was lost.
            TimeoutError: The client sent no request, or no complete one, in time.
            h11.ProtocolError: The client violated HTTP.
        """
        while True:
            head = await self._read_head()
            if head is None:
                return
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                body = await self._read_body()
            if body is None:
                reason = f"the body is longer than {self._max_body_bytes} bytes"
                response = HttpResponse(status=413, body=reason.encode(), is_last=True)
                await self._send(response)
                return
            request = HttpRequest(
                method=head.method.decode("ascii"),
                path=_path_of(head.target.decode("ascii", "replace")),
                body=body,
                opened_s=self._opened_s,
                is_connected=self._is_connected,
            )
            await self._send(await _answer(handler, request))
            if self._protocol.our_state is not h11.DONE:
                return
            self._protocol.start_next_cycle()

    def _is_connected(self) -> bool:
        return not self._reader.at_eof() and not self._writer.is_closing()

    async def _read_head(self) -> h11.Request | None:
        async with asyncio.timeout(IDLE_TIMEOUT_S):
            event = await self._next_event()
        return event if isinstance(event, h11.Request) else None

    async def _read_body(self) -> bytes | None:
        """Return the body, or None if it is too long."""
        parts = []
        size_bytes = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                is_whole = size_bytes <= self._max_body_bytes
                return b"".join(parts) if is_whole else None
            if not isinstance(event, h11.Data):
                raise h11.RemoteProtocolError("client disconnected within a request")
            size_bytes += len(event.data)
            if size_bytes > DISCARDED_MULTIPLE * self._max_body_bytes:
                return None
            if size_bytes > self._max_body_bytes:
                parts.clear()
            else:
                parts.append(bytes(event.data))

    async def _next_event(self) -> object:
        while True:
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self._protocol.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(
                    status_code=100, headers=[]
                )
                self._writer.write(self._protocol.send(continue_response))
            self._protocol.receive_data(await self._reader.read(READ_BYTES))

    async def _send(self, response: HttpResponse) -> None:
        headers = [("Content-Length", str(len(response.body)))]
        if response.body:
            headers.append(("Content-Type", response.content_type))
        if response.is_last:
            headers.append(("Connection", "close"))
        events = [
            h11.Response(status_code=response.status, headers=headers),
            h11.Data(data=response.body),
            h11.EndOfMessage(),
        ]
        self._writer.write(b"".join(self._protocol.send(event) for event in events))
        await self._writer.drain()


async def _answer(handler: Handler, request: HttpRequest) -> HttpResponse:
    try:
        return await handler(request)
    except Exception:
        # An error in one request must not end the process.
        _log.exception("call_failed", method=request.method, path=request.path)
        return HttpResponse(status=500)


def _path_of(target: str) -> str:
    """Return the unquoted path of a request target, without the query.

    Raises:
        h11.RemoteProtocolError: The target is malformed.
    """
    is_plain = target.startswith("/") and not target.startswith("//")
    if is_plain and not any(character in target for character in "%?#"):
        return target
    # Readiness checks don't need the module, whose import takes processor time.
    from urllib.parse import unquote, urlsplit

    try:
        return unquote(urlsplit(target).path)
    except ValueError as error:
        raise h11.RemoteProtocolError(f"malformed target: {error}") from error
