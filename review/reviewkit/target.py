"""Targets: flows over UDP, health over TCP, status reports over HTTP."""

import asyncio
import itertools
import random
import socket
import time
from collections.abc import Callable
from contextlib import suppress

from . import http
from .deployment import HEARTBEAT_S, Deployment
from .model import evolved
from .wire import ACK, FIN, RST, SYN, TARGET_BYTES, Packet, decode

HEALTH_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

_numbers = itertools.count(1)


class _Flow:
    """A target's end of one flow.

    Attributes:
        seq: Number of the next byte to send.
        ack: Number of the next byte that is expected.
        echo: Last echo received.
        is_open: Whether the caller has acknowledged the opening.
        answers: Answers by the number of the first byte of their request.
    """

    def __init__(self, seq: int, ack: int, echo: int) -> None:
        self.seq = seq
        self.ack = ack
        self.echo = echo
        self.is_open = False
        self.answers: dict[int, Packet] = {}


class Target(asyncio.DatagramProtocol):
    """One boot of a target.

    Args:
        deployment: The system.
        ip: Loopback address.
        zone: Zone.
        service: Service.
        identity: Identity, for a boot that keeps that of an earlier one.
        controls: Addresses at which it calls the system; all of them by default.
        cold_s: How long it stays cold after its start.
        on_opening: Called with each packet that opens a flow here.
    """

    def __init__(
        self,
        deployment: Deployment,
        ip: str,
        zone: str,
        service: str,
        *,
        identity: str | None = None,
        controls: list[str] | None = None,
        cold_s: float = 0.0,
        on_opening: "Callable[[Target, Packet], None]" = lambda target, packet: None,
    ) -> None:
        number = random.getrandbits(32) << 8 | next(_numbers)
        self.identity = identity or f"i-{number:x}"
        self.zone = zone
        self.is_alive = True
        self.resets_sent = 0
        self.openings: list[float] = []
        self.acknowledged_reports = 0
        self._number = int(self.identity.rpartition("-")[2], 16)
        self._deployment = deployment
        self._record = deployment.record
        self._ip = ip
        self._service = service
        self._controls = controls or deployment.control_addresses
        self._born_ms = int(time.time() * 1000)
        self._cold_until_s = time.monotonic() + cold_s
        self._on_opening = on_opening
        self._sequence = 0
        self._state = "ready"
        self._flows: dict[tuple[bytes, int], _Flow] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def cold_left_s(self) -> float:
        """Return how much longer the target is cold."""
        return max(0.0, self._cold_until_s - time.monotonic())

    async def open(self) -> None:
        """Listen, and report the state from now on."""
        loop = asyncio.get_running_loop()
        port = self._deployment.target_port
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, (self._ip, port), family=socket.AF_INET
        )
        self._server = await asyncio.start_server(self._serve_health, self._ip, port)
        self._record.write(
            "target_started",
            target=self.identity,
            ip=self._ip,
            zone=self.zone,
            service=self._service,
            born=self._born_ms,
            cold_left_ms=int(self.cold_left_s * 1000),
        )
        task = asyncio.create_task(self._report_periodically())
        self._tasks.add(task)

    def become_cold(self, cold_s: float) -> None:
        """Be cold from now on; the next status report says it."""
        self._cold_until_s = time.monotonic() + cold_s
        self._record.write("target_cold", target=self.identity, cold_s=cold_s)

    def end(self) -> None:
        """End the process of the target."""
        if not self.is_alive:
            return
        self.is_alive = False
        self._transport.close()
        self._server.close()
        for task in self._tasks:
            task.cancel()
        self._record.write("target_ended", target=self.identity, born=self._born_ms)

    async def drain(self) -> None:
        """Report draining until a node acknowledges it."""
        self._state = "draining"
        while not await self.report():
            await asyncio.sleep(0.1)
        self._record.write("target_draining", target=self.identity)

    def body(self) -> dict[str, object]:
        """Return what the target says of itself."""
        self._sequence += 1
        return {
            "service": self._service,
            "address": f"{self._ip}:{self._deployment.target_port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 2,
            "state": self._state,
            "cold_left_ms": int(self.cold_left_s * 1000),
            "sequence": self._sequence,
            "born": self._born_ms,
        }

    async def report(self) -> bool:
        """Send a status report; return whether a node has acknowledged it."""
        for address in random.sample(self._controls, len(self._controls)):
            path = f"/Instances.Heartbeat/{self.identity}"
            body = self.body()
            answer = await http.call(address, "POST", path, body)
            status = answer.status if answer else "none"
            self._record.write(
                "status_report",
                target=self.identity,
                node=address,
                state=body["state"],
                sequence=body["sequence"],
                cold_left_ms=body["cold_left_ms"],
                born=body["born"],
                status=status,
            )
            if answer is not None and answer.status == 200:
                self.acknowledged_reports += 1
                return True
        return False

    async def leave(self, address: str) -> bool:
        """Report to one node that the target leaves; return whether it answers."""
        path = f"/Instances.Leave/{self.identity}"
        answer = await http.call(address, "POST", path, self.body())
        self.record_leave(address, answer)
        return answer is not None and answer.status == 200

    def record_leave(self, address: str, answer: http.Answer | None) -> None:
        """Record the answer to a report of leaving."""
        self._record.write(
            "leave",
            target=self.identity,
            node=address,
            born=self._born_ms,
            status=answer.status if answer else "none",
        )

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a datagram of the system."""
        del addr
        number = int.from_bytes(data[:TARGET_BYTES], "big")
        if number not in (0, self._number):
            return
        packet = decode(data[TARGET_BYTES:])
        if not packet.is_genuine:
            self._record.write_breach("UNASKED", f"a forged packet at {self.identity}")
            return
        flow = self._flows.get(packet.flow)
        if packet.flags & SYN:
            self._open_flow(packet)
        elif flow is None:
            if not packet.flags & RST:
                self.resets_sent += 1
                self._send(packet.answer(RST, seq=packet.ack, ack=packet.seq))
        elif packet.flags & (RST | FIN):
            del self._flows[packet.flow]
        else:
            self._receive(packet, flow)

    def _open_flow(self, packet: Packet) -> None:
        flow = self._flows.get(packet.flow)
        if flow is None:
            seq = random.getrandbits(31)
            flow = self._flows[packet.flow] = _Flow(seq, packet.seq + 1, packet.echo)
            self.openings.append(time.monotonic())
            self._record.write(
                "opening_packet",
                target=self.identity,
                zone=self.zone,
                caller=f"{socket.inet_ntoa(packet.src)}:{packet.sport}",
                cold_left_ms=int(self.cold_left_s * 1000),
            )
            self._on_opening(self, packet)
        flow.echo = packet.echo
        self._send(packet.answer(SYN | ACK, seq=flow.seq, ack=flow.ack, echo=flow.echo))

    def _receive(self, packet: Packet, flow: _Flow) -> None:
        flow.echo = packet.echo
        if not flow.is_open:
            flow.is_open = True
            flow.seq += 1
        if not packet.data:
            return
        if packet.seq == flow.ack:
            request = packet.data.decode()
            self._record.write("run", request=request, target=self.identity)
            data = f"done {request}".encode()
            flow.ack += len(packet.data)
            reply = packet.answer(ACK, seq=flow.seq, ack=flow.ack)
            flow.answers[packet.seq] = evolved(reply, data=data)
            flow.seq += len(data)
        if packet.seq in flow.answers:
            self._send(evolved(flow.answers[packet.seq], echo=flow.echo))

    def _send(self, packet: Packet) -> None:
        caller = socket.inet_ntoa(packet.dst)
        address = (caller, self._deployment.packet_port)
        self._transport.sendto(packet.encode(), address)

    async def _serve_health(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEALTH_ANSWER)
            await writer.drain()
        writer.close()

    async def _report_periodically(self) -> None:
        while self.is_alive:
            await self.report()
            await asyncio.sleep(HEARTBEAT_S)
