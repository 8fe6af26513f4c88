"""Targets: flows over UDP, health over TCP, status reports over HTTP."""

import asyncio
import itertools
import random
import time

from .http import Connection
from .packets import ACK, FIN, RST, SYN, TARGET_BYTES, Packet, decode
from .record import Record

HEARTBEAT_S = 1.2
WORK_S = 0.005
RETRANSMITS_S = (0.2, 0.4, 0.8, 1.6)

_ids = itertools.count(1)


class Target(asyncio.DatagramProtocol):
    """One target, which may end and start again under its id.

    Attributes:
        controls: Addresses at which it reports, in the order in which it tries them.
        cold_until_s: End of its cold start, on the monotonic clock.
        opened: When SYNs that opened a flow arrived.
        is_cut: Whether packets don't reach its machine.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        service: str,
        zone: str,
        controls: list[tuple[str, int]],
        consumer_port: int,
        record: Record,
    ) -> None:
        self.number = random.SystemRandom().getrandbits(40) << 8 | next(_ids)
        self.id = f"i-{self.number:x}"
        self.ip, self.port, self.service, self.zone = ip, port, service, zone
        self.controls = controls
        self.consumer_port = consumer_port
        self.record = record
        self.state = "ready"
        self.cold_until_s = 0.0
        self.opened: list[float] = []
        self.runs: list[tuple[float, str]] = []
        self.is_cut = False
        self.is_up = False
        self.sequence = 0
        self._position = 0
        self._connection: Connection | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self, cold_s: float = 0.0) -> None:
        """Start; with ``cold_s`` it is cold for that time."""
        loop = asyncio.get_running_loop()
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.flows: dict[tuple[str, int], dict[int, bytes]] = {}
        self.turn_cold(cold_s)
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, (self.ip, self.port)
        )
        self._server = await asyncio.start_server(self._health, self.ip, self.port)
        self.is_up = True
        self._spawn(self._report())

    def crash(self) -> None:
        """End at once, and tell nobody."""
        self.is_up = False
        for task in list(self._tasks):
            task.cancel()
        self._transport.close()
        self._server.close()
        if self._connection is not None:
            self._connection.close()

    def turn_cold(self, cold_s: float) -> None:
        """Be cold for some seconds from now on."""
        self.cold_until_s = time.monotonic() + cold_s if cold_s else 0.0
        if cold_s:
            self.record.write(f"{self.id} in {self.zone} is cold for {cold_s} s")

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Process a datagram of the system."""
        del addr
        if self.is_cut or int.from_bytes(data[:TARGET_BYTES], "big") != self.number:
            return
        packet = decode(data[TARGET_BYTES:])
        flow = packet.src, packet.sport
        if packet.flags & SYN:
            if flow not in self.flows:
                self.flows[flow] = {}
                self.opened.append(time.monotonic())
                self.record.count(f"opened at {self.id}")
            self._send(packet.answer(SYN | ACK, seq=self.number, ack=packet.seq + 1))
        elif flow not in self.flows:
            if not packet.flags & RST:
                self._send(packet.answer(RST))
        elif packet.flags & (FIN | RST):
            self.flows.pop(flow)
            if packet.flags & FIN:
                self._send(packet.answer(FIN | ACK, ack=packet.seq + 1))
        elif packet.data:
            self._spawn(self._run(flow, packet))

    async def _run(self, flow: tuple[str, int], packet: Packet) -> None:
        answers = self.flows[flow]
        if packet.seq not in answers:
            answers[packet.seq] = b""
            request = packet.data.decode()
            self.runs.append((time.monotonic(), request))
            self.record.ran(request, self.service)
            await asyncio.sleep(WORK_S)
            answers[packet.seq] = f"done {request}".encode()
        if answers[packet.seq]:
            end = packet.seq + len(packet.data)
            self._send(packet.answer(ACK, ack=end, data=answers[packet.seq]))

    def _send(self, packet: Packet) -> None:
        if not self.is_cut:
            self._transport.sendto(packet.encode(), (packet.dst, self.consumer_port))

    async def _health(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.close()

    async def _report(self) -> None:
        while True:
            await self.call("Heartbeat")
            await asyncio.sleep(HEARTBEAT_S)

    async def call(self, name: str) -> bool:
        """Call one node after another until one acknowledges."""
        for _ in range(len(self.controls)):
            address = self.controls[self._position % len(self.controls)]
            if self._connection is None or self._connection.address != address:
                self._connection = Connection(address)
            status, _ = await self._connection.call(
                "POST", f"/Instances.{name}/{self.id}", self._status()
            )
            if 200 <= status < 300:
                return True
            self.record.write(f"report {self.sequence} of {self.id}: status {status}")
            self._position += 1
        return False

    def _status(self) -> dict[str, object]:
        self.sequence += 1
        left_s = max(0.0, self.cold_until_s - time.monotonic())
        return {
            "service": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 2,
            "state": self.state,
            "cold_left_ms": int(left_s * 1000),
            "sequence": self.sequence,
            "born": self.born_ms,
        }

    def _spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
