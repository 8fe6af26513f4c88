"""A link between a machine and a node, which a partition can cut."""

import asyncio

CHUNK_BYTES = 65536


class Link:
    """Forwards TCP connections from one address to another.

    While it is cut, bytes on open connections are held up and new connections get
    nowhere. Once it heals, what was held up arrives after ``resend_s``, as the sender's
    next retransmission does.
    """

    def __init__(self, listen: tuple[str, int], forward: tuple[str, int]) -> None:
        self.address = listen
        self._forward = forward
        self._is_cut = False
        self._passing = asyncio.Event()
        self._passing.set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, *self.address)

    def cut(self) -> None:
        """Let nothing pass from now on."""
        self._is_cut = True
        self._passing.clear()

    async def heal(self, resend_s: float) -> None:
        """Let new connections pass at once, and what is held up a little later."""
        self._is_cut = False
        await asyncio.sleep(resend_s)
        self._passing.set()

    def close(self) -> None:
        """End all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._tasks.add(asyncio.current_task())
        try:
            # The handshake of a new connection would not have come through.
            if self._is_cut:
                await reader.read()
                return
            other_reader, other_writer = await asyncio.open_connection(*self._forward)
            back = asyncio.create_task(self._pass_back(other_reader, writer))
            try:
                while data := await reader.read(CHUNK_BYTES):
                    if self._is_cut:
                        await self._passing.wait()
                    other_writer.write(data)
                    await other_writer.drain()
                # What was held up is answered before the end arrives.
                await asyncio.sleep(0.05)
            finally:
                back.cancel()
                other_writer.close()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            self._tasks.discard(asyncio.current_task())

    async def _pass_back(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self._is_cut:
                await self._passing.wait()
            writer.write(data)
