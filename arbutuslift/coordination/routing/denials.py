"""Withheld denials.

A denial is the reset with which an upstream answers a segment of a connection that it
doesn't hold. Another upstream may hold the connection, so that no denial may reach the
caller until every candidate has sent one.
"""

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

# Longer than the 3 s within which updates of the view reach every instance.
HOLD_S = 5.0
RELEASE_INTERVAL_S = 0.25
MAX_PENDING = 10_000
# Each report that awaits its answer takes a task.
MAX_PENDING_REPORTS = 256
REPORT_TIMEOUT_S = 1.0


@frozen
class DenialKey:
    """Connection that was denied.

    The denials of one connection have the sequence number that the caller
    acknowledged. Denials with another number concern another connection on the same
    port.

    Attributes:
        flow: Bytes of the flow's key.
        seq: Sequence number of the denials.
    """

    flow: bytes
    seq: int


@define
class PendingDenial:
    """Denials of one connection.

    Attributes:
        due_s: When they are passed on or dropped, on the monotonic clock.
        packet: The newest reset.
        upstream_ids: The upstreams that denied the flow.
    """

    due_s: float
    packet: ResetPacket
    upstream_ids: set[str] = field(factory=set)


class DenialBuffer:
    """Holds denials until updates of the view have propagated.

    Then it passes on those that every candidate has sent, and drops the others. Each
    flow has one instance as its owner, which holds its denials if it can be reached.

    Args:
        services: Services and upstreams.
        flows: Cache of flows.
        send_to_caller: Sends a packet to the fabric.
        alive_instances: Returns the names of the alive instances.
        channel: Channel to other instances; without one, this instance owns every
            flow.
        max_pending: Maximum number of connections; beyond it the oldest is dropped.
    """

    def __init__(
        self,
        services: ServiceTable,
        flows: FlowCache,
        send_to_caller: Callable[[bytes], None],
        *,
        alive_instances: Callable[[], list[str]] = list,
        channel: Channel | None = None,
        max_pending: int = MAX_PENDING,
    ) -> None:
        self._services = services
        self._flows = flows
        self._send_to_caller = send_to_caller
        self._alive_instances = alive_instances
        self._channel = channel
        self._max_pending = max_pending
        self._pending: OrderedDict[DenialKey, PendingDenial] = OrderedDict()
        self._reports: set[asyncio.Task[None]] = set()
        if channel is not None:
            channel.register_handler(DenialReport, self._on_report)

    def __len__(self) -> int:
        return len(self._pending)

    async def run(self) -> None:
        """Pass on or drop denials that fall due, until cancelled."""
        while True:
            await self._services.clock.sleep(RELEASE_INTERVAL_S)
            self.release_due()

    def close(self) -> None:
        """Cancel pending reports."""
        for task in self._reports:
            task.cancel()

    def report(self, packet: ResetPacket, upstream_id: str) -> None:
        """Hand a denial that this instance received to the owner of the flow."""
        owner = self._remote_owner(packet.key_to_caller())
        if owner is None or len(self._reports) >= MAX_PENDING_REPORTS:
            self.hold(packet, upstream_id)
            return
        task = asyncio.create_task(self._report_to(owner, packet, upstream_id))
        self._reports.add(task)
        task.add_done_callback(self._reports.discard)

    def hold(self, packet: ResetPacket, upstream_id: str) -> None:
        """Hold a denial on this instance."""
        key = DenialKey(packet.key_to_caller(), packet.seq)
        pending = self._pending.get(key)
        if pending is None:
            due_s = self._services.clock.monotonic_s() + HOLD_S
            pending = self._pending[key] = PendingDenial(due_s, packet)
            if len(self._pending) > self._max_pending:
                self._pending.popitem(last=False)
        pending.packet = packet
        pending.upstream_ids.add(upstream_id)

    def release_due(self) -> None:
        """Pass on or drop every denial whose hold time is over."""
        now_s = self._services.clock.monotonic_s()
        while self._pending:
            key, pending = next(iter(self._pending.items()))
            if pending.due_s > now_s:
                return
            del self._pending[key]
            if self._is_denied_by_all(key, pending):
                self._send_to_caller(pending.packet.raw)

    def _is_denied_by_all(self, key: DenialKey, pending: PendingDenial) -> bool:
        routes = self._services.find_by_endpoint(key.flow[6:])
        if routes is None or not self._services.is_history_known:
            return False
        entry = self._flows.get(key.flow)
        hint = entry.upstream_id if entry else None
        candidates = self._services.candidates(routes, key.flow, hint)
        ids = {record.upstream_id for record in candidates}
        return bool(ids) and ids <= pending.upstream_ids

    def _remote_owner(self, flow: bytes) -> str | None:
        """Return the owner of a flow, None if it is this instance."""
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
            raise MessageError(
                "the reported packet isn't a denial", step="hold denial", peer=peer
            )
        self.hold(packet, message.upstream_id)
        return DenialHeld()
