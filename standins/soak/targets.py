"""Simulated targets: flows over UDP, heartbeats over HTTP."""

import asyncio
import itertools
import random
import socket
import time

import aiohttp

from .ledger import Ledger
from .wire import ACK, FIN, RST, SYN, TARGET_BYTES, Packet, decode

HEARTBEAT_INTERVAL_S = 0.6
CALL_TIMEOUT_S = 1.0
SERVICE_TIME_S = 0.005
DRAIN_TIME_S = 4.0

_start_numbers = itertools.count(1)


class Target(asyncio.DatagramProtocol):
    """One start of a target.

    Args:
        ip: Address of the target.
        service: Name of its service.
        data_centre: Data centre of the target.
        controls: Addresses of control instances.
        caller_port: UDP port of callers.
        ledger: Records the observations.
        rng: Selects control instances and draws the target's number.
    """

    PORT = 8080

    def __init__(
        self,
        ip: str,
        service: str,
        data_centre: str,
        controls: list[str],
        caller_port: int,
        ledger: Ledger,
        rng: random.Random,
    ) -> None:
        self.number = rng.getrandbits(40) << 16 | next(_start_numbers)
        self.identity = f"i-{self.number:x}"
        self.data_centre = data_centre
        self.is_alive = True
        self._ip = ip
        self._service = service
        self._controls = controls
        self._caller_port = caller_port
        self._ledger = ledger
        self._rng = rng
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0
        self._state = "ready"
        self._flows: dict[tuple[bytes, int], dict[int, bytes]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Start listening and sending heartbeats."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, (self._ip, self.PORT), family=socket.AF_INET
        )
        self._server = await asyncio.start_server(
            lambda reader, writer: writer.close(), self._ip, self.PORT
        )
        self._start_task(self._send_heartbeats())

    def crash(self) -> None:
        """Stop at once without announcing it."""
        self.is_alive = False
        self._transport.close()
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def leave(self) -> None:
        """Announce draining, wait for the drain time, announce leaving and stop."""
        self._state = "draining"
        while self.is_alive and not await self._call("Heartbeat"):
            await asyncio.sleep(0.1)
        self._ledger.record_drain(self.identity)
        await asyncio.sleep(DRAIN_TIME_S)
        await self._call("Leave")
        self.crash()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a packet that the system forwarded."""
        del addr
        number = int.from_bytes(data[:TARGET_BYTES], "big")
        packet = decode(data[TARGET_BYTES:])
        if number != self.number:
            return
        if packet.flags & SYN:
            self._open_flow(packet)
        elif packet.source not in self._flows:
            self._send(packet.answer(RST))
        elif packet.flags & (FIN | RST):
            del self._flows[packet.source]
            self._send(packet.answer(ACK | FIN))
        elif packet.data:
            self._start_task(self._run_request(packet))

    def _open_flow(self, packet: Packet) -> None:
        self._ledger.record_new_flow(self.identity, self.data_centre)
        self._flows.setdefault(packet.source, {})
        self._send(packet.answer(SYN | ACK, seq=self.number & 0xFFFFFFFF))

    async def _run_request(self, packet: Packet) -> None:
        """Run a request once for each flow and sequence number, and send the answer."""
        answers = self._flows[packet.source]
        if packet.seq not in answers:
            answers[packet.seq] = b""
            kind, _, request = packet.data.decode().partition(" ")
            self._ledger.record_run(request, kind == "GET")
            await asyncio.sleep(SERVICE_TIME_S)
            answers[packet.seq] = f"done {request}".encode()
        if answers[packet.seq]:
            self._send(packet.answer(ACK, ack=packet.seq, data=answers[packet.seq]))

    def _send(self, packet: Packet) -> None:
        caller = socket.inet_ntoa(packet.destination[0])
        self._transport.sendto(packet.encode(), (caller, self._caller_port))

    async def _send_heartbeats(self) -> None:
        while True:
            await self._call("Heartbeat")
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _call(self, name: str) -> bool:
        """Call control instances until one acknowledges."""
        self._sequence += 1
        body = {
            "service": self._service,
            "address": f"{self._ip}:{self.PORT}",
            "zone": self.data_centre,
            "version": "v1",
            "slots": 2,
            "state": self._state,
            "cold_left_ms": 0,
            "sequence": self._sequence,
            "born": self._born_ms,
        }
        order = self._rng.sample(self._controls, len(self._controls))
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        for control in order:
            url = f"http://{control}/Instances.{name}/{self.identity}"
            try:
                async with (
                    aiohttp.ClientSession(timeout=timeout) as session,
                    session.post(url, json=body) as answer,
                ):
                    if answer.status == 200:
                        return True
            except (aiohttp.ClientError, TimeoutError):
                continue
        return False

    def _start_task(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
