"""Consumers, and the platform's routers between them and the machines."""

import asyncio
import itertools
import time
import zlib

from .http import Connection
from .machines import Machine, Net
from .packets import ACK, FIN, RST, SYN, Packet, decode
from .record import Record

PROBE_S = 0.5
MISSES = 2
SYN_COPIES_S = (0.2, 0.4, 0.8)
RETRANSMITS_S = (0.2, 0.4, 0.8, 1.6)


class Routers:
    """Select the node of a flow by a steady hash over the nodes in rotation."""

    def __init__(self, net: Net, entries: list[Machine]) -> None:
        self._net = net
        self.entries = entries
        self._misses = {e.name: MISSES for e in entries}
        self._connections = {e.name: Connection((e.ip, net.ready)) for e in entries}

    def select(self, zone: str, flow: bytes) -> tuple[str, int]:
        """Return the address to which a packet goes."""
        nodes = [e for e in self.entries if e.zone == zone] or self.entries
        ready = [e for e in nodes if self._misses[e.name] < MISSES]
        if not ready:
            ready = [e for e in self.entries if self._misses[e.name] < MISSES]
        elif 2 * len(ready) < len(nodes):
            ready = nodes
        ready = ready or nodes
        best = max(ready, key=lambda e: zlib.crc32(flow + e.name.encode()))
        return best.ip, self._net.packets

    def is_ready(self) -> bool:
        """Return whether every node is in rotation."""
        return all(misses == 0 for misses in self._misses.values())

    async def run(self) -> None:
        """Ask all nodes twice a second until cancelled."""
        while True:
            await asyncio.gather(*(self._probe(e) for e in self.entries))
            await asyncio.sleep(PROBE_S)

    async def _probe(self, entry: Machine) -> None:
        status, _ = await self._connections[entry.name].call("GET", "/ready")
        self._misses[entry.name] = 0 if status == 200 else self._misses[entry.name] + 1


class Flow:
    """The consumer's end of a flow."""

    def __init__(self, consumer: "Consumer", port: int, route: tuple[str, int]) -> None:
        self._consumer = consumer
        self._port, self._route = port, route
        self._packets: asyncio.Queue[Packet] = asyncio.Queue()
        self._seq, self._ack, self._echo = 1000, 0, 0
        self.is_open = False

    def receive(self, packet: Packet) -> None:
        """Take a packet that arrived."""
        self._packets.put_nowait(packet)

    async def open(self) -> Packet | None:
        """Open the flow; return the packet that decided it, None after a time-out."""
        for copies, wait_s in enumerate(SYN_COPIES_S):
            self._send(SYN, ack=copies)
            packet = await self._next(wait_s, lambda p: p.flags & (SYN | RST))
            if packet is not None:
                break
        else:
            return None
        if packet.flags & SYN:
            self._seq += 1
            self._ack, self._echo = packet.seq + 1, packet.echo
            self.is_open = True
            self._send(ACK, ack=self._ack)
        return packet

    async def request(self, data: bytes) -> Packet | None:
        """Send a request; return the answer or a reset, None after the last try."""
        end = self._seq + len(data)
        for wait_s in RETRANSMITS_S:
            self._send(ACK, ack=self._ack, data=data)
            packet = await self._next(
                wait_s, lambda p: p.flags & RST or (p.data and p.ack == end)
            )
            if packet is not None:
                self._seq = end
                self._ack += len(packet.data)
                return packet
        return None

    def close(self) -> None:
        """End the flow."""
        if self.is_open:
            self._send(FIN | ACK, ack=self._ack)

    async def _next(self, wait_s: float, is_wanted) -> Packet | None:
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
            *self._route,
            self._consumer.ip,
            self._port,
            flags,
            self._seq,
            ack,
            self._echo,
            data=data,
        )
        self._consumer.send(packet)


class Consumer(asyncio.DatagramProtocol):
    """A consumer, which sends its packets through the routers of its zone."""

    def __init__(
        self, net: Net, zone: str, number: int, routers: Routers, record: Record
    ) -> None:
        self.ip, self.zone = net.ip(4, number), zone
        self._net, self._routers, self.record = net, routers, record
        self._ports = itertools.count(20_000)
        self._flows: dict[int, Flow] = {}
        self._tasks: set[asyncio.Task] = set()
        self.resets: list[float] = []

    async def start(self) -> None:
        """Bind the address."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, (self.ip, self._net.packets)
        )

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hand a packet to its flow."""
        del addr
        packet = decode(data)
        flow = self._flows.get(packet.dport)
        if flow is not None:
            flow.receive(packet)

    def send(self, packet: Packet) -> None:
        """Send a packet to the node that the routers select."""
        datagram = packet.encode()
        address = self._routers.select(self.zone, datagram[:12])
        self._transport.sendto(datagram, address)

    async def use_flow(self, route: tuple[str, int], requests: int = 1) -> int:
        """Open a flow for some requests; return how many were answered."""
        port = 20_000 + next(self._ports) % 40_000
        flow = self._flows[port] = Flow(self, port, route)
        answered = 0
        try:
            packet = await flow.open()
            if not flow.is_open:
                self.record.count("refused" if packet else "not opened")
            while flow.is_open and answered < requests:
                data = f"{self.ip}-{port}-{answered}".encode()
                packet = await flow.request(data)
                if packet is None or packet.flags & RST:
                    self.record.count("reset" if packet else "unanswered")
                    break
                if packet.data != b"done " + data:
                    self.record.count("foreign answer")
                answered += 1
                self.record.count("answered")
        finally:
            flow.close()
            del self._flows[port]
        return answered

    def begin(self, route: tuple[str, int], requests: int = 1) -> None:
        """Use a flow in the background."""
        task = asyncio.create_task(self.use_flow(route, requests))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def run(self, route: tuple[str, int], flows_per_s: float) -> None:
        """Begin flows at a steady rate until cancelled."""
        began_s = time.monotonic()
        for number in itertools.count():
            wait_s = began_s + number / flows_per_s - time.monotonic()
            await asyncio.sleep(max(0.0, wait_s))
            self.begin(route)
