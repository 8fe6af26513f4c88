"""Hedging of SYNs: a second upstream for callers whose SYN gets no answer in time."""

import asyncio
from collections import Counter, deque
from collections.abc import Callable
from enum import StrEnum

from attrs import evolve, frozen

from ...clock import Clock
from ...state.routingtable import Route
from ...state.slidingwindow import SlidingWindowLog
from ...transport.callerpackets import CallerPacket
from .flowtagrouter import FlowTagRouter
from .packetdecision import Decision
from .retransmissiontimeout import RetransmissionTimeout
from .trackedflows import TrackedFlow
from .upstreamselector import UpstreamSelector

# An upstream answers a SYN within a few ms. A shorter time would hedge SYNs whose
# answer waits for a busy processor.
MIN_DELAY_S = 0.03
# Callers send a copy after 200 ms; the answer of the second upstream has to arrive
# before.
MAX_DELAY_S = 0.15
SYN_COPY_S = 0.2
# Fraction of new flows that may be hedged. A network that loses all SYNs would
# otherwise double the connections.
BUDGET_FRACTION = 0.1
BUDGET_WINDOW_S = 10.0
MAX_PENDING = 1000


class HedgeOutcome(StrEnum):
    """What became of a SYN without an answer in time."""

    SENT = "sent"
    OVER_BUDGET = "over_budget"
    NO_UPSTREAM = "no_upstream"


@frozen
class _Pending:
    """A flow that may have to be hedged.

    Attributes:
        packet: Its SYN.
        route: Its route.
        flow: The tracked flow.
        due_s: When it is hedged unless a packet of the caller has followed.
    """

    packet: CallerPacket
    route: Route
    flow: TrackedFlow
    due_s: float


class HedgeBudget:
    """Limits hedged SYNs to a fraction of the new flows of the last seconds.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._flows = SlidingWindowLog(clock, BUDGET_WINDOW_S)
        self._hedges = SlidingWindowLog(clock, BUDGET_WINDOW_S)

    def record_flow(self) -> None:
        """Count a new flow."""
        self._flows.add()

    def record_hedge(self) -> None:
        """Count a hedged SYN."""
        self._hedges.add()

    @property
    def is_exhausted(self) -> bool:
        """Return whether one more hedged SYN would exceed the fraction."""
        hedges = self._hedges.count_within(BUDGET_WINDOW_S) + 1
        return hedges > BUDGET_FRACTION * self._flows.count_within(BUDGET_WINDOW_S)


class SynHedger:
    """Decides which SYNs go to a second upstream, and when; each at most once.

    Args:
        clock: Source of time.
        selector: Selects the second upstream.
        router: Tracks the flows.

    Attributes:
        outcomes: Numbers of SYNs without an answer in time.
    """

    def __init__(
        self, clock: Clock, selector: UpstreamSelector, router: FlowTagRouter
    ) -> None:
        self.outcomes: Counter[HedgeOutcome] = Counter()
        self._clock = clock
        self._selector = selector
        self._router = router
        self._budget = HedgeBudget(clock)
        self._delay = RetransmissionTimeout(MIN_DELAY_S, MAX_DELAY_S, MAX_DELAY_S)
        self._pending: deque[_Pending] = deque()
        self._late: deque[TrackedFlow] = deque()
        self._has_pending = asyncio.Event()

    @property
    def delay_s(self) -> float:
        """Return the time in which a packet of the caller has to follow its SYN."""
        return self._delay.timeout_s

    async def run(
        self,
        read_packets: Callable[[], None],
        send: Callable[[CallerPacket, Decision], None],
    ) -> None:
        """Hedge SYNs until cancelled.

        Args:
            read_packets: Reads the packets that have arrived.
            send: Called with each SYN for a second upstream and the decision about it.
        """
        while True:
            await self._has_pending.wait()
            due_s = self._pending[0].due_s
            await self._clock.sleep(max(0.0, due_s - self._clock.monotonic_s()))
            # On a busy processor the caller's next packet may have arrived.
            read_packets()
            for packet, decision in self.take_due():
                send(packet, decision)
            if not self._pending:
                self._has_pending.clear()

    def add(self, packet: CallerPacket) -> None:
        """Add a flow that the router has just opened.

        The budget counts it. A copy of a SYN isn't hedged, since another instance may
        have hedged the SYN, and neither is a SYN with data, which would run twice.
        """
        self._budget.record_flow()
        if (
            packet.ack > 0
            or packet.data_length_bytes
            or len(self._pending) >= MAX_PENDING
        ):
            return
        route, flow = self._router.find_opening(packet)
        due_s = flow.opened_s + self.delay_s
        self._pending.append(_Pending(packet, route, flow, due_s))
        self._has_pending.set()

    def take_due(self) -> list[tuple[CallerPacket, Decision]]:
        """Return the SYNs that are to be sent to a second upstream now."""
        now_s = self._clock.monotonic_s()
        self._observe_late(now_s)
        hedges = []
        while self._pending and self._pending[0].due_s <= now_s:
            pending = self._pending.popleft()
            if pending.flow.is_open:
                self._observe(pending.flow)
                continue
            self._late.append(pending.flow)
            if self._is_waiting(pending.flow, now_s):
                decision = self._hedge(pending)
                hedges.extend([(pending.packet, decision)] if decision else [])
        return hedges

    def _observe_late(self, now_s: float) -> None:
        """Observe the round trips of flows that were still opening when they were due.

        Without them the time could never grow when upstreams become slower.
        """
        while self._late and self._late[0].opened_s + SYN_COPY_S <= now_s:
            flow = self._late.popleft()
            if flow.is_open:
                self._observe(flow)

    def _observe(self, flow: TrackedFlow) -> None:
        self._delay.observe(flow.answered_s - flow.opened_s)

    @staticmethod
    def _is_waiting(flow: TrackedFlow, now_s: float) -> bool:
        """Return whether the caller waits for the answer to its first SYN.

        A flow that isn't counted any more has been replaced or has ended. A hedge that
        is as late as the caller's copy would be a third SYN.
        """
        return flow.is_counted and now_s - flow.opened_s < SYN_COPY_S

    def _hedge(self, pending: _Pending) -> Decision | None:
        if self._budget.is_exhausted:
            self.outcomes[HedgeOutcome.OVER_BUDGET] += 1
            return None
        start = pending.flow.upstream.start
        shares = (s for s in pending.route.shares if s.service == start.service)
        route = evolve(pending.route, shares=tuple(shares))
        upstream = self._selector.select_other(route, self._router.table, start.key)
        if upstream is None:
            self.outcomes[HedgeOutcome.NO_UPSTREAM] += 1
            return None
        self._budget.record_hedge()
        self.outcomes[HedgeOutcome.SENT] += 1
        return self._router.add_hedge(pending.packet, upstream)
