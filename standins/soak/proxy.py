"""Loopback proxy for TCP that delays, silences, cuts one way and resets."""

import asyncio
from enum import Enum

CHUNK_BYTES = 65536


class Mode(Enum):
    """What happens to the bytes that pass."""

    PASS = "pass"
    DELAY = "delay"
    SILENCE = "silence"
    NO_REQUESTS = "no requests"
    NO_ANSWERS = "no answers"


class Proxy:
    """Carries connections from one address to another.

    Args:
        listen: Address and port that others use.
        forward: Address and port of the program.
    """

    def __init__(self, listen: tuple[str, int], forward: tuple[str, int]) -> None:
        self.mode = Mode.PASS
        self.delay_s = 0.0
        self._listen = listen
        self._forward = forward
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, *self._listen)

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        self.reset()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._forward)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        self._writers |= pair
        pumps = {
            asyncio.create_task(self._pump(reader, far_writer, Mode.NO_REQUESTS)),
            asyncio.create_task(self._pump(far_reader, writer, Mode.NO_ANSWERS)),
        }
        self._tasks |= pumps
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        self._writers -= pair
        self._tasks -= pumps
        for end in pair:
            end.transport.abort()
        await asyncio.gather(*pumps, return_exceptions=True)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blocked_by: Mode,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            # Bytes that a silent connection held up are lost with it.
            if self.mode in (Mode.SILENCE, blocked_by):
                continue
            if self.mode is Mode.DELAY:
                await asyncio.sleep(self.delay_s)
            writer.write(data)
            await writer.drain()
