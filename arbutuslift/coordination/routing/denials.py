"""Withheld denials: resets of upstreams that may simply not hold the flow."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable

from attrs import define, field, frozen

from ...errors import ArbutusliftError, MessageError
from ...protocol.channel import Channel
from ...protocol.denials import DenialHeld, DenialReport
from ...protocol.packets import ResetPacket, decode
from ...state.flows import FlowCache
from ...state.hashing import rendezvous_order
from .services import ServiceTable

# Updates of the view reach every instance within 3 s.
HOLD_S = 5.0
RELEASE_INTERVAL_S = 0.25
MAX_HELD = 10_000
# A report that waits for its answer costs a task.
MAX_REPORTS_UNDER_WAY = 256
REPORT_TIMEOUT_S = 1.0


@frozen
class DeniedSegment:
    """What was denied.

    Denials of one connection repeat the number that the caller acknowledges.
    Denials with another number belong to another connection on the same port and
    say nothing about this one.

    Attributes:
        flow: Bytes of the flow's key.
        seq: Sequence number of the denials.
    """

    flow: bytes
    seq: int


@define
class HeldDenial:
    """Denials of one flow.

    Attributes:
        due_s: When it is decided, on the monotonic clock.
        packet: The newest reset.
        upstream_ids: The upstreams that denied the flow.
    """

    due_s: float
    packet: ResetPacket
    upstream_ids: set[str] = field(factory=set)


class DenialBuffer:
    """Holds denials until updates have propagated, then passes on the true ones.

    Args:
        services: Services and upstreams.
        flows: Cache of flows.
        send_to_caller: Sends a packet to the fabric.
        alive_instances: Returns the names of the alive instances.
        channel: Reaches other instances; without one, every denial is held here.
        max_held: Number of flows held; beyond it the oldest is dropped.
    """

    def __init__(
        self,
        services: ServiceTable,
        flows: FlowCache,
        send_to_caller: Callable[[bytes], None],
        *,
        alive_instances: Callable[[], list[str]] = list,
        channel: Channel | None = None,
        max_held: int = MAX_HELD,
    ) -> None:
        self._services = services
        self._flows = flows
        self._send_to_caller = send_to_caller
        self._alive_instances = alive_instances
        self._channel = channel
        self._max_held = max_held
        self._held: OrderedDict[DeniedSegment, HeldDenial] = OrderedDict()
        self._reports: set[asyncio.Task[None]] = set()
        if channel is not None:
            channel.on(DenialReport, self._on_report)

    def __len__(self) -> int:
        return len(self._held)

    async def run(self) -> None:
        """Decide about denials that fall due, until cancelled."""
        while True:
            await self._services.clock.sleep(RELEASE_INTERVAL_S)
            self.release_due()

    def close(self) -> None:
        """Cancel reports under way."""
        for task in self._reports:
            task.cancel()

    def report(self, packet: ResetPacket, upstream_id: str) -> None:
        """Take a denial that this instance received."""
        owner = self._owner(packet.key_to_caller())
        if owner is None or len(self._reports) >= MAX_REPORTS_UNDER_WAY:
            self.hold(packet, upstream_id)
            return
        task = asyncio.create_task(self._report_to(owner, packet, upstream_id))
        self._reports.add(task)
        task.add_done_callback(self._reports.discard)

    def hold(self, packet: ResetPacket, upstream_id: str) -> None:
        """Hold a denial here."""
        segment = DeniedSegment(packet.key_to_caller(), packet.seq)
        held = self._held.get(segment)
        if held is None:
            due_s = self._services.clock.monotonic_s() + HOLD_S
            held = self._held[segment] = HeldDenial(due_s, packet)
            if len(self._held) > self._max_held:
                self._held.popitem(last=False)
        held.packet = packet
        held.upstream_ids.add(upstream_id)

    def release_due(self) -> None:
        """Pass on or drop every denial that was held long enough."""
        now_s = self._services.clock.monotonic_s()
        while self._held:
            segment, held = next(iter(self._held.items()))
            if held.due_s > now_s:
                return
            del self._held[segment]
            if self._is_denied_by_all(segment, held):
                self._send_to_caller(held.packet.raw)

    def _is_denied_by_all(self, segment: DeniedSegment, held: HeldDenial) -> bool:
        routes = self._services.find_by_endpoint(segment.flow[6:])
        if routes is None or not self._services.is_history_known:
            return False
        entry = self._flows.get(segment.flow)
        hint = entry.upstream_id if entry else None
        candidates = self._services.candidates(routes, segment.flow, hint)
        ids = {record.upstream_id for record in candidates}
        return bool(ids) and ids <= held.upstream_ids

    def _owner(self, flow: bytes) -> str | None:
        """Return the owner of a flow, or None if that is this instance."""
        if self._channel is None:
            return None
        names = list({*self._alive_instances(), self._channel.name})
        owner = rendezvous_order(flow, names)[0]
        return owner if owner != self._channel.name else None

    async def _report_to(
        self, owner: str, packet: ResetPacket, upstream_id: str
    ) -> None:
        message = DenialReport(upstream_id=upstream_id, packet=packet.raw)
        try:
            await self._channel.request(owner, message, REPORT_TIMEOUT_S)
        except ArbutusliftError:
            self.hold(packet, upstream_id)

    async def _on_report(self, peer: str, message: DenialReport) -> DenialHeld:
        packet = decode(message.packet)
        if not isinstance(packet, ResetPacket) or not packet.is_denial:
            raise MessageError("not a denial", step="hold denial", peer=peer)
        self.hold(packet, message.upstream_id)
        return DenialHeld()
