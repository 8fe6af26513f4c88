"""Stand-in targets: flows over UDP, status reports over HTTP."""

import asyncio
import itertools
import random
import socket
import time

import aiohttp

from .ledger import Ledger
from .wire import ACK, FIN, RST, SYN, TARGET_BYTES, Packet, decode

REPORT_S = 0.6
CALL_TIMEOUT_S = 1.0
WORK_S = 0.005
LEAVE_AFTER_S = 4.0

_numbers = itertools.count(1)


class Target(asyncio.DatagramProtocol):
    """One start of a target.

    Args:
        ip: Its address.
        service: Its service.
        data_centre: Where it runs.
        controls: Addresses of control instances.
        caller_port: Port of callers.
        ledger: Takes what it sees.
        rng: Chooses control instances and sequence numbers.
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
        self.number = rng.getrandbits(40) << 16 | next(_numbers)
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
        """Listen and report."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, (self._ip, self.PORT), family=socket.AF_INET
        )
        self._server = await asyncio.start_server(
            lambda reader, writer: writer.close(), self._ip, self.PORT
        )
        self._start(self._report())

    def crash(self) -> None:
        """End without a word."""
        self.is_alive = False
        self._transport.close()
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def leave(self) -> None:
        """Drain, leave and end."""
        self._state = "draining"
        while self.is_alive and not await self._call("Heartbeat"):
            await asyncio.sleep(0.1)
        self._ledger.drained(self.identity)
        await asyncio.sleep(LEAVE_AFTER_S)
        await self._call("Leave")
        self.crash()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a packet that the system carries."""
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
            self._start(self._work(packet))

    def _open_flow(self, packet: Packet) -> None:
        self._ledger.opened(self.identity, self.data_centre)
        self._flows.setdefault(packet.source, {})
        self._send(packet.answer(SYN | ACK, seq=self.number & 0xFFFFFFFF))

    async def _work(self, packet: Packet) -> None:
        """Run a request once for each flow and sequence number, and answer."""
        answers = self._flows[packet.source]
        if packet.seq not in answers:
            answers[packet.seq] = b""
            kind, _, request = packet.data.decode().partition(" ")
            self._ledger.ran(request, kind == "GET")
            await asyncio.sleep(WORK_S)
            answers[packet.seq] = f"done {request}".encode()
        if answers[packet.seq]:
            self._send(packet.answer(ACK, ack=packet.seq, data=answers[packet.seq]))

    def _send(self, packet: Packet) -> None:
        caller = socket.inet_ntoa(packet.destination[0])
        self._transport.sendto(packet.encode(), (caller, self._caller_port))

    async def _report(self) -> None:
        while True:
            await self._call("Heartbeat")
            await asyncio.sleep(REPORT_S)

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

    def _start(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
