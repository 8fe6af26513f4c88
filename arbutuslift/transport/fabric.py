"""Interface to the fabric: each datagram carries one inner packet."""

import asyncio
import socket
from abc import ABC, abstractmethod

from attrs import frozen

from ..errors import TransportError

RECEIVE_QUEUE_PACKETS = 4096
SOCKET_BUFFER_BYTES = 4 * 1024 * 1024


@frozen
class Address:
    """UDP or TCP address.

    Attributes:
        ip: Dotted IPv4 address.
        port: Port number.
    """

    ip: str
    port: int


@frozen
class Datagram:
    """A datagram and the outer address of its sender."""

    data: bytes
    source: Address


class Fabric(ABC):
    """Sends and receives datagrams."""

    @abstractmethod
    async def receive(self) -> Datagram:
        """Wait for the next datagram."""

    @abstractmethod
    def send(self, data: bytes, destination: Address) -> None:
        """Send one datagram; it may be lost."""

    @abstractmethod
    def queue_fill(self) -> float:
        """Return how full the receive queue is, from 0 to 1."""

    @abstractmethod
    def close(self) -> None:
        """Release the socket."""


class MemoryFabric(Fabric):
    """Fabric for tests: records sent datagrams and delivers those that tests queue."""

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, Address]] = []
        self._queue: asyncio.Queue[Datagram] = asyncio.Queue(RECEIVE_QUEUE_PACKETS)

    def deliver(self, data: bytes, source: Address) -> None:
        """Queue a datagram for :meth:`receive`."""
        self._queue.put_nowait(Datagram(data, source))

    async def receive(self) -> Datagram:
        """Wait for the next datagram."""
        return await self._queue.get()

    def send(self, data: bytes, destination: Address) -> None:
        """Record the datagram in :attr:`sent`."""
        self.sent.append((data, destination))

    def queue_fill(self) -> float:
        """Return how full the queue is, from 0 to 1."""
        return self._queue.qsize() / RECEIVE_QUEUE_PACKETS

    def close(self) -> None:
        """Do nothing."""


class UdpFabric(Fabric, asyncio.DatagramProtocol):
    """Fabric on a UDP socket.

    Datagrams that arrive while the queue is full are dropped and counted in
    :attr:`dropped_packets`.
    """

    def __init__(self) -> None:
        self.dropped_packets = 0
        self._queue: asyncio.Queue[Datagram] = asyncio.Queue(RECEIVE_QUEUE_PACKETS)
        self._transport: asyncio.DatagramTransport | None = None

    @classmethod
    async def open(cls, address: Address) -> "UdpFabric":
        """Bind a socket.

        Args:
            address: Address to bind; port 0 selects any free port.

        Raises:
            TransportError: The address can't be bound.
        """
        udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            udp_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES
            )
            udp_socket.bind((address.ip, address.port))
        except OSError as error:
            udp_socket.close()
            raise TransportError(
                f"can't bind {address.ip}:{address.port}: {error.strerror}",
                step="open fabric socket",
            ) from error
        loop = asyncio.get_running_loop()
        _, fabric = await loop.create_datagram_endpoint(cls, sock=udp_socket)
        return fabric

    @property
    def address(self) -> Address:
        """The bound address."""
        return Address(*self._transport.get_extra_info("sockname")[:2])

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Queue a datagram."""
        try:
            self._queue.put_nowait(Datagram(data, Address(*addr)))
        except asyncio.QueueFull:
            self.dropped_packets += 1

    def error_received(self, exc: OSError) -> None:
        """Ignore ICMP errors, since the receiver may be restarting."""

    async def receive(self) -> Datagram:
        """Wait for the next datagram."""
        return await self._queue.get()

    def send(self, data: bytes, destination: Address) -> None:
        """Send one datagram."""
        self._transport.sendto(data, (destination.ip, destination.port))

    def queue_fill(self) -> float:
        """Return how full the receive queue is, from 0 to 1."""
        return self._queue.qsize() / RECEIVE_QUEUE_PACKETS

    def close(self) -> None:
        """Close the socket."""
        self._transport.close()
