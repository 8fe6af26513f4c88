"""An entry instance: forwards packets by flow tag, subscribes to control instances."""

import asyncio
import random
import socket
import time
from collections.abc import Callable
from contextlib import AsyncExitStack, suppress
from functools import partial
from typing import TYPE_CHECKING

import structlog

from .clock import Clock
from .coordination.dissemination.feedclient import FeedClient
from .coordination.routing.flowtagrouter import (
    RESET_VERDICTS,
    Decision,
    FlowTagRouter,
    Verdict,
)
from .coordination.routing.permitqueue import PermitQueue
from .coordination.routing.trackedstart import TrackedStart
from .coordination.routing.upstreamdirectory import UpstreamDirectory
from .coordination.routing.upstreamhealth import UpstreamHealth
from .coordination.routing.upstreamselector import UpstreamSelector
from .decisionlog import DecisionLog, log_changed_starts
from .entrymetrics import EntryMetrics
from .errors import PacketError
from .loadfactory import check_load_settings, make_gate, make_load_features
from .loadfeatures import LoadFeatures
from .packetsender import PacketSender
from .protocol.channel import Channel
from .protocol.feed import FeedAnswer
from .roleinstance import RoleInstance
from .rolesettings import EntrySettings
from .routetimesloader import RouteTimesLoader
from .staledatagrams import MAX_DATAGRAM_BYTES, StaleDatagrams
from .state.routingtable import decode_table
from .transport.callerpackets import CallerPacket, PacketCodec

if TYPE_CHECKING:
    from .coordination.dissemination.returnchecks import ReturnChecks
    from .coordination.routing.admissiongate import AdmissionGate
    from .coordination.routing.synhedging import SynHedger

# Datagrams read in one callback of the event loop. The limit lets the loop process
# control traffic in between.
BATCH_DATAGRAMS = 32
EXPIRE_INTERVAL_S = 0.5
# Routers stop sending after two failed checks, half a second apart, and packets that
# they sent before are still in transit.
DRAIN_S = 1.5
# Longest wait for a stop permit. Routers must detect within 4 s of the signal that the
# instance isn't ready any more, and detection takes up to 1 s.
MAX_STOP_PERMIT_WAIT_S = 2.0
# Longest wait, before the readiness endpoint is loaded, for the first table and the
# packets that callers have sent before. Without a table the instance isn't ready.
FIRST_PACKETS_WAIT_S = 0.1
# Part of the stop time-out that is reserved for closing sockets.
CLOSE_RESERVE_S = 0.7
# Delay of the lines about the upstreams of a first answer, in which the event loop
# reads the packets that are waiting.
LOG_DELAY_S = 0.005

_log = structlog.get_logger()


