"""A control instance: a member of the agreement, and the feed for entry instances."""

import asyncio
import random
from collections.abc import Callable
from contextlib import AsyncExitStack, suppress
from typing import TYPE_CHECKING

import structlog

from .clock import Clock
from .controlmetrics import ControlMetrics
from .coordination.agreement.orderprocessor import OrderSender
from .coordination.applicabletables import ApplicableTables, TableReader
from .coordination.dissemination.feedserver import FeedServer
from .coordination.dissemination.startpersistence import StartPersistence
from .errors import AnnouncementError, ArbutusliftError
from .membersupervisor import MemberSupervisor
from .protocol.channel import Channel
from .roleinstance import RoleInstance
from .rolesettings import ControlSettings
from .state.agreedstate import AgreedState, Order
from .state.configuration import StoredRevision
from .state.routingtable import RoutingTable
from .state.starts import Departure, UpstreamStart
from .state.startstore import DiskStartStore
from .transport.zmqbus import endpoint_of_address

# Longest wait for the first table before announcements are processed. An election
# among members that start together takes half of it.
FIRST_TABLE_WAIT_S = 0.3
# Time in which the event loop sends the first table to all subscribers.
FEED_PUSH_S = 0.05
_EPOCH_BITS = 62
# Clocks of machines differ by seconds, those of misconfigured ones by hours.
MAX_BORN_AHEAD_S = 24 * 3600
# Deriving the table of a larger document takes 1 ms and more.
DERIVE_IN_THREAD_BYTES = 32 * 1024
# An order that has waited for longer may have been given up by its sender.
ORDER_FREEZE_S = 0.5


if TYPE_CHECKING:
    from .coordination.dissemination.loadserver import LoadServer
    from .coordination.dissemination.reportserver import ReportServer
    from .coordination.freezedetector import FreezeDetector
    from .metricfamilies import MetricFamily

_log = structlog.get_logger()


def check_service(start: UpstreamStart, table: RoutingTable | None) -> None:
    """Refuse a start whose service isn't in the configuration in effect.

    Raises:
        AnnouncementError: The service is unknown.
    """
    if table is None or not table.services:
        return
    if all(service.name != start.service for service in table.services):
        raise AnnouncementError(
            f"unknown service {start.service[:64]}",
            step="take announcement",
            peer=start.upstream_id,
        )


def check_birth(upstream_id: str, born_ms: int, now_s: float) -> None:
    """Refuse a report of a start in the future.

    Args:
        upstream_id: Identity of the upstream.
        born_ms: When its process started, in ms of the Unix epoch.
        now_s: Time in seconds of the Unix epoch.

    Raises:
        AnnouncementError: The start is too far ahead of this machine's clock. It would
            hold its address against every process that starts after it.
    """
    ahead_s = born_ms / 1000 - now_s
    if ahead_s > MAX_BORN_AHEAD_S:
        raise AnnouncementError(
            f"born {ahead_s:.0f} s ahead of this clock",
            step="take announcement",
            peer=upstream_id,
        )


