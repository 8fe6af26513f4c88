"""Simulated fabric, which turns TCP connections of callers into sprayed packets."""

import asyncio
import ipaddress
import random
import socket
from contextlib import AsyncExitStack
from functools import partial
from http import HTTPStatus
from pathlib import Path

import aiohttp
from absl import app, flags

from arbutuslift.errors import PacketError
from arbutuslift.protocol.document import Service, load_document
from arbutuslift.protocol.packets import TcpPacket, decode
from arbutuslift.state.flowkey import Endpoint

from .addresses import parse_address
from .tcp import Connection, ConnectionLost

AVOIDANCE_S = 0.5
HEALTH_INTERVAL_S = 0.5
HEALTH_TIMEOUT_S = 0.5
READ_BYTES = 65536

# First line sent to a caller. The caller's own TCP connection ends at the stand-in, so
# only this line tells it the result of the handshake with an upstream.
OPENED = b"opened\n"
REFUSED = b"refused\n"
LOST = b"lost\n"

flags.DEFINE_string("fabric_listen", None, "ip:port that takes packets for callers.")
flags.DEFINE_string("returns", None, "ip:port that takes packets of upstreams.")
flags.DEFINE_list("instances", [], "ip:port of each entry instance.")
flags.DEFINE_list("health", [], "Health URL of each entry instance, in order.")
flags.DEFINE_string("services", None, "Path of the configuration document.")


class PacketSprayer:
    """Sends each packet to a random instance, as seen from one source address.

    An instance whose port is closed gets no packets for ``AVOIDANCE_S``.

    Args:
        source_ip: Outer source address of the packets.
        instances: Addresses of the instances.
        stopping: Instances whose health check failed.
    """

    def __init__(
        self,
        source_ip: str,
        instances: list[tuple[str, int]],
        stopping: set[tuple[str, int]],
    ) -> None:
        self._instances = instances
        self._stopping = stopping
        self._avoid_until_s: dict[tuple[str, int], float] = {}
        self._sockets = {}
        for instance in instances:
            udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            udp.setblocking(False)
            udp.bind((source_ip, 0))
            udp.connect(instance)
            self._sockets[instance] = udp

    def send(self, data: bytes) -> None:
        """Send one packet to a random usable instance."""
        now_s = asyncio.get_running_loop().time()
        usable = [
            instance
            for instance in self._instances
            if instance not in self._stopping
            and self._avoid_until_s.get(instance, 0.0) <= now_s
        ]
        for instance in random.sample(usable, len(usable)):
            try:
                self._sockets[instance].send(data)
                return
            except BlockingIOError:
                return
            except OSError:
                self._avoid_until_s[instance] = now_s + AVOIDANCE_S

    def close(self) -> None:
        """Close all sockets."""
        for udp in self._sockets.values():
            udp.close()


class ReceivingSocket(asyncio.DatagramProtocol):
    """Passes each datagram to a function."""

    def __init__(self, handle) -> None:
        self._handle = handle

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass on a datagram."""
        self._handle(data, addr)


class FabricStandIn:
    """Turns connections of callers into packets and sprays all packets."""

    def __init__(self, instances: list[tuple[str, int]]) -> None:
        self._instances = instances
        self._stopping: set[tuple[str, int]] = set()
        self._callers = PacketSprayer("127.0.0.1", instances, self._stopping)
        self._upstreams: dict[str, PacketSprayer] = {}
        self._connections: dict[tuple[Endpoint, Endpoint], Connection] = {}

    def deliver_to_caller(self, data: bytes, _source: tuple[str, int]) -> None:
        """Deliver a packet to the connection of its caller."""
        try:
            packet = decode(data)
        except PacketError:
            return
        connection = self._connections.get((packet.destination, packet.source))
        if connection and isinstance(packet, TcpPacket):
            connection.handle(packet)

    def spray_from_upstream(self, data: bytes, source: tuple[str, int]) -> None:
        """Spray a packet of an upstream and keep its outer source address."""
        if source[0] not in self._upstreams:
            self._upstreams[source[0]] = PacketSprayer(
                source[0], self._instances, self._stopping
            )
        self._upstreams[source[0]].send(data)

    async def serve_caller(
        self,
        service: Service,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forward one caller's connection in both directions."""
        ip, port = writer.get_extra_info("peername")[:2]
        caller = Endpoint(ipaddress.IPv4Address(ip).packed, port)
        address = ipaddress.IPv4Address(service.address).packed
        target = Endpoint(address, service.port)
        connection = Connection(caller, target, self._callers.send, is_active=True)
        self._connections[caller, target] = connection
        connection.connect()
        try:
            await connection.opened
            writer.write(OPENED)
            to_upstream = asyncio.create_task(_forward_to_upstream(reader, connection))
            try:
                await _forward_to_caller(connection, writer)
            finally:
                to_upstream.cancel()
        except ConnectionLost:
            writer.write(REFUSED if connection.was_refused else LOST)
            writer.close()
        finally:
            del self._connections[caller, target]

    async def watch_health(self, urls: list[str]) -> None:
        """Poll the health endpoints and stop sending to instances that fail."""
        timeout = aiohttp.ClientTimeout(total=HEALTH_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                for instance, url in zip(self._instances, urls, strict=True):
                    await self._check_health(session, instance, url)
                await asyncio.sleep(HEALTH_INTERVAL_S)

    async def _check_health(
        self, session: aiohttp.ClientSession, instance: tuple[str, int], url: str
    ) -> None:
        try:
            async with session.get(url) as response:
                is_stopping = response.status != HTTPStatus.OK
        except (aiohttp.ClientError, TimeoutError):
            is_stopping = True
        if is_stopping:
            self._stopping.add(instance)
        else:
            self._stopping.discard(instance)

    def close(self) -> None:
        """Close all sockets."""
        self._callers.close()
        for sprayer in self._upstreams.values():
            sprayer.close()


async def _forward_to_upstream(
    reader: asyncio.StreamReader, connection: Connection
) -> None:
    while data := await reader.read(READ_BYTES):
        connection.write(data)
    connection.finish()


async def _forward_to_caller(
    connection: Connection, writer: asyncio.StreamWriter
) -> None:
    try:
        while data := await connection.read():
            writer.write(data)
            await writer.drain()
        writer.close()
    except (ConnectionLost, ConnectionError):
        writer.transport.abort()


async def serve() -> None:
    """Run the stand-in until it is terminated."""
    instances = [parse_address(text) for text in flags.FLAGS.instances]
    document = load_document(Path(flags.FLAGS.services))
    loop = asyncio.get_running_loop()
    async with AsyncExitStack() as stack:
        fabric = FabricStandIn(instances)
        stack.callback(fabric.close)
        for listen, handle in (
            (flags.FLAGS.fabric_listen, fabric.deliver_to_caller),
            (flags.FLAGS.returns, fabric.spray_from_upstream),
        ):
            transport, _ = await loop.create_datagram_endpoint(
                partial(ReceivingSocket, handle), local_addr=parse_address(listen)
            )
            stack.callback(transport.close)
        for service in document.services:
            server = await asyncio.start_server(
                partial(fabric.serve_caller, service), service.address, service.port
            )
            stack.callback(server.close)
        await fabric.watch_health(flags.FLAGS.health)


def main(argv: list[str]) -> None:
    """Run the stand-in."""
    del argv
    asyncio.run(serve())


if __name__ == "__main__":
    app.run(main)
