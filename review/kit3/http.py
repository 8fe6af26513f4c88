"""Calls of targets and operators: HTTP/1.1 with a time limit."""

import asyncio
import json

CALL_TIMEOUT_S = 1.0


class Connection:
    """A connection to one address that is kept open between calls."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def call(
        self, method: str, path: str, body: object = None, raw: bytes | None = None
    ) -> tuple[int, bytes]:
        """Return status and body of the answer; a status of 0 means none in time."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await self._call(method, path, body, raw)
        except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
            self.close()
            return 0, b""

    def close(self) -> None:
        """Close the connection; what was written is still on its way."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def _call(
        self, method: str, path: str, body: object, raw: bytes | None
    ) -> tuple[int, bytes]:
        if self._writer is None or self._reader.at_eof():
            self.close()
            self._reader, self._writer = await asyncio.open_connection(*self.address)
        content = raw
        if raw is None:
            content = b"" if body is None else json.dumps(body).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self.address[0]}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(content)}\r\n\r\n"
        )
        self._writer.write(head.encode() + content)
        lines = (await self._reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        status = int(lines[0].split()[1])
        length = 0
        for line in lines[1:]:
            name, _, value = line.partition(":")
            if name.lower() == "content-length":
                length = int(value)
        return status, await self._reader.readexactly(length)


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    body: object = None,
    raw: bytes | None = None,
) -> tuple[int, bytes]:
    """Make one call on a connection of its own."""
    connection = Connection(address)
    try:
        return await connection.call(method, path, body, raw)
    finally:
        connection.close()
