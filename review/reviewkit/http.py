"""Calls over HTTP/1.1 with a time-out, on new or on open connections."""

import asyncio
import json

from .model import frozen_class

TIMEOUT_S = 1.0


@frozen_class
class Answer:
    """Answer to a call.

    Attributes:
        status: Status code.
        body: Body.
    """

    status: int
    body: bytes


class Connection:
    """Connection of one client, which sends one request after the other."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    @staticmethod
    async def open(address: str) -> "Connection":
        """Return a connection to an ``ip:port``."""
        ip, _, port = address.rpartition(":")
        return Connection(*await asyncio.open_connection(ip, int(port)))

    async def call(self, method: str, path: str, body: object = None) -> Answer:
        """Send a request and return its answer."""
        content = b"" if body is None else json.dumps(body).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: system\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(content)}\r\n\r\n"
        )
        self._writer.write(head.encode() + content)
        await self._writer.drain()
        status = int((await self._reader.readuntil(b"\r\n")).split()[1])
        length = 0
        while (line := await self._reader.readuntil(b"\r\n")) != b"\r\n":
            name, _, value = line.partition(b":")
            if name.strip().lower() == b"content-length":
                length = int(value)
        return Answer(status, await self._reader.readexactly(length))

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


async def call(
    address: str,
    method: str,
    path: str,
    body: object = None,
    timeout_s: float = TIMEOUT_S,
) -> Answer | None:
    """Return the answer to one request, None without one in time."""
    try:
        async with asyncio.timeout(timeout_s):
            connection = await Connection.open(address)
            try:
                return await connection.call(method, path, body)
            finally:
                connection.close()
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        return None
