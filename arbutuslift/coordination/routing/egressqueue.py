"""Queue of outgoing packets, paced to the link of the instance and fair among flows."""

from collections import deque
from collections.abc import Callable
from heapq import heapify, heappop, heappush

from attrs import define, field

from ...clock import Clock

# The rest of the link is for the control traffic of the instance and for health checks,
# which don't pass through the queue.
PACED_FRACTION = 0.95
# Headers of IPv4 and UDP.
DATAGRAM_OVERHEAD_BYTES = 28
# A link drops what exceeds its own short queue, so that a burst may last no longer.
MAX_BURST_S = 0.005
# On a slow link a burst is still one datagram, 2048 bytes at most without the headers.
MIN_BURST_BYTES = 2100
# Bytes that a flow may send in its turn: one packet of full size.
QUANTUM_BYTES = 1500
# Senders retransmit earlier than this, and a packet that waits longer is useless.
MAX_QUEUE_S = 1.0
# Shorter waits would only wake the process more often.
MIN_WAIT_S = 0.001
_SEQ_MODULUS = 1 << 32
_HALF_SEQ_MODULUS = 1 << 31


@define(eq=False)
class OutgoingPacket:
    """A datagram of a flow with its destination.

    Attributes:
        flow: Key of the flow.
        seq: Sequence number of the packet.
        data_length_bytes: Length of the data in it.
        datagram: What is sent.
        address: Address and port to which it is sent.
    """

    flow: bytes
    seq: int
    data_length_bytes: int
    datagram: bytes
    address: tuple[str, int]

    @property
    def size_bytes(self) -> int:
        """Return the bytes that the packet takes on the link."""
        return len(self.datagram) + DATAGRAM_OVERHEAD_BYTES


@define(eq=False)
class _FlowQueue:
    """Packets of one flow, in the order of their sequence numbers.

    Packets arrive out of order. An upstream that receives a later one first asks for
    the earlier ones again, and their copies would load the link.

    Attributes:
        flow: Key of the flow.
        first_seq: Sequence number of the first packet, from which others are counted.
        size_bytes: Bytes of its packets.
        credit_bytes: Bytes that it may still send in its turn.
        heap: Offsets of sequence numbers with the order of arrival.
        packets: Packets by the order of arrival.
        arrivals: Order of arrival of the data packets by sequence number and length.
    """

    flow: bytes
    first_seq: int
    size_bytes: int = 0
    credit_bytes: int = QUANTUM_BYTES
    heap: list[tuple[int, int]] = field(factory=list)
    packets: dict[int, OutgoingPacket] = field(factory=dict)
    arrivals: dict[tuple[int, int], int] = field(factory=dict)

    @property
    def next_size_bytes(self) -> int:
        """Return the size of the packet that ``pop`` returns next."""
        return self.packets[self.heap[0][1]].size_bytes

    def push(self, packet: OutgoingPacket, arrival: int) -> None:
        """Add a packet; a copy of a waiting one takes its place."""
        key = (packet.seq, packet.data_length_bytes)
        if packet.data_length_bytes:
            waiting = self.arrivals.get(key)
            if waiting is not None:
                # The newer copy carries the newer acknowledgement.
                self.packets[waiting] = packet
                return
            self.arrivals[key] = arrival
        # Packets that precede the first one to arrive have smaller offsets than it.
        ahead = packet.seq - self.first_seq + _HALF_SEQ_MODULUS
        offset = ahead % _SEQ_MODULUS
        heappush(self.heap, (offset, arrival))
        self.packets[arrival] = packet
        self.size_bytes += packet.size_bytes

    def pop(self) -> OutgoingPacket:
        """Remove and return the packet with the lowest sequence number."""
        return self._remove(heappop(self.heap)[1])

    def drop_last(self) -> OutgoingPacket:
        """Remove and return the packet with the highest sequence number."""
        last = max(self.heap)
        self.heap.remove(last)
        heapify(self.heap)
        return self._remove(last[1])

    def _remove(self, arrival: int) -> OutgoingPacket:
        packet = self.packets.pop(arrival)
        self.arrivals.pop((packet.seq, packet.data_length_bytes), None)
        self.size_bytes -= packet.size_bytes
        return packet


