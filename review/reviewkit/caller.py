"""Callers of one zone and the routers before the entry programs."""

import asyncio
import itertools
import random
import socket
import zlib

from .deployment import Deployment, Program
from .model import evolved
from .wire import ACK, FIN, RST, SYN, Packet, decode

CHECK_INTERVAL_S = 0.5
MAX_MISSES = 2
SYN_WAITS_S = (0.2, 0.4, 0.8)
RETRANSMISSION_S = (0.2, 0.4, 0.8)


class Routers:
    """Select an entry program of the caller's zone for each flow.

    Args:
        deployment: The system.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._misses = {entry.ip: 0 for entry in deployment.entries}

    async def run(self) -> None:
        """Check twice a second which programs are ready, until cancelled."""
        while True:
            await asyncio.gather(*map(self._check, self._deployment.entries))
            await asyncio.sleep(CHECK_INTERVAL_S)

    def address(self, zone: str, flow: bytes) -> tuple[str, int]:
        """Return the address that gets the packets of a flow now."""
        local = [e.ip for e in self._deployment.entries if e.zone == zone]
        if not local:
            local = [e.ip for e in self._deployment.entries]
        ready = [ip for ip in local if self._misses[ip] < MAX_MISSES]
        if not ready:
            everywhere = [e.ip for e in self._deployment.entries]
            ready = [ip for ip in everywhere if self._misses[ip] < MAX_MISSES]
        elif 2 * len(ready) < len(local):
            ready = local
        best = max(ready or local, key=lambda ip: zlib.crc32(flow + ip.encode()))
        return best, self._deployment.packet_port

    async def _check(self, entry: Program) -> None:
        is_ready = await self._deployment.is_ready(entry)
        self._misses[entry.ip] = 0 if is_ready else self._misses[entry.ip] + 1


class Flow:
    """A caller's end of one flow."""

    def __init__(
        self, caller: "Caller", host: bytes, host_port: int, port: int
    ) -> None:
        self.is_open = False
        self.reset: Packet | None = None
        self.port = port
        self._caller = caller
        self._packets: asyncio.Queue[Packet] = asyncio.Queue()
        self._seq = random.getrandbits(31)
        self._base = Packet(host, caller.packed, host_port, port, SYN, seq=self._seq)
        self._ack = 0
        self._echo = 0

    def receive(self, packet: Packet) -> None:
        """Take a packet that has arrived."""
        self._packets.put_nowait(packet)

    async def open(self) -> bool:
        """Open the flow; return whether a target has accepted it."""
        for copies, wait_s in enumerate(SYN_WAITS_S):
            self._caller.send(evolved(self._base, ack=copies))
            packet = await self._next(wait_s, lambda p: bool(p.flags & (SYN | RST)))
            if packet is None:
                continue
            if packet.flags & RST:
                self.reset = packet
                return False
            self._echo = packet.echo
            self._ack = packet.seq + 1
            self._seq += 1
            self.is_open = True
            self._send(ACK)
            return True
        return False

    async def request(self, data: bytes) -> bytes | None:
        """Send a request; return its answer, None without one or after a reset."""
        for wait_s in RETRANSMISSION_S:
            self._send(ACK, data)
            packet = await self._next(
                wait_s, lambda p: bool(p.flags & RST or p.data), is_data=True
            )
            if packet is None:
                continue
            if packet.flags & RST:
                self.reset = packet
                self.is_open = False
                return None
            self._echo = packet.echo
            self._seq += len(data)
            self._ack = packet.seq + len(packet.data)
            self._send(ACK)
            return packet.data
        return None

    def close(self) -> None:
        """Send a FIN if the flow is open, and forget it."""
        if self.is_open:
            self._send(FIN | ACK)
        self._caller.forget(self)

    async def _next(self, wait_s: float, is_wanted, *, is_data=False) -> Packet | None:
        try:
            async with asyncio.timeout(wait_s):
                while True:
                    packet = await self._packets.get()
                    is_stale = is_data and packet.data and packet.seq != self._ack
                    if is_wanted(packet) and not is_stale:
                        return packet
        except TimeoutError:
            return None

    def _send(self, flags: int, data: bytes = b"") -> None:
        packet = evolved(
            self._base,
            flags=flags,
            seq=self._seq,
            ack=self._ack,
            echo=self._echo,
            data=data,
        )
        self._caller.send(packet)


class Caller(asyncio.DatagramProtocol):
    """Callers at one address.

    Args:
        deployment: The system.
        routers: Select the entry programs.
        ip: Loopback address.
        zone: Zone.
    """

    def __init__(
        self, deployment: Deployment, routers: Routers, ip: str, zone: str
    ) -> None:
        self.packed = socket.inet_aton(ip)
        self.ip = ip
        self.zone = zone
        self._deployment = deployment
        self._routers = routers
        self._flows: dict[int, Flow] = {}
        self._ports = itertools.count(20_000)

    async def open(self) -> None:
        """Bind the address."""
        loop = asyncio.get_running_loop()
        address = (self.ip, self._deployment.packet_port)
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, address, family=socket.AF_INET
        )

    def close(self) -> None:
        """Release the address."""
        self._transport.close()

    def new_flow(self, host: str, port: int) -> Flow:
        """Return a flow from a new port."""
        own_port = next(self._ports)
        flow = Flow(self, socket.inet_aton(host), port, own_port)
        self._flows[own_port] = flow
        return flow

    def forget(self, flow: Flow) -> None:
        """Take no more packets of a flow."""
        self._flows.pop(flow.port, None)

    def send(self, packet: Packet) -> None:
        """Send a packet by way of the routers."""
        datagram = packet.encode()
        key = packet.dst + packet.src + bytes(f"{packet.dport} {packet.sport}", "ascii")
        self._transport.sendto(datagram, self._routers.address(self.zone, key))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Give a packet to its flow."""
        del addr
        packet = decode(data)
        if not packet.is_genuine and not packet.flags & RST:
            self._deployment.record.write_breach("MIXED", "a forged packet at a caller")
            return
        flow = self._flows.get(packet.dport)
        if flow is not None:
            flow.receive(packet)
