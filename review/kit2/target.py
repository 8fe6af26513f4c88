"""A target: flows over UDP, status reports, and a health check over TCP."""

import asyncio
import random
import socket
import time

from . import wire
from .http import call
from .programs import CONTROL_PORT, PACKET_PORT
from .record import Record, plain
from .wire import ACK, FIN, RST, SYN, Packet

PORT = 8080
INTERVAL_S = 1.2
RETRANSMIT_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)


@plain
class Taken:
    """A flow at a target.

    Attributes:
        seq: Own sequence number of the handshake.
        arrived_s: When the SYN arrived.
        syn: The SYN.
        is_open: Whether the consumer has acknowledged the handshake.
        answers: Answers by sequence number of the request; None while it runs.
        acked: Highest acknowledgement of the consumer.
        echo: Last echo received.
        was_cold: Whether the target was cold when the SYN arrived.
    """

    seq: int
    arrived_s: float
    syn: Packet
    is_open: bool
    answers: dict
    acked: int
    echo: int
    was_cold: bool


class Target(asyncio.DatagramProtocol):
    """One start of a target.

    Args:
        ip: Its address.
        zone: Its zone.
        service: Its service.
        controls: Returns the addresses of the control programs.
        record: Record of the run.
        identity: Its id; a new one without.
        work_s: Time that a request takes.
    """

    def __init__(
        self,
        ip: str,
        zone: str,
        service: str,
        controls,
        record: Record,
        identity: str = "",
        work_s: float = 0.005,
    ) -> None:
        self.ip = ip
        self.zone = zone
        self.service = service
        self.identity = identity or f"i-{random.getrandbits(40):010x}"
        self.number = int(self.identity[2:], 16)
        self.is_alive = False
        self.cold_until_s = 0.0
        self.state = "ready"
        self.opened: list[tuple[Taken, str]] = []
        self.ran: list[tuple[float, str]] = []
        self.acked_beats = 0
        self.order: list[str] | None = None
        self._controls = controls
        self._record = record
        self._work_s = work_s
        self._flows: dict[tuple[bytes, int, int], Taken] = {}
        self._ended: set[tuple[bytes, int, int]] = set()
        self._sequence = 0
        self._tasks: set[asyncio.Task] = set()
        self._born_ms = 0
        self._slots = asyncio.Semaphore(2)

    async def open(self, cold_s: float = 0.0) -> None:
        """Listen, and send status reports from now on."""
        loop = asyncio.get_running_loop()
        self._born_ms = int(time.time() * 1000)
        self.cold_until_s = self._record.now_s() + cold_s if cold_s else 0.0
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, (self.ip, PORT), family=socket.AF_INET
        )
        self._server = await asyncio.start_server(self._serve, self.ip, PORT)
        self.is_alive = True
        self.spawn(self._beat())

    def spawn(self, work) -> None:
        """Run work until the target ends."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @property
    def cold_left_s(self) -> float:
        """Return how long it stays cold."""
        return max(0.0, self.cold_until_s - self._record.now_s())

    def turn_cold(self, cold_s: float) -> None:
        """Be cold from now on; the next status report tells it."""
        self.cold_until_s = self._record.now_s() + cold_s

    def crash(self) -> None:
        """End at once."""
        self.is_alive = False
        self._transport.close()
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader, writer) -> None:
        try:
            async with asyncio.timeout(2):
                await reader.readuntil(b"\r\n\r\n")
            is_healthy = self.state == "ready"
            status = "200 OK" if is_healthy else "503 Service Unavailable"
            writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode())
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        writer.close()

    async def _beat(self) -> None:
        while True:
            await self.report()
            await asyncio.sleep(INTERVAL_S * random.uniform(0.95, 1.05))

    async def report(self, name: str = "Heartbeat") -> str | None:
        """Send a status report; return who acknowledged it."""
        controls = list(self._controls())
        random.shuffle(controls)
        if self.order:
            controls = self.order
        for ip in controls:
            self._sequence += 1
            body = {
                "service": self.service,
                "address": f"{self.ip}:{PORT}",
                "zone": self.zone,
                "version": "v1",
                "slots": 2,
                "state": self.state,
                "cold_left_ms": int(self.cold_left_s * 1000),
                "sequence": self._sequence,
                "born": self._born_ms,
            }
            path = f"/Instances.{name}/{self.identity}"
            answer = await call((ip, CONTROL_PORT), "POST", path, body)
            if answer is not None and 200 <= answer[0] < 300:
                self.acked_beats += 1
                cold = body["cold_left_ms"]
                text = f"{self.state} cold_left_ms={cold} acknowledged by {ip}"
                self._record.note(f"report {self.identity} {text}")
                return ip
        return None

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a datagram of an entry program."""
        del addr
        now_s = self._record.now_s()
        number = wire.TARGET.unpack_from(data)[0]
        if number not in (0, self.number):
            return
        packet = wire.decode(data[wire.TARGET.size :])
        key = (packet.src, packet.sport, packet.dport)
        flow = self._flows.get(key)
        if packet.flags & SYN:
            self._on_syn(packet, key, flow, now_s)
        elif flow is None:
            if key in self._ended and packet.flags & FIN and not packet.data:
                self._answer(packet, ACK, 0)
            elif not packet.flags & RST:
                self._answer(packet, RST, 0)
        else:
            self._on_packet(packet, key, flow, now_s)

    def _on_syn(self, packet: Packet, key, flow: Taken | None, now_s: float) -> None:
        if flow is None:
            is_cold = self.cold_left_s > 0
            flow = Taken(
                random.getrandbits(32), now_s, packet, False, {}, -1, 0, is_cold
            )
            self._flows[key] = flow
        flow.echo = packet.echo
        self._answer(packet, SYN | ACK, flow.seq)

    def _on_packet(self, packet: Packet, key, flow: Taken, now_s: float) -> None:
        flow.echo = packet.echo
        if packet.flags & RST:
            del self._flows[key]
            return
        if not flow.is_open:
            if packet.ack != (flow.seq + 1) % 2**32:
                return
            flow.is_open = True
            self.opened.append((flow, packet.src.hex() + f":{packet.sport}"))
        flow.acked = packet.ack
        if packet.data and packet.seq not in flow.answers:
            flow.answers[packet.seq] = None
            self.spawn(self._run(packet, key, flow, now_s))
        elif packet.data and flow.answers[packet.seq] is not None:
            self._send_answer(packet, flow)
        if packet.flags & FIN:
            del self._flows[key]
            self._ended.add(key)
            self._answer(packet, FIN | ACK, flow.seq + 1)

    async def _run(self, packet: Packet, key, flow: Taken, now_s: float) -> None:
        lines = packet.data.decode().split("\r\n")
        found = next(x for x in lines if x.startswith("X-Request-Id:"))
        request = found.split()[1]
        self.ran.append((now_s, request))
        async with self._slots:
            await asyncio.sleep(self._work_s)
        body = f"done {request} at {self.identity}".encode()
        flow.answers[packet.seq] = (
            b"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nContent-Length: "
            + str(len(body)).encode()
            + b"\r\n\r\n"
            + body
        )
        acked = flow.acked
        for wait_s in RETRANSMIT_S:
            if self._flows.get(key) is not flow or flow.acked != acked:
                return
            self._send_answer(packet, flow)
            await asyncio.sleep(wait_s)

    def _send_answer(self, packet: Packet, flow: Taken) -> None:
        seq = (flow.seq + 1) % 2**32
        ack = packet.seq + len(packet.data)
        self._answer(packet, ACK, seq, ack, flow.answers[packet.seq])

    def _answer(
        self, packet: Packet, flags: int, seq: int, ack: int = 0, data: bytes = b""
    ) -> None:
        answer = Packet(
            packet.dst,
            packet.dport,
            packet.src,
            packet.sport,
            flags,
            seq % 2**32,
            (ack or packet.seq + 1) % 2**32,
            packet.echo,
            data=data,
        )
        consumer = (socket.inet_ntoa(packet.src), PACKET_PORT)
        self._transport.sendto(answer.encode(), consumer)