class EntryInstance(RoleInstance):
    """Forwards callers' packets.

    Args:
        settings: Checked settings.
        packets: Bound socket on which packets arrive; closed with the instance.
        codec: Wire format of packets.
        clock: Source of time.
        stack: Owns everything that has to be closed.
        on_failure: Called when a task failed and the process has to end.

    Attributes:
        metrics: Metrics of this instance.
    """

    def __init__(
        self,
        settings: EntrySettings,
        packets: socket.socket,
        codec: PacketCodec,
        clock: Clock,
        stack: AsyncExitStack,
        on_failure: Callable[[], None],
    ) -> None:
        super().__init__("run entry instance", clock, stack, on_failure)
        self._settings = settings
        self._codec = codec
        self._is_stopping = False
        self._has_upstreams = False
        self._socket = packets
        self._sender = PacketSender(
            packets, codec, clock, settings.link_bytes_per_s, settings.listen_port
        )
        self._stale = StaleDatagrams(
            clock, packets, self._clear_queues, self._record_stale
        )
        self._has_read_all = asyncio.Event()
        self._decisions = DecisionLog(codec)
        self._directory = UpstreamDirectory(
            clock, may_use_restored_starts=settings.load.may_use_restored_starts
        )
        self._health = UpstreamHealth(
            clock,
            self._directory,
            settings.data_centre,
            self._tasks.spawn_contained,
            self._on_lost,
        )
        check_load_settings(settings.load)
        self._load = LoadFeatures()
        self._gate: AdmissionGate | None = None
        self._hedger: SynHedger | None = None
        self._selector = UpstreamSelector(
            clock,
            self._directory,
            self._health.outliers,
            settings.data_centre,
            random.Random(),
        )
        self._selector.can_reach = self._health.reachability.can_reach
        self._router = FlowTagRouter(
            clock,
            self._directory,
            self._health.outliers,
            self._selector,
            self._health.check,
            self._decisions.log_unanswered_request,
            on_answer=self._health.reachability.record_answer,
        )
        self.metrics = EntryMetrics(self._router, self._directory, self._sender.queue)
        self._sender.dropped = self.metrics.packets
        self._last_answer_s = clock.monotonic_s()
        self._permit_queue = PermitQueue(clock, self._selector, self._route_again)
        # Until control instances are asked, any data centre may just have come back.
        self._selector.is_doubtful = lambda start, limits: True
        self._returns: ReturnChecks | None = None
        self._feed: FeedClient | None = None

    @property
    def is_ready(self) -> bool:
        """Return whether routers may send packets here."""
        table = self._router.table
        if table is None or not self._has_upstreams or self._is_stopping:
            return False
        # Routers then send packets to other data centres, which may reach upstreams.
        return self._health.reachability.can_serve(table)

    def add_load_features(self) -> None:
        """Decide by the load features of the settings from now on.

        Their modules aren't loaded before the waiting packets are forwarded, since that
        would delay them.
        """
        settings = self._settings
        self._load = make_load_features(settings, self._clock, self._directory)
        self._load.on_locality = self._selector.use_locality
        self._selector.shared_choice = self._load.shared_choice
        self._gate = make_gate(settings, self._clock, self._selector, self._load)
        self._router.use(self._load.observer, self._gate)
        self.metrics.use(self._load, self._gate)
        if self._router.table is not None:
            self._load.apply(self._router.table)
        if settings.load.are_syns_hedged:
            from .coordination.routing.synhedging import SynHedger

            self._hedger = SynHedger(self._clock, self._selector, self._router)
            self.metrics.hedges = self._hedger.outcomes

    def _start_load_features(self, channel: Channel) -> None:
        self._load.start(channel, self._tasks)
        if self._hedger is not None:
            run = partial(self._hedger.run, self._receive, self._send_hedge)
            self._tasks.spawn_loop(run, self._clock)
        if self._gate is not None:
            run = partial(self._gate.run, self._router.route, self._carry_out)
            self._tasks.spawn_loop(run, self._clock)

    async def open(self) -> None:
        """Open the bus and the readiness endpoint, and start all tasks.

        Raises:
            TransportError: A port can't be bound.
        """
        settings = self._settings
        self._stack.callback(self._socket.close)
        self._stack.callback(self._tasks.cancel)
        channel = Channel(self._make_bus(settings.name))
        self.metrics.refusals = partial(self._refusals, channel)
        self._feed = FeedClient(
            channel,
            self._clock,
            settings.seeds,
            settings.data_centre,
            self._revision,
            self._on_answer,
            self._directory.remove_source,
        )
        self._tasks.spawn_loop(self._feed.run, self._clock)
        self._tasks.spawn_loop(self._expire, self._clock)
        run = partial(self._sender.run, self._stale.drop)
        self._tasks.spawn_loop(run, self._clock)
        await self._forward_waiting_packets()
        await self._open_readiness()
        self.add_load_features()
        self._start_load_features(channel)
        self._permit_queue.open(channel, self._tasks.spawn_contained)
        self._open_return_checks(channel)
        _log.info("started", listen_port=settings.listen_port)

    def _open_return_checks(self, channel: Channel) -> None:
        # Imported here, since the import delays the packets that are waiting.
        from .coordination.dissemination.returnchecks import ReturnChecks

        self._returns = ReturnChecks(
            channel,
            self._clock,
            self._tasks.spawn_contained,
            lambda: self._feed.subscribed_names,
            lambda: self._selector.entry_count,
            self._permit_queue.route_waiting,
        )
        self._check_returns()
        self._selector.is_doubtful = self._returns.is_doubtful

    def _check_returns(self) -> None:
        if self._returns is not None and self._router.table is not None:
            self._returns.apply(self._router.table)

    async def _forward_waiting_packets(self) -> None:
        """Wait until the packets that arrived before the first table are forwarded.

        After a loss of power, routers send to instances that aren't ready, since none
        is, and callers wait.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(FIRST_PACKETS_WAIT_S):
                await self._has_read_all.wait()

    async def _open_readiness(self) -> None:
        # Imported here, since the import delays the packets that are waiting.
        from .transport.readiness import ReadinessEndpoint

        settings = self._settings
        endpoint = ReadinessEndpoint(
            settings.ready_path, lambda: self.is_ready, self.metrics.families
        )
        self._stack.push_async_callback(endpoint.close)
        await endpoint.open(settings.ready_ip, settings.ready_port)

    async def stop(self) -> None:
        """Report unreadiness to the routers and forward what still arrives."""
        spare_s = self._settings.stop_timeout_s - DRAIN_S - CLOSE_RESERVE_S
        limit_s = min(MAX_STOP_PERMIT_WAIT_S, spare_s)
        is_turn = await self._feed.wait_for_stop_permit(limit_s)
        self._is_stopping = True
        self._feed.set_stopping()
        _log.info("draining", drain_s=DRAIN_S, is_turn=is_turn)
        await self._clock.sleep(DRAIN_S)
        await self._clock.sleep(min(self._sender.queue.drain_s(), CLOSE_RESERVE_S))
        _log.info("stopped", flows=self._router.flow_count)

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Use the seeds of changed settings."""
        self._feed.set_seeds(seeds)

    def _start_receiving(self) -> None:
        """Start reading packets; earlier ones are queued in the socket."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket.fileno(), self._receive)
        self._stack.callback(loop.remove_reader, self._socket.fileno())
        loop.call_soon(self._receive)

    def _receive(self) -> None:
        self._stale.drop()
        before_s = time.perf_counter()
        for count in range(BATCH_DATAGRAMS):
            try:
                datagram = self._socket.recv(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                self.metrics.batch_packets.observe(count)
                self._has_read_all.set()
                return
            except OSError as error:
                _log.warning("receive_failed", reason=str(error))
                return
            self._handle_contained(datagram)
            now_s = time.perf_counter()
            self.metrics.packet_duration_s.observe(now_s - before_s)
            before_s = now_s
        self.metrics.batch_packets.observe(BATCH_DATAGRAMS)

    def _clear_queues(self) -> int:
        """Drop the packets that wait, and return how many did."""
        count = self._sender.queue.clear() + self._permit_queue.clear()
        return count + (self._gate.clear() if self._gate is not None else 0)

    def _record_stale(self, count: int) -> None:
        self.metrics.packets[Verdict.DROPPED_STALE] += count

    def _handle_contained(self, datagram: bytes) -> None:
        try:
            self._handle(datagram)
        except Exception:
            # An error in one packet must not hold up those that wait behind it.
            self.metrics.packets[Verdict.DROPPED_FAILED] += 1
            _log.exception(Verdict.DROPPED_FAILED, size_bytes=len(datagram))

    def _handle(self, datagram: bytes) -> None:
        try:
            packet = self._codec.decode(datagram)
        except PacketError as error:
            self.metrics.packets[Verdict.DROPPED_MALFORMED] += 1
            _log.warning(Verdict.DROPPED_MALFORMED, reason=error.message)
            return
        self._carry_out(packet, self._router.route(packet))

    def _carry_out(
        self,
        packet: CallerPacket,
        decision: Decision,
        arrived_s: float | None = None,
    ) -> None:
        """Carry out the decision about a packet; it arrived now without a time."""
        verdict = decision.verdict
        self.metrics.packets[verdict] += 1
        if verdict is Verdict.SYN_WAITS_COLD:
            self._permit_queue.add(packet, arrived_s)
        if verdict is Verdict.NEW_FLOW:
            age_s = self._clock.monotonic_s() - self._last_answer_s
            self.metrics.view_age_s.observe(age_s)
            if self._hedger is not None:
                self._hedger.add(packet)
        if decision.upstream is not None and verdict not in RESET_VERDICTS:
            self._sender.forward(packet, decision.upstream)
        elif verdict in RESET_VERDICTS and not packet.is_reset:
            self._sender.reset(packet)
        self._decisions.log_decision(packet, decision, self._router.table)

    def _route_again(self, packet: CallerPacket, arrived_s: float) -> None:
        self._carry_out(packet, self._router.route(packet), arrived_s)

    def _send_hedge(self, packet: CallerPacket, decision: Decision) -> None:
        self.metrics.packets[decision.verdict] += 1
        self._sender.forward(packet, decision.upstream)
        self._decisions.log_decision(packet, decision, self._router.table)

    def _revision(self) -> int:
        return self._router.table.revision if self._router.table else 0

    def _on_answer(self, source: str, answer: FeedAnswer) -> None:
        self._last_answer_s = self._clock.monotonic_s()
        self._load.on_feed_answer(answer)
        self._permit_queue.set_controls(answer.controls)
        changed = self._directory.merge_feed_answer(
            source,
            answer.news,
            is_first=answer.is_first,
            is_settled=answer.is_settled,
        )
        if answer.is_first:
            # One line for each upstream would delay the packets that are waiting.
            loop = asyncio.get_running_loop()
            loop.call_later(LOG_DELAY_S, log_changed_starts, changed, source)
        else:
            log_changed_starts(changed, source)
        for item in answer.news:
            if item.is_doubted:
                self._check_suspected(item.start.key)
        self._selector.entry_count = max(1, answer.entry_count)
        self._has_upstreams = self._has_upstreams or len(self._directory) > 0
        if answer.table:
            self._apply(source, answer.table)

    def _check_suspected(self, key: tuple[str, int]) -> None:
        tracked = self._directory.find_by_key(key)
        if tracked is not None:
            self._health.check(tracked)

    def _on_lost(self, tracked: TrackedStart) -> None:
        start = tracked.start
        report = self._feed.report_loss(start.upstream_id, start.born_ms)
        self._tasks.spawn_contained(report)

    def _apply(self, source: str, encoded: bytes) -> None:
        table = decode_table(encoded)
        is_first = self._router.table is None
        if self._router.apply(table):
            self._load.apply(table)
            self._check_returns()
            if is_first:
                self._start_receiving()
            _log.info(
                "configuration_in_effect",
                revision=table.revision,
                version=table.version,
                routes=len(table.routes),
                out_of_service=",".join(sorted(table.out_of_service)),
                source=source,
            )
            load = self._settings.load
            if load.is_admission_limited or load.is_locality_weighted:
                loader = RouteTimesLoader(
                    self._clock, self._feed, self._router, self._load.apply
                )
                self._tasks.spawn_contained(loader.load(source, table.revision))

    async def _expire(self) -> None:
        while True:
            await self._clock.sleep(EXPIRE_INTERVAL_S)
            self._stale.tick()
            self._router.expire()
            if self._gate is not None:
                self._gate.expire()
            self._directory.expire()
            self._health.reachability.probe_unreachable()
