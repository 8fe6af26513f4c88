"""Consumers, and the routers between them and the entry programs."""

import asyncio
import itertools
import random
import socket
import zlib

from . import wire
from .http import call
from .programs import PACKET_PORT, READY_PORT, Program
from .record import Record, plain
from .wire import ACK, FIN, RST, SYN, Packet

SYN_WAITS_S = (0.2, 0.4, 0.8)
DATA_WAITS_S = (0.2, 0.4, 0.8, 1.6)


class Routers:
    """Select an entry program of the consumer's zone for each packet.

    Args:
        entries: The entry programs.
    """

    def __init__(self, entries: list[Program]) -> None:
        self._entries = entries
        self._misses = dict.fromkeys((e.ip for e in entries), 2)

    def of_zone(self, zone: str) -> list[str]:
        """Return the addresses in rotation in a zone."""
        local = [e.ip for e in self._entries if e.zone == zone]
        ready = [ip for ip in local if self._misses[ip] < 2]
        if ready and 2 * len(ready) >= len(local):
            return ready
        if ready:
            return local
        return [ip for ip, misses in self._misses.items() if misses < 2] or local

    def choose(self, zone: str, flow: bytes) -> str:
        """Return the entry program of a flow, by a steady hash."""
        return max(self.of_zone(zone), key=lambda ip: zlib.crc32(flow + ip.encode()))

    def is_ready(self, ip: str) -> bool:
        """Return whether an entry program is in rotation."""
        return self._misses[ip] < 2

    async def run(self) -> None:
        """Check all entry programs twice a second until cancelled."""
        while True:
            await asyncio.gather(
                *(self._check(e.ip) for e in self._entries), asyncio.sleep(0.5)
            )

    async def _check(self, ip: str) -> None:
        answer = await call((ip, READY_PORT), "GET", "/ready", timeout_s=0.5)
        is_ready = answer is not None and answer[0] == 200
        self._misses[ip] = 0 if is_ready else self._misses[ip] + 1


@plain
class Attempt:
    """A flow with one request.

    Attributes:
        request: Its request id.
        key: Its source address and port.
        port: Port of the route.
        syn_s: When each copy of the SYN was sent.
        entry: Entry program that took the first SYN.
        outcome: ``answered``, ``reset``, ``refused``, ``no answer``.
        ended_s: When it ended.
        echo: Echo of the flow.
    """

    request: str
    key: str
    port: int
    syn_s: list
    entry: str
    outcome: str
    ended_s: float
    echo: int


class Consumer(asyncio.DatagramProtocol):
    """One consumer.

    Args:
        ip: Its address.
        zone: Its zone.
        routers: The routers.
        host: Address of the routes.
        record: Record of the run.
    """

    def __init__(
        self, ip: str, zone: str, routers: Routers, host: str, record: Record
    ) -> None:
        self.ip = ip
        self.zone = zone
        self.attempts: list[Attempt] = []
        self._packed = socket.inet_aton(ip)
        self._host = socket.inet_aton(host)
        self._routers = routers
        self._record = record
        self._flows: dict[int, asyncio.Queue] = {}
        self._ports = itertools.cycle(range(20_000, 60_000))
        self._tasks: set[asyncio.Task] = set()

    async def open(self) -> None:
        """Listen for packets."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, (self.ip, PACKET_PORT), family=socket.AF_INET
        )

    def close(self) -> None:
        """End all flows."""
        for task in self._tasks:
            task.cancel()
        self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a packet to its flow."""
        del addr
        packet = wire.decode(data)
        queue = self._flows.get(packet.dport)
        if queue is not None:
            queue.put_nowait(packet)

    async def press(self, port: int, per_s: float) -> None:
        """Begin a flow with one request at random times until cancelled."""
        while True:
            await asyncio.sleep(random.expovariate(per_s))
            self.begin(port)

    def begin(self, port: int) -> None:
        """Begin a flow with one request."""
        task = asyncio.create_task(self.ask(port))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def ask(self, port: int) -> Attempt:
        """Open a flow, send one request and close the flow."""
        sport = next(self._ports)
        request = f"r{random.getrandbits(64):016x}"
        key = f"{self._packed.hex()}:{sport}"
        attempt = Attempt(request, key, port, [], "", "no answer", 0.0, 0)
        self.attempts.append(attempt)
        queue = self._flows[sport] = asyncio.Queue()
        try:
            await self._ask(attempt, sport, queue)
        finally:
            del self._flows[sport]
            attempt.ended_s = self._record.now_s()
        return attempt

    async def _ask(self, attempt: Attempt, sport: int, queue: asyncio.Queue) -> None:
        seq = random.getrandbits(31)
        opened = await self._open(attempt, sport, queue, seq)
        if opened is None:
            return
        seq += 1
        ack = (opened.seq + 1) % 2**32
        self._send(attempt, sport, ACK, seq, ack)
        data = (
            f"GET /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: {attempt.request}\r\n\r\n"
        ).encode()
        for wait_s in DATA_WAITS_S:
            self._send(attempt, sport, ACK, seq, ack, data)
            packet = await _next(queue, wait_s, lambda p: p.data or p.flags & RST)
            if packet is not None:
                break
        if packet is None:
            return
        if packet.flags & RST:
            is_own = packet.sum == 0
            attempt.outcome = "reset by the system" if is_own else "reset by target"
            return
        attempt.echo = packet.echo
        is_right = f"done {attempt.request} ".encode() in packet.data
        attempt.outcome = "answered" if is_right else "answered wrongly"
        ack = (packet.seq + len(packet.data)) % 2**32
        self._send(attempt, sport, ACK | FIN, seq + len(data), ack)

    async def _open(
        self, attempt: Attempt, sport: int, queue: asyncio.Queue, seq: int
    ) -> Packet | None:
        for copy, wait_s in enumerate(SYN_WAITS_S):
            attempt.syn_s.append(self._record.now_s())
            self._send(attempt, sport, SYN, seq, copy)
            packet = await _next(queue, wait_s, lambda p: p.flags & (SYN | RST))
            if packet is None:
                continue
            if packet.flags & RST:
                attempt.outcome = "refused"
                return None
            attempt.echo = packet.echo
            return packet
        return None

    def _send(
        self, attempt: Attempt, sport: int, flags: int, seq: int, ack: int, data=b""
    ) -> None:
        packet = Packet(
            self._packed,
            sport,
            self._host,
            attempt.port,
            flags,
            seq % 2**32,
            ack,
            attempt.echo,
            data=data,
        ).encode()
        entry = self._routers.choose(self.zone, packet[:12])
        attempt.entry = attempt.entry or entry
        self._transport.sendto(packet, (entry, PACKET_PORT))


async def _next(queue: asyncio.Queue, wait_s: float, is_wanted) -> Packet | None:
    try:
        async with asyncio.timeout(wait_s):
            while True:
                packet = await queue.get()
                if is_wanted(packet):
                    return packet
    except TimeoutError:
        return None
