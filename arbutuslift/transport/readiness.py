"""HTTP endpoint that tells routers whether an instance takes packets."""

import asyncio
from collections.abc import Callable
from functools import partial

import h11

MAX_REQUEST_BYTES = 4096
IDLE_TIMEOUT_S = 10.0


class ReadinessEndpoint:
    """Answers every GET of one path with 200 or 503.

    Args:
        path: Path that is asked for.
        is_ready: Tells the answer.
        metrics: Returns the text of ``/metrics``.
    """

    def __init__(
        self, path: str, is_ready: Callable[[], bool], metrics: Callable[[], str]
    ) -> None:
        self._path = path
        self._is_ready = is_ready
        self._metrics = metrics
        self._server: asyncio.Server | None = None

    async def open(self, ip: str, port: int) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, ip, port)

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_REQUEST_BYTES
        )
        try:
            async with asyncio.timeout(IDLE_TIMEOUT_S) as limit:
                while await self._answer_one(connection, reader, writer):
                    limit.reschedule(asyncio.get_running_loop().time() + IDLE_TIMEOUT_S)
        except (OSError, TimeoutError, h11.RemoteProtocolError):
            # The prober asks again on a new connection.
            pass
        finally:
            writer.close()

    async def _answer_one(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer one request and return whether the connection stays open."""
        request = None
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await reader.read(MAX_REQUEST_BYTES))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                return False
        status, body = self._respond(request)
        send = partial(_send, connection, writer)
        headers = [("Content-Length", str(len(body)))]
        send(h11.Response(status_code=status, headers=headers))
        if body:
            send(h11.Data(data=body))
        send(h11.EndOfMessage())
        await writer.drain()
        if connection.our_state is h11.MUST_CLOSE:
            return False
        connection.start_next_cycle()
        return True

    def _respond(self, request: h11.Request) -> tuple[int, bytes]:
        target = request.target.decode("ascii", "replace")
        if target == self._path:
            return (200 if self._is_ready() else 503), b""
        if target == "/metrics":
            return 200, self._metrics().encode()
        return 404, b""


def _send(connection: h11.Connection, writer: asyncio.StreamWriter, event) -> None:
    data = connection.send(event)
    if data:
        writer.write(data)
