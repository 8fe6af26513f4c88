"""Simulated upstream, which terminates the inner TCP and answers line by line."""

import asyncio
import ipaddress
import json
import secrets
import signal
import time
from contextlib import AsyncExitStack, suppress

import aiohttp
from absl import app, flags

from arbutuslift.errors import PacketError
from arbutuslift.protocol.packets import (
    RST,
    ResetPacket,
    SynPacket,
    TcpPacket,
    decode,
    encode_tcp,
)
from arbutuslift.state.flowkey import Endpoint, FlowKey
from arbutuslift.transport.announcements import SIGNATURE_HEADER, signature_of

from .addresses import parse_address
from .tcp import Connection, ConnectionLost

ANNOUNCE_INTERVAL_S = 1.0
ANNOUNCE_TIMEOUT_S = 1.0
SLOTS = 2
SERVICE_TIME_S = 0.005
PACKET_LOG_INTERVAL_S = 0.1

flags.DEFINE_string("upstream_name", None, "Name.")
flags.DEFINE_string("upstream_data_centre", None, "Data centre.")
flags.DEFINE_string("upstream_listen", None, "ip:port for encapsulated packets.")
flags.DEFINE_string("service", None, "Name of the service.")
flags.DEFINE_string("service_address", None, "ip:port of the service.")
flags.DEFINE_list("work_kinds", [], "Kinds of work.")
flags.DEFINE_float("age_s", 0.0, "Announces a start this long ago.")
flags.DEFINE_list("announce", [], "URLs that take announcements.")
flags.DEFINE_string("announce_key", None, "Shared key of signed announcements.")
flags.DEFINE_float("cold_s", 0.0, "Announces the state cold for this time.")
flags.DEFINE_string("return_path", None, "ip:port of the fabric for return packets.")