class EgressQueue:
    """Sends packets no faster than the link takes them.

    A link with little bandwidth drops a burst that a caller sends at once, and the
    caller waits for its retransmission time-out. Flows take turns by bytes, and a flow
    that had no packet waiting goes first (deficit round robin with a list of new flows,
    RFC 8290 4.2), so that small requests don't wait behind uploads.

    Args:
        clock: Source of time.
        link_bytes_per_s: Bandwidth of the link, 0 if it isn't limited.
        send: Sends a datagram to an address.
        on_drop: Called with each packet that is dropped because the queue is full.

    Attributes:
        queued_bytes: Bytes that wait.
    """

    def __init__(
        self,
        clock: Clock,
        link_bytes_per_s: float,
        send: Callable[[bytes, tuple[str, int]], None],
        on_drop: Callable[[OutgoingPacket], None] = lambda packet: None,
    ) -> None:
        self.queued_bytes = 0
        self._clock = clock
        self._send = send
        self._on_drop = on_drop
        self._rate_bytes_per_s = PACED_FRACTION * link_bytes_per_s
        self._burst_bytes = max(MIN_BURST_BYTES, MAX_BURST_S * self._rate_bytes_per_s)
        self._credit_bytes = self._burst_bytes
        self._credited_s = clock.monotonic_s()
        self._arrival = 0
        self._queues: dict[bytes, _FlowQueue] = {}
        self._new: deque[_FlowQueue] = deque()
        self._old: deque[_FlowQueue] = deque()

    def __len__(self) -> int:
        return sum(len(queue.packets) for queue in self._queues.values())

    def push(self, packet: OutgoingPacket) -> None:
        """Send a packet now if the link is free, else queue it."""
        is_free = not self._queues and self._take_credit(packet.size_bytes)
        if is_free or not self._rate_bytes_per_s:
            self._send(packet.datagram, packet.address)
            return
        queue = self._queues.get(packet.flow)
        if queue is None:
            queue = self._queues[packet.flow] = _FlowQueue(packet.flow, packet.seq)
            self._new.append(queue)
        before_bytes = queue.size_bytes
        self._arrival += 1
        queue.push(packet, self._arrival)
        self.queued_bytes += queue.size_bytes - before_bytes
        self._drop_excess()

    def send_due(self) -> None:
        """Send the queued packets that the link takes by now."""
        while self._queues:
            queue = self._next_queue()
            if queue is None:
                return
            size_bytes = queue.next_size_bytes
            if not self._take_credit(size_bytes):
                return
            packet = queue.pop()
            queue.credit_bytes -= size_bytes
            self.queued_bytes -= size_bytes
            self._send(packet.datagram, packet.address)

    def wait_s(self) -> float:
        """Return the time until the link takes the next packet, 0 if none waits."""
        queue = self._next_queue()
        if queue is None:
            return 0.0
        size_bytes = queue.next_size_bytes
        missing_bytes = size_bytes - self._refill()
        return max(MIN_WAIT_S, missing_bytes / self._rate_bytes_per_s)

    def drain_s(self) -> float:
        """Return the time until the queue is empty if nothing more arrives."""
        if not self._rate_bytes_per_s:
            return 0.0
        return self.queued_bytes / self._rate_bytes_per_s

    def clear(self) -> int:
        """Drop all queued packets and return their number."""
        count = len(self)
        self._queues.clear()
        self._new.clear()
        self._old.clear()
        self.queued_bytes = 0
        return count

    def _next_queue(self) -> _FlowQueue | None:
        """Return the flow whose turn it is, with a packet and credit; None if empty."""
        while self._new or self._old:
            turns = self._new or self._old
            queue = turns[0]
            if not queue.packets:
                turns.popleft()
                if turns is self._new and self._old:
                    self._old.append(queue)
                else:
                    del self._queues[queue.flow]
            elif queue.credit_bytes <= 0:
                queue.credit_bytes += QUANTUM_BYTES
                turns.popleft()
                self._old.append(queue)
            else:
                return queue
        return None

    def _refill(self) -> float:
        """Add the credit of the time since the last call and return the credit."""
        now_s = self._clock.monotonic_s()
        added_bytes = (now_s - self._credited_s) * self._rate_bytes_per_s
        self._credit_bytes = min(self._burst_bytes, self._credit_bytes + added_bytes)
        self._credited_s = now_s
        return self._credit_bytes

    def _take_credit(self, size_bytes: int) -> bool:
        """Take the credit for a packet and return True, or take none if it is short."""
        if self._refill() < size_bytes:
            return False
        self._credit_bytes -= size_bytes
        return True

    def _drop_excess(self) -> None:
        """Drop from the flow with the most bytes until the queue is short enough."""
        while self.queued_bytes > MAX_QUEUE_S * self._rate_bytes_per_s:
            longest = max(self._queues.values(), key=lambda queue: queue.size_bytes)
            dropped = longest.drop_last()
            self.queued_bytes -= dropped.size_bytes
            self._on_drop(dropped)