class ControlInstance(RoleInstance):
    """Accepts orders and announcements and publishes them to entry instances.

    Args:
        settings: Checked settings.
        read_table: Returns the routing table of an agreed state.
        clock: Source of time.
        stack: Owns everything that has to be closed.
        on_failure: Called when a task failed and the process has to end.

    Attributes:
        feed: Feed to which entry instances subscribe.
        load: Load that entry instances report; None before ``start_load_server``.
        metrics: Metrics of this instance.
    """

    def __init__(
        self,
        settings: ControlSettings,
        read_table: TableReader,
        clock: Clock,
        stack: AsyncExitStack,
        on_failure: Callable[[], None],
    ) -> None:
        super().__init__("run control instance", clock, stack, on_failure)
        self.feed: FeedServer | None = None
        self.load: LoadServer | None = None
        self.metrics = ControlMetrics()
        self._settings = settings
        self._tables = ApplicableTables(read_table)
        self._channel: Channel | None = None
        self._supervisor: MemberSupervisor | None = None
        self._table: RoutingTable | None = None
        self._unpublished: StoredRevision | None = None
        self._has_published = asyncio.Event()
        self._deriving = asyncio.Lock()
        self._freeze_detector: FreezeDetector | None = None
        self._reports: ReportServer | None = None

    @property
    def table(self) -> RoutingTable | None:
        """Return the newest routing table of this instance."""
        return self._table

    async def open(self) -> None:
        """Open the bus, and start what the first table needs.

        Raises:
            TransportError: A port can't be bound.
        """
        settings = self._settings
        bus = self._make_bus(settings.name)
        self._channel = Channel(bus)
        self._stack.push_async_callback(self._tasks.close)
        self._supervisor = MemberSupervisor(
            settings, self._channel, self._clock, self._on_commit, self._fail
        )
        self.feed = FeedServer(
            self._channel,
            self._clock,
            random.SystemRandom().getrandbits(_EPOCH_BITS) or 1,
            settings.announcement_interval_s,
            self._get_other_control_names,
        )
        store = DiskStartStore(settings.data_folder)
        persistence = StartPersistence(self.feed.registry, store, self._clock)
        persistence.restore()
        await bus.open(endpoint_of_address(settings.listen))
        self._tasks.spawn(self._supervisor.run())
        self._tasks.spawn_loop(self.feed.run, self._clock)
        self._tasks.spawn_loop(persistence.run, self._clock)
        _log.info("started", name=settings.name, seeds=",".join(settings.seeds))

    async def wait_for_first_table(self) -> None:
        """Wait until the first table is published, for a bounded time.

        What is started after it would delay it. Without a quorum there is no table,
        and announcements have to be processed all the same.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(FIRST_TABLE_WAIT_S):
                await self._has_published.wait()
                await self._clock.sleep(FEED_PUSH_S)

    def start_freeze_detector(self) -> None:
        """Detect freezes from now on; to be called before orders are submitted."""
        from .coordination.freezedetector import FreezeDetector

        self._freeze_detector = FreezeDetector(self._clock, ORDER_FREEZE_S)
        self._tasks.spawn_loop(self._freeze_detector.run, self._clock)

    def start_cold_permits(self) -> None:
        """Grant new flows at cold upstreams from now on."""
        from .coordination.dissemination.coldpermitserver import ColdPermitServer

        ColdPermitServer(
            self._channel,
            self._clock,
            self.feed.registry,
            lambda: self._table,
            self._get_other_control_names,
        )

    def start_report_server(self) -> None:
        """Answer which upstreams haven't reported since their data centre came back."""
        from .coordination.dissemination.reportserver import ReportServer

        self._reports = ReportServer(
            self._channel, self._clock, self.feed.registry, self._table
        )

    def start_load_server(self) -> None:
        """Answer load reports, unless the modules for it can't be loaded."""
        try:
            from .coordination.dissemination.loadserver import LoadServer
        except (ImportError, SyntaxError) as error:
            _log.error("part_unavailable", part="load reports", reason=repr(error))
            return
        self.load = LoadServer(
            self._channel,
            self._clock,
            self.feed.registry,
            self._get_other_control_names,
        )
        self._tasks.spawn_loop(self.load.run, self._clock)

    async def stop(self) -> None:
        """Hand over the leadership and the vote, so that no order waits for them."""
        await self._supervisor.leave()

    async def submit(
        self, order: Order, is_connected: Callable[[], bool] = lambda: True
    ) -> int:
        """Submit an order that was just read; see ``OrderProcessor.submit``.

        Args:
            order: The order.
            is_connected: Returns whether its sender hasn't closed the connection.

        Raises:
            StorageError: The disk is unusable at the moment.
        """
        started_s = self._clock.monotonic_s()
        sender = OrderSender(
            arrived_s=self._freeze_detector.earliest_arrival_s(),
            is_connected=is_connected,
        )
        try:
            revision = await self._supervisor.order_processor.submit(order, sender)
        except ArbutusliftError as error:
            self.metrics.orders[type(error).__name__] += 1
            raise
        self.metrics.orders["acknowledged"] += 1
        self.metrics.order_duration_s.observe(self._clock.monotonic_s() - started_s)
        return revision

    async def current(self) -> AgreedState:
        """Return the agreed state; see ``OrderProcessor.current``.

        Raises:
            StorageError: The disk is unusable at the moment.
        """
        return await self._supervisor.order_processor.current()

    def earliest_arrival_s(self) -> float:
        """Return since when what is read now may have waited in its socket.

        The time is that of ``Clock.monotonic_s``.
        """
        now_s = self._clock.monotonic_s()
        if self._freeze_detector is None:
            return now_s
        arrived_s = self._freeze_detector.earliest_arrival_s()
        return now_s - (self._clock.boottime_s() - arrived_s)

    def announce(self, start: UpstreamStart, opened_s: float) -> bool:
        """Process the announcement of an upstream.

        Args:
            start: The announced start.
            opened_s: Since when the connection that it came on is open, at the
                earliest, on the monotonic clock.

        Returns:
            Whether the connection should be closed, so that the next announcement shows
            when it was sent.

        Raises:
            AnnouncementError: The configuration in effect has no such service, or the
                start is in the future. A record of the announcement could displace the
                upstream that uses its address.
        """
        try:
            check_service(start, self._table)
            check_birth(start.upstream_id, start.born_ms, self._clock.wall_s())
        except AnnouncementError:
            self.metrics.announcements["refused"] += 1
            raise
        self.metrics.announcements["accepted"] += 1
        self.feed.registry.announce(start, sent_after_s=opened_s)
        reports = self._reports
        return reports is not None and reports.needs_new_connection(start, opened_s)

    def leave(self, departure: Departure) -> bool:
        """Process the deregistration of an upstream; see ``StartRegistry.leave``.

        Raises:
            AnnouncementError: It speaks of a start in the future.
        """
        now_s = self._clock.wall_s()
        check_birth(departure.upstream_id, departure.born_ms or 0, now_s)
        is_gone = self.feed.registry.leave(departure)
        self.metrics.announcements["left" if is_gone else "refused"] += 1
        return is_gone

    def families(self) -> "list[MetricFamily]":
        """Return all metric families with their current values."""
        families = self.metrics.families(
            self.feed,
            self._table,
            self._tables.unusable_version,
            self._refusals(self._channel),
        )
        if self.load is not None:
            # Imported on the first request, as by entry instances.
            from .loadmetrics import control_load_families

            families += control_load_families(self.load.registry)
        return families

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Use the seeds of changed settings."""
        self._supervisor.set_seeds(seeds)

    def _get_other_control_names(self) -> tuple[str, ...]:
        return self._supervisor.other_control_names

    def _known_revisions(self) -> list[StoredRevision]:
        return self._supervisor.history() if self._supervisor is not None else []

    async def _table_of(self, stored: StoredRevision) -> RoutingTable | None:
        """Return the table of a revision, a large one derived beside the event loop."""
        if len(stored.submission.document) <= DERIVE_IN_THREAD_BYTES:
            return self._tables.table_of(stored, self._known_revisions)
        async with self._deriving:
            known = self._known_revisions()
            return await asyncio.to_thread(self._tables.table_of, stored, lambda: known)

    def _on_commit(self, stored: StoredRevision) -> None:
        """Publish only the newest of the revisions that are committed together.

        After a restart up to 256 revisions are committed together, and building the
        routing table of each takes time in proportion to its configuration.
        """
        if self._unpublished is None:
            self._tasks.spawn_contained(self._publish())
        self._unpublished = stored

    async def _publish(self) -> None:
        stored, self._unpublished = self._unpublished, None
        table = await self._table_of(stored)
        if table is None:
            return
        if self._table is not None and table.revision <= self._table.revision:
            return
        self._table = table
        if self._reports is not None:
            self._reports.publish(table, self._known_revisions)
        self.feed.publish(table)
        self._has_published.set()
        _log.info(
            "configuration_in_effect",
            revision=table.revision,
            version=table.version,
            routes=len(table.routes),
            out_of_service=",".join(sorted(table.out_of_service)),
        )
