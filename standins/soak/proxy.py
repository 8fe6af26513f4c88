"""TCP proxy on loopback that delays, drops or resets traffic."""

import asyncio
from enum import Enum

CHUNK_BYTES = 65536


class Mode(Enum):
    """How the proxy treats the bytes of its connections."""

    PASS = "pass"
    DELAY = "delay"
    SILENCE = "silence"
    NO_REQUESTS = "no requests"
    NO_ANSWERS = "no answers"


class Proxy:
    """Forwards connections from one address to another.

    Args:
        listen: Address and port to listen on.
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
        """Start listening."""
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
            program_reader, program_writer = await asyncio.open_connection(
                *self._forward
            )
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, program_writer}
        self._writers |= pair
        relays = {
            asyncio.create_task(self._relay(reader, program_writer, Mode.NO_REQUESTS)),
            asyncio.create_task(self._relay(program_reader, writer, Mode.NO_ANSWERS)),
        }
        self._tasks |= relays
        await asyncio.wait(relays, return_when=asyncio.FIRST_COMPLETED)
        self._writers -= pair
        self._tasks -= relays
        for end in pair:
            end.transport.abort()
        await asyncio.gather(*relays, return_exceptions=True)

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blocked_by: Mode,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            # Blocked bytes are dropped. The connection is reset when the fault ends,
            # so the gap in its stream does no harm.
            if self.mode in (Mode.SILENCE, blocked_by):
                continue
            if self.mode is Mode.DELAY:
                await asyncio.sleep(self.delay_s)
            writer.write(data)
            await writer.drain()
