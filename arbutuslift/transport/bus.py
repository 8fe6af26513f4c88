"""Requests and one-way messages between the system's processes, as bytes."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable

from ..clock import Clock
from ..errors import PeerTimeout

Handler = Callable[[str, bytes], Awaitable[bytes | None]]


class Bus(ABC):
    """Sends messages to peers, which it addresses by name.

    Attributes:
        name: Name of this process.
        handler: Called with the sender's name and the body of each message; its
            result is the answer to a request.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.handler: Handler | None = None

    @abstractmethod
    def connect(self, peer: str, endpoint: str) -> None:
        """Set the endpoint of a peer, such as ``tcp://127.0.0.1:7300``."""

    @abstractmethod
    async def request(self, peer: str, body: bytes, timeout_s: float) -> bytes:
        """Send a request and wait for the answer.

        Raises:
            PeerTimeout: No answer in time; whether the peer acted is unknown.
        """

    @abstractmethod
    async def send(self, peer: str, body: bytes) -> None:
        """Send a message that needs no answer; it may be lost."""

    @abstractmethod
    async def close(self) -> None:
        """Release sockets and tasks."""


class MemoryNetwork:
    """Simulated network that connects the :class:`MemoryBus` objects of one test.

    Args:
        clock: Source of time for delays and timeouts.
        delay_s: One-way delay of every message.
    """

    def __init__(self, clock: Clock, delay_s: float = 0.001) -> None:
        self.clock = clock
        self.delay_s = delay_s
        self._buses: dict[str, MemoryBus] = {}
        self._partitioned_pairs: set[frozenset[str]] = set()

    def bus(self, name: str) -> "MemoryBus":
        """Return a new bus; a previous one of that name receives no more messages."""
        bus = MemoryBus(name, self)
        self._buses[name] = bus
        return bus

    def partition(self, left: list[str], right: list[str]) -> None:
        """Partition two groups: drop all messages between them."""
        self._partitioned_pairs |= {frozenset((a, b)) for a in left for b in right}

    def heal(self) -> None:
        """Remove all partitions."""
        self._partitioned_pairs.clear()

    def remove(self, name: str) -> None:
        """Remove a process from the network."""
        self._buses.pop(name, None)

    async def deliver(self, sender: str, peer: str, body: bytes) -> bytes | None:
        """Deliver a message and return its answer; wait forever if either is lost."""
        await self.clock.sleep(self.delay_s)
        target = self._buses.get(peer)
        if (
            not self._is_connected(sender, peer)
            or target is None
            or target.handler is None
        ):
            return await _wait_forever()
        answer = await target.handler(sender, body)
        await self.clock.sleep(self.delay_s)
        if not self._is_connected(sender, peer) or self._buses.get(peer) is not target:
            return await _wait_forever()
        return answer

    def _is_connected(self, sender: str, peer: str) -> bool:
        return frozenset((sender, peer)) not in self._partitioned_pairs


class MemoryBus(Bus):
    """Bus for tests, created by :meth:`MemoryNetwork.bus`."""

    def __init__(self, name: str, network: MemoryNetwork) -> None:
        super().__init__(name)
        self._network = network
        self._tasks: set[asyncio.Task[bytes | None]] = set()

    def connect(self, peer: str, endpoint: str) -> None:
        """Do nothing: peers are found by name."""

    async def request(self, peer: str, body: bytes, timeout_s: float) -> bytes:
        """Send a request and wait for the answer."""
        delivery = self._start(peer, body)
        timer = asyncio.ensure_future(self._network.clock.sleep(timeout_s))
        try:
            await asyncio.wait((delivery, timer), return_when=asyncio.FIRST_COMPLETED)
            if not delivery.done():
                raise PeerTimeout("no answer", step="request", peer=peer)
            return delivery.result() or b""
        finally:
            delivery.cancel()
            timer.cancel()

    async def send(self, peer: str, body: bytes) -> None:
        """Send a message that needs no answer."""
        self._start(peer, body)

    async def close(self) -> None:
        """Cancel the deliveries in progress."""
        for task in self._tasks:
            task.cancel()

    def _start(self, peer: str, body: bytes) -> asyncio.Task[bytes | None]:
        delivery = self._network.deliver(self.name, peer, body)
        task = asyncio.create_task(delivery)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


async def _wait_forever() -> bytes:
    return await asyncio.get_running_loop().create_future()
