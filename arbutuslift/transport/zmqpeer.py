"""Connection of the ZeroMQ bus to one peer."""

import asyncio
import itertools
from collections.abc import Callable

import zmq.asyncio
from attrs import define, frozen

QUEUE_MESSAGES = 1000
# A CURVE handshake costs about 1.5 KB. With six random peers a second among 1,500, a
# shorter time would use up the bandwidth limit of control traffic on handshakes.
IDLE_TIMEOUT_S = 600.0
# A peer that was disconnected needs no older messages: the protocols repeat their
# content in newer form.
MAX_QUEUED_S = 2.0

NO_ANSWER = b""
REQUEST_ID_BYTES = 8


@define
class BusCounters:
    """Counters of messages that a bus refused or dropped.

    Attributes:
        malformed: Messages with a wrong number or size of frames.
        spoofed_senders: Messages whose sender name doesn't belong to the key.
        overflows: Messages dropped because they exceed the size limit, a queue is full
            or too many handlers run.
        failures: Handlers that raised an unexpected error.
        expired: Messages dropped because their peer was disconnected for too long.
    """

    malformed: int = 0
    spoofed_senders: int = 0
    overflows: int = 0
    failures: int = 0
    expired: int = 0


@frozen
class _QueuedMessage:
    """A message that is queued until its peer is connected.

    Attributes:
        request_id: Empty if it needs no answer.
        body: The message.
        expires_s: Time on the event loop's clock at which it is dropped.
    """

    request_id: bytes
    body: bytes
    expires_s: float


class ZmqPeer:
    """A DEALER socket with its send queue and its task.

    Attributes:
        task: Runs the connection; when cancelled or idle, it ends and closes the
            socket.
    """

    def __init__(
        self,
        sender: str,
        socket: zmq.asyncio.Socket,
        counters: BusCounters,
        max_message_bytes: int,
    ) -> None:
        self._sender = sender.encode()
        self._socket = socket
        self._counters = counters
        self._max_message_bytes = max_message_bytes
        self._queue: asyncio.Queue[_QueuedMessage] = asyncio.Queue(QUEUE_MESSAGES)
        self._ids = itertools.count(1)
        self._pending: dict[bytes, asyncio.Future[bytes]] = {}
        self._is_unresponsive = False
        self._last_used_s = asyncio.get_running_loop().time()
        self.task = asyncio.create_task(self._run())

    @property
    def is_usable(self) -> bool:
        """Whether the connection may still be used.

        TCP backs off for up to two minutes after a partition, so a connection whose
        requests time out is replaced instead.
        """
        return not self.task.done() and (
            not self._is_unresponsive or bool(self._pending)
        )

    def can_send(self, body: bytes) -> bool:
        """Return whether a message fits the size limit and the queue."""
        if len(body) > self._max_message_bytes or self._queue.full():
            self._counters.overflows += 1
            return False
        return True

    def enqueue(self, request_id: bytes, body: bytes) -> None:
        """Queue a message."""
        self._last_used_s = asyncio.get_running_loop().time()
        self._queue.put_nowait(
            _QueuedMessage(request_id, body, self._last_used_s + MAX_QUEUED_S)
        )

    async def request(self, body: bytes) -> bytes:
        """Queue a request and wait for its answer."""
        request_id = next(self._ids).to_bytes(REQUEST_ID_BYTES, "big")
        answer = asyncio.get_running_loop().create_future()
        self._pending[request_id] = answer
        try:
            self.enqueue(request_id, body)
            return await answer
        finally:
            del self._pending[request_id]

    def record_timeout(self) -> None:
        """Record that a request timed out."""
        self._is_unresponsive = True

    def close(self) -> None:
        """End the task, which closes the socket."""
        self.task.cancel()

    async def _run(self) -> None:
        try:
            async with asyncio.TaskGroup() as group:
                send_task = group.create_task(self._send())
                receive_task = group.create_task(self._receive())
                await self._wait_idle()
                send_task.cancel()
                receive_task.cancel()
        finally:
            self._socket.close(linger=0)

    async def _wait_idle(self) -> None:
        clock: Callable[[], float] = asyncio.get_running_loop().time
        while (remaining_s := self._last_used_s + IDLE_TIMEOUT_S - clock()) > 0:
            await asyncio.sleep(remaining_s)

    async def _send(self) -> None:
        while True:
            message = await self._queue.get()
            request_id = message.request_id
            if request_id and request_id not in self._pending:
                continue
            try:
                async with asyncio.timeout_at(message.expires_s):
                    await self._socket.send_multipart(
                        (request_id, self._sender, message.body)
                    )
            except TimeoutError:
                self._counters.expired += 1

    async def _receive(self) -> None:
        while True:
            frames = await self._socket.recv_multipart()
            self._is_unresponsive = False
            answer = self._pending.get(frames[0]) if len(frames) == 2 else None
            if answer and not answer.done():
                answer.set_result(frames[1])
