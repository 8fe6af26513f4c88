"""Simulated callers, and the routers between them and the entry instances."""

import asyncio
import itertools
import random
import socket
import zlib

import aiohttp

from .ledger import Ledger
from .wire import ACK, FIN, RST, SYN, Packet, decode

CHECK_INTERVAL_S = 0.5
MAX_FAILED_CHECKS = 2
SYN_RETRANSMITS_S = (0.2, 0.4, 0.8)
RETRANSMITS_S = (0.2, 0.4, 0.8, 1.6)
MAX_THINK_TIME_S = 0.05
REQUESTS_PER_FLOW = 20


class Routers:
    """Select the entry instance of each flow by rendezvous hashing.

    Only ready instances are candidates, unless fewer than half of all are ready.

    Args:
        entries: Addresses of entry instances.
        packet_port: Port for packets.
        ready_port: Port of the readiness endpoint.
    """

    def __init__(self, entries: list[str], packet_port: int, ready_port: int) -> None:
        self._entries = entries
        self._packet_port = packet_port
        self._ready_port = ready_port
        self._failed_checks = dict.fromkeys(entries, MAX_FAILED_CHECKS)

    def address(self, flow: bytes) -> tuple[str, int]:
        """Return the address to which a flow's packets are sent."""
        ready = [
            ip for ip in self._entries if self._failed_checks[ip] < MAX_FAILED_CHECKS
        ]
        if 2 * len(ready) < len(self._entries):
            ready = self._entries
        best = max(ready, key=lambda ip: zlib.crc32(flow + ip.encode()))
        return best, self._packet_port

    async def run(self) -> None:
        """Poll the readiness of all entry instances until cancelled."""
        timeout = aiohttp.ClientTimeout(total=CHECK_INTERVAL_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await asyncio.gather(*(self._check(session, e) for e in self._entries))
                await asyncio.sleep(CHECK_INTERVAL_S)

    async def _check(self, session: aiohttp.ClientSession, ip: str) -> None:
        try:
            async with session.get(f"http://{ip}:{self._ready_port}/ready") as answer:
                is_ready = answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            is_ready = False
        self._failed_checks[ip] = 0 if is_ready else self._failed_checks[ip] + 1


class Flow:
    """The caller's end of one flow."""

    def __init__(self, caller: "Caller", port: int, service: tuple[bytes, int]) -> None:
        self._caller = caller
        self._service = service
        self._source = (caller.packed, port)
        self._packets: asyncio.Queue[Packet] = asyncio.Queue()
        self._echo = 0
        self._seq = 1
        self._ack = 0
        self.target = 0
        self.is_open = False

    def receive(self, packet: Packet) -> None:
        """Queue a packet that arrived."""
        self._packets.put_nowait(packet)

    async def open(self) -> Packet | None:
        """Open the flow; return the reset that refused it, or None."""
        for attempt, wait_s in enumerate(SYN_RETRANSMITS_S):
            self._send(SYN, ack=attempt)
            packet = await self._next_packet(wait_s, lambda p: p.flags & (SYN | RST))
            if packet is None:
                continue
            if packet.flags & RST:
                return packet
            self._echo, self._ack = packet.echo, packet.seq
            self.target = packet.seq
            self.is_open = True
            self._send(ACK, ack=self._ack)
            return None
        return None

    async def request(self, data: bytes) -> Packet | None:
        """Send a request; return the answer, a reset, or None."""
        self._seq += len(data)
        for wait_s in RETRANSMITS_S:
            self._send(ACK, ack=self._ack, data=data)
            packet = await self._next_packet(wait_s, self._is_answer)
            if packet is not None:
                self._ack += 1
                return packet
        return None

    def close(self) -> None:
        """Send a FIN if the flow is open."""
        if self.is_open:
            self._send(FIN | ACK, ack=self._ack)

    def _is_answer(self, packet: Packet) -> bool:
        if packet.flags & RST:
            return True
        return bool(packet.data) and packet.ack == self._seq

    async def _next_packet(self, wait_s: float, is_wanted) -> Packet | None:
        try:
            async with asyncio.timeout(wait_s):
                while True:
                    packet = await self._packets.get()
                    if is_wanted(packet):
                        return packet
        except TimeoutError:
            return None

    def _send(self, flags: int, ack: int, data: bytes = b"") -> None:
        packet = Packet(
            source=self._source,
            destination=self._service,
            flags=flags,
            seq=self._seq,
            ack=ack,
            echo=self._echo,
            data=data,
        )
        self._caller.send(packet.encode())


class Caller(asyncio.DatagramProtocol):
    """Opens flows and sends requests over them, one after the other.

    Args:
        ip: Address of the caller.
        port: UDP port of callers.
        routers: Select the entry instance of each flow.
        ledger: Records the observations.
        is_target_alive: Returns whether the target with the number from a SYN-ACK
            is alive.
        rng: Draws the kinds of requests.
    """

    def __init__(
        self, ip: str, port: int, routers: Routers, ledger: Ledger, is_target_alive, rng
    ) -> None:
        self.packed = socket.inet_aton(ip)
        self.requests = 0
        self._address = (ip, port)
        self._routers = routers
        self._ledger = ledger
        self._is_target_alive = is_target_alive
        self._rng: random.Random = rng
        self._flows: dict[int, Flow] = {}
        self._ports = itertools.count(20_000)

    async def open(self) -> None:
        """Bind the caller's address."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, self._address, family=socket.AF_INET
        )

    def close(self) -> None:
        """Close the socket."""
        self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a packet to its flow."""
        del addr
        packet = decode(data)
        flow = self._flows.get(packet.destination[1])
        if flow is not None:
            flow.receive(packet)

    def send(self, datagram: bytes) -> None:
        """Send a packet to an entry instance."""
        self._transport.sendto(datagram, self._routers.address(datagram[:12]))

    async def run(self, service: tuple[bytes, int]) -> None:
        """Open one flow after the other until cancelled."""
        while True:
            await self.use_flow(service, REQUESTS_PER_FLOW)

    async def use_flow(self, service: tuple[bytes, int], count: int) -> int:
        """Open a flow, send requests, close it; return how many were answered."""
        port = 20_000 + next(self._ports) % 40_000
        flow = self._flows[port] = Flow(self, port, service)
        answered = 0
        try:
            request = self._new_request()
            refusal = await flow.open()
            if refusal is not None:
                self._ledger.record_refusal(request)
            while flow.is_open and answered < count:
                if not await self._send_request(flow, request):
                    break
                answered += 1
                request = self._new_request()
                await asyncio.sleep(MAX_THINK_TIME_S * self._rng.random())
        finally:
            flow.close()
            del self._flows[port]
        if not answered:
            await asyncio.sleep(MAX_THINK_TIME_S)
        return answered

    def _new_request(self) -> str:
        self.requests += 1
        return f"{self._address[0]}-{self.requests}"

    async def _send_request(self, flow: Flow, request: str) -> bool:
        kind = self._rng.choice(("GET", "POST"))
        answer = await flow.request(f"{kind} {request}".encode())
        if answer is None:
            self._ledger.counts["unanswered"] += 1
            return False
        if answer.flags & RST:
            is_from_system = answer.checksum == 0
            if is_from_system:
                self._ledger.record_reset(request, self._is_target_alive(flow.target))
            return False
        self._ledger.record_answer(request, answer.data, f"done {request}".encode())
        return True
