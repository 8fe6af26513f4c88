"""Admission of the new flows of an entry instance, with the SYNs that wait."""

import asyncio
from collections.abc import Callable, Iterator

from ...clock import Clock
from ...state.routingtable import Route, RouteKey, RoutingTable
from ...transport.callerpackets import CallerPacket
from .flowadmission import (
    AdmissionDecision,
    AdmissionRequest,
    FlowAdmission,
    Outcome,
    Reason,
)
from .packetdecision import Decision, Verdict
from .poolsource import OutstandingCounter, PoolSource, SharedView
from .servicepool import ServicePool
from .upstreamselector import UpstreamSelector
from .waitingflows import WaitingFlow, WaitingFlows, max_wait_s

# Interval between checks of the SYNs that wait: a fraction of the shortest work, after
# which a slot becomes free.
RELEASE_INTERVAL_S = 0.01
# A caller sends copies of its SYN after these times, by the number of earlier copies.
COPY_TIMES_S = (0.0, 0.2, 0.6)

TOO_MANY = AdmissionDecision(outcome=Outcome.REJECT, reason=Reason.TOO_MANY_WAIT)

RouteFunction = Callable[[CallerPacket], Decision]


class AdmissionGate:
    """Lets new flows pass, wait or be rejected.

    Args:
        clock: Source of time.
        admission: Decides.
        waiting: Holds the SYNs that wait.
        pools: Pools of routes.
    """

    def __init__(
        self,
        clock: Clock,
        admission: FlowAdmission,
        waiting: WaitingFlows,
        pools: PoolSource,
    ) -> None:
        self._clock = clock
        self._admission = admission
        self._waiting = waiting
        self._pools = pools
        self._displaced: list[CallerPacket] = []
        self._has_waiting = asyncio.Event()

    @property
    def waiting_count(self) -> int:
        """Return the number of SYNs that wait."""
        return len(self._waiting)

    @property
    def shortage_count(self) -> int:
        """Return the number of pools with a shortage."""
        return self._admission.count_shortages()

    def check(
        self, packet: CallerPacket, route: Route, table: RoutingTable, has_failed: bool
    ) -> Decision | None:
        """Return the decision about a SYN, None if the flow may be opened.

        Args:
            packet: The SYN of a flow that isn't tracked.
            route: Its route.
            table: Routing table in effect.
            has_failed: Whether the last attempt of the caller failed.
        """
        item = self._waiting.get(packet.flow)
        if item is not None and item.packet is not packet:
            return Decision(Verdict.SYN_WAITS)
        if item is None and self._try_admit(route):
            return None
        is_short = len(self._waiting) > 0 or self._admission.count_shortages() > 0
        pool = self._pools.pool_of(route, table, is_short=is_short)
        request = _request(packet, route, pool, has_failed)
        decision = self._decide(request, item)
        if decision.outcome is Outcome.ADMIT:
            return None
        if decision.outcome is Outcome.REJECT:
            return self._reject(packet, decision)
        if item is None:
            self._add(packet, request)
        return Decision(Verdict.SYN_WAITS, admission=decision)

    def keep(self, packet: CallerPacket, route: Route, table: RoutingTable) -> bool:
        """Let a SYN wait that no upstream takes now; return whether it waits.

        Cold upstreams take a new flow once in a time.
        """
        item = self._waiting.get(packet.flow)
        if item is not None:
            return item.due_s > self._clock.boottime_s()
        pool = self._pools.pool_of(route, table, is_short=True)
        if not pool.upstreams:
            return False
        self._add(packet, _request(packet, route, pool, has_failed=False))
        return packet.flow in self._waiting

    def release(
        self, route_packet: RouteFunction
    ) -> Iterator[tuple[CallerPacket, Decision]]:
        """Yield the SYNs that don't wait any longer, with the decisions about them.

        Args:
            route_packet: Routes a SYN, and asks this gate about it.
        """
        for item in self._waiting.remove_stale():
            yield item.packet, Decision(Verdict.DROPPED_BUSY)
        for pool in self._waiting.pools():
            while (item := self._next_of(pool)) is not None:
                decision = route_packet(item.packet)
                if decision.verdict is Verdict.SYN_WAITS:
                    break
                self._waiting.remove(item)
                yield item.packet, decision
        for item in self._waiting.due():
            decision = route_packet(item.packet)
            self._waiting.remove(item)
            yield item.packet, decision
        displaced, self._displaced = self._displaced, []
        for packet in displaced:
            yield packet, self._reject(packet, TOO_MANY)

    def clear(self) -> int:
        """Forget the SYNs that wait; return how many there were."""
        count = self._waiting.clear() + len(self._displaced)
        self._displaced.clear()
        return count

    async def run(
        self,
        route_packet: RouteFunction,
        carry_out: Callable[[CallerPacket, Decision], None],
    ) -> None:
        """Release what waits, also while no packet arrives, until cancelled."""
        while True:
            await self._has_waiting.wait()
            await self._clock.sleep(RELEASE_INTERVAL_S)
            for packet, decision in self.release(route_packet):
                carry_out(packet, decision)
            if not self._waiting:
                self._has_waiting.clear()

    def expire(self) -> None:
        """End shortages that nothing shows any more; called about every second."""
        self._admission.expire()

    def _try_admit(self, route: Route) -> bool:
        """Count a new flow and admit it if nothing waits or shows a shortage.

        This decides about most flows without the cost of building a pool.
        """
        pool = self._pools.record_arrival(route)
        return not self._waiting.count(pool) and self._admission.try_admit(
            pool,
            self._pools.outstanding(route),
            route.key,
            route.priority,
            route.aim_s,
        )

    def _decide(
        self, request: AdmissionRequest, item: WaitingFlow | None
    ) -> AdmissionDecision:
        """Return the decision about a flow, which may already wait as ``item``."""
        count = self._waiting.count(request.pool.name)
        if item is None:
            return self._admission.decide(request, count)
        is_due = item.due_s <= self._clock.boottime_s()
        return self._admission.reconsider(request, count, is_due=is_due)

    def _add(self, packet: CallerPacket, request: AdmissionRequest) -> None:
        now_s = self._clock.boottime_s()
        displaced = self._waiting.add(
            WaitingFlow(
                packet=packet,
                pool=request.pool.name,
                route=request.route,
                is_retry=request.is_retry,
                arrived_s=now_s,
                due_s=now_s + max_wait_s(request.aim_s or request.timeout_s),
            )
        )
        self._has_waiting.set()
        if displaced is not None:
            self._displaced.append(displaced.packet)

    @staticmethod
    def _reject(packet: CallerPacket, decision: AdmissionDecision) -> Decision:
        """Return the decision about a SYN for which there is no capacity.

        An upstream may hold the flow of a copy, since another instance may have
        forwarded the first SYN. A reset could end it after its request was sent.
        """
        verdict = Verdict.DROPPED_BUSY if packet.ack > 0 else Verdict.REJECTED_BUSY
        return Decision(verdict, admission=decision)

    def _next_of(self, pool: str) -> WaitingFlow | None:
        def rank(route: RouteKey, is_retry: bool) -> tuple:
            return self._admission.rank(pool, route, is_retry)

        return self._waiting.next_of(pool, rank)


def _request(
    packet: CallerPacket, route: Route, pool: ServicePool, has_failed: bool
) -> AdmissionRequest:
    copies = min(packet.ack, len(COPY_TIMES_S) - 1)
    return AdmissionRequest(
        route=route.key,
        pool=pool,
        priority=route.priority,
        aim_s=route.aim_s,
        timeout_s=route.timeout_s,
        elapsed_s=COPY_TIMES_S[copies],
        is_retry=has_failed or packet.ack > 0,
    )


def open_gate(
    clock: Clock,
    selector: UpstreamSelector,
    counter: OutstandingCounter,
    data_centre: str,
    view: SharedView | None = None,
    queue_length: int | None = None,
) -> AdmissionGate:
    """Return the gate of an entry instance; the arguments are those of PoolSource."""
    pools = PoolSource(clock, selector, counter, data_centre, view, queue_length)
    return AdmissionGate(clock, FlowAdmission(clock), WaitingFlows(clock), pools)
