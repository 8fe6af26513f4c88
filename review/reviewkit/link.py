"""Link between a client and one node, which a partition can hold up."""

import asyncio

CHUNK_BYTES = 65536


class Link:
    """Forwards connections; a partition holds up their bytes and new connections.

    What was sent on an open connection arrives after the partition, as the operating
    system sends it again, also if its sender has ended since. A connection can't be
    made during the partition.

    Args:
        listen: Address and port for clients.
        forward: Address and port of the node.
    """

    def __init__(self, listen: tuple[str, int], forward: tuple[str, int]) -> None:
        self._listen = listen
        self._forward = forward
        self._is_whole = asyncio.Event()
        self._is_whole.set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return the address for clients."""
        return f"{self._listen[0]}:{self._listen[1]}"

    async def open(self) -> None:
        """Start to forward connections."""
        self._server = await asyncio.start_server(self._serve, *self._listen)

    def close(self) -> None:
        """End all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()

    def cut(self) -> None:
        """Hold up everything from now on."""
        self._is_whole.clear()

    def heal(self) -> None:
        """Deliver what was held up, and forward again."""
        self._is_whole.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if not self._is_whole.is_set():
            await self._is_whole.wait()
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._forward)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        self._writers |= pair
        try:
            await asyncio.gather(
                self._relay(reader, far_writer), self._relay(far_reader, writer)
            )
        finally:
            self._writers -= pair
            for end in pair:
                end.transport.abort()

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self._is_whole.wait()
                writer.write(data)
                await writer.drain()
            await self._is_whole.wait()
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            writer.transport.abort()