class UpstreamStandIn(asyncio.DatagramProtocol):
    """Answers lines ``ID TEXT`` with ``ID done NAME``, two at a time."""

    def __init__(self, name: str, service: Endpoint, return_path) -> None:
        self.name = name
        self._service = service
        self._return_path = return_path
        self._connections: dict[FlowKey, Connection] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._slots = asyncio.Semaphore(SLOTS)
        self.busy_slots = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._last_packet_s = 0.0

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a packet; discard packets for other services."""
        try:
            packet = decode(data)
        except PacketError:
            return
        if packet.destination != self._service or not isinstance(packet, TcpPacket):
            return
        self._log_packet()
        flow = packet.flow_from_caller()
        connection = self._connections.get(flow)
        if connection is not None and isinstance(packet, SynPacket):
            connection.accept(packet.seq)
        elif connection is not None:
            connection.handle(packet)
        elif isinstance(packet, SynPacket):
            self._open(flow, packet)
        elif not isinstance(packet, ResetPacket):
            self._send(
                encode_tcp(packet.destination, packet.source, flags=RST, seq=packet.ack)
            )

    def _log_packet(self) -> None:
        """Print that packets arrive, at most once per 0.1 s."""
        now_s = time.time()
        if now_s - self._last_packet_s >= PACKET_LOG_INTERVAL_S:
            self._last_packet_s = now_s
            print(f"received {now_s:.3f}", flush=True)

    def _open(self, flow: FlowKey, packet: SynPacket) -> None:
        connection = Connection(
            packet.destination, packet.source, self._send, is_active=False
        )
        self._connections[flow] = connection
        connection.accept(packet.seq)
        task = asyncio.create_task(self._serve(flow, connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, flow: FlowKey, connection: Connection) -> None:
        remainder = b""
        try:
            while data := await connection.read():
                *lines, remainder = (remainder + data).split(b"\n")
                for line in lines:
                    await self._answer(line, connection)
            connection.finish()
        except ConnectionLost:
            pass
        finally:
            self._connections.pop(flow, None)

    async def _answer(self, line: bytes, connection: Connection) -> None:
        request_id = line.split(b" ")[0]
        print(f"ran {request_id.decode()}", flush=True)
        async with self._slots:
            self.busy_slots += 1
            try:
                await asyncio.sleep(SERVICE_TIME_S)
            finally:
                self.busy_slots -= 1
        connection.write(b"%s done %s\n" % (request_id, self.name.encode()))

    def _send(self, data: bytes) -> None:
        self._transport.sendto(data, self._return_path)


class Announcer:
    """Posts announcements until the upstream leaves.

    Args:
        upstream: The upstream.
        fixed: Fields that never change.
        key: Shared key that signs announcements; None for unsigned ones.
        cold_s: Duration of the state cold after the start.
    """

    def __init__(
        self,
        upstream: UpstreamStandIn,
        fixed: dict[str, object],
        key: bytes | None = None,
        cold_s: float = 0.0,
    ) -> None:
        self._upstream = upstream
        self._fixed = fixed
        self._key = key
        self._ready_at_s = time.monotonic() + cold_s
        self._sequence = 0
        self._final_state: str | None = None
        self._changed = asyncio.Event()

    async def run(self, urls: list[str]) -> None:
        """Announce to every URL at each interval and on each change of state."""
        timeout = aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while self._final_state != "leaving":
                self._changed.clear()
                await self._announce(session, urls)
                with suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), ANNOUNCE_INTERVAL_S)
            await self._announce(session, urls)

    def drain(self) -> None:
        """Announce the state draining from now on until the end."""
        self._set_final_state("draining")

    def leave(self) -> None:
        """Announce the state leaving once and stop."""
        self._set_final_state("leaving")

    def _set_final_state(self, state: str) -> None:
        self._final_state = state
        self._changed.set()

    def _state(self) -> str:
        if self._final_state is not None:
            return self._final_state
        return "ready" if time.monotonic() >= self._ready_at_s else "cold"

    async def _announce(self, session: aiohttp.ClientSession, urls: list[str]) -> None:
        self._sequence += 1
        content = self._fixed | {
            "state": self._state(),
            "sequence": self._sequence,
            "open_connections": self._upstream.open_connections,
            "busy_slots": self._upstream.busy_slots,
        }
        body = json.dumps(content).encode()
        await asyncio.gather(*(self._post(session, url, body) for url in urls))

    async def _post(self, session: aiohttp.ClientSession, url: str, body: bytes):
        headers = {"Content-Type": "application/json"}
        if self._key is not None:
            headers[SIGNATURE_HEADER] = signature_of(body, self._key)
        with suppress(aiohttp.ClientError, TimeoutError):
            async with session.post(url, data=body, headers=headers) as response:
                if response.status != 204:
                    print(f"announcement refused: {await response.text()}", flush=True)


async def serve() -> None:
    """Run the stand-in; SIGUSR1 starts draining, SIGTERM ends it as leaving."""
    settings = flags.FLAGS
    listen = parse_address(settings.upstream_listen)
    service_ip, service_port = parse_address(settings.service_address)
    service = Endpoint(ipaddress.IPv4Address(service_ip).packed, service_port)
    return_path = parse_address(settings.return_path)
    loop = asyncio.get_running_loop()
    async with AsyncExitStack() as stack:
        transport, upstream = await loop.create_datagram_endpoint(
            lambda: UpstreamStandIn(settings.upstream_name, service, return_path),
            local_addr=listen,
        )
        stack.callback(transport.close)
        announcer = Announcer(
            upstream,
            {
                "upstream_id": secrets.token_hex(16),
                "name": settings.upstream_name,
                "data_centre": settings.upstream_data_centre,
                "address": listen[0],
                "port": listen[1],
                "service": settings.service,
                "work_kinds": settings.work_kinds,
                "weight": 100,
                "started_at_s": time.time() - settings.age_s,
            },
            key=settings.announce_key.encode() if settings.announce_key else None,
            cold_s=settings.cold_s,
        )
        loop.add_signal_handler(signal.SIGUSR1, announcer.drain)
        loop.add_signal_handler(signal.SIGTERM, announcer.leave)
        await announcer.run(settings.announce)


def main(argv: list[str]) -> None:
    """Run the stand-in."""
    del argv
    asyncio.run(serve())


if __name__ == "__main__":
    app.run(main)
