"""Active health checks: TCP connections to suspected upstreams."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import Enum

import structlog

from ...clock import Clock
from .outlierdetector import OutlierDetector
from .trackedstart import TrackedStart

# The round trip to an upstream takes a few ms at most, and its operating system accepts
# a connection at once.
CONNECT_TIMEOUT_S = 0.15
# A single attempt without an answer may be due to packet loss. A refusal is certain and
# needs no second attempt.
SILENT_ATTEMPTS_UNTIL_LOST = 2
# Delay before the next attempt at a lost upstream, doubled each time up to the maximum.
# Without the back-off, an upstream that never returns would take a tenth of a small
# instance's processor. The maximum is well below the 4 s after a fault during which
# resets are permitted.
INITIAL_RETRY_S = 0.5
MAX_RETRY_S = 2.0
# An upstream that was reached isn't checked again within this time.
RECHECK_DELAY_S = 0.5
MAX_CONCURRENT_CHECKS = 64

_log = structlog.get_logger()


class ConnectResult(Enum):
    """Result of an attempt to connect."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    SILENT = "silent"


class Connector(ABC):
    """Attempts connections."""

    @abstractmethod
    async def connect(self, address: tuple[str, int]) -> ConnectResult:
        """Attempt a connection and close it at once."""


class TcpConnector(Connector):
    """Attempts TCP connections."""

    async def connect(self, address: tuple[str, int]) -> ConnectResult:
        """Attempt a connection and close it at once."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(*address)
        except ConnectionRefusedError:
            return ConnectResult.REFUSED
        except (OSError, TimeoutError):
            # Without a route or an answer, no flow from here to the upstream can
            # continue.
            return ConnectResult.SILENT
        writer.close()
        return ConnectResult.ACCEPTED


class HealthChecker:
    """Marks suspected upstreams as lost while no connection can be made.

    Flows without answers don't distinguish a dead upstream from a slow one, and flows
    may be reset only if their upstream can't be reached.

    Args:
        clock: Source of time.
        outlier_detector: Records losses and recoveries.
        connector: Attempts connections.
        spawn: Runs a coroutine as a task.
        on_lost: Called with each upstream that becomes lost.
    """

    def __init__(
        self,
        clock: Clock,
        outlier_detector: OutlierDetector,
        connector: Connector,
        spawn: Callable[..., object],
        on_lost: Callable[[TrackedStart], None] = lambda tracked: None,
    ) -> None:
        self._clock = clock
        self._outlier_detector = outlier_detector
        self._connector = connector
        self._spawn = spawn
        self._on_lost = on_lost
        self._running: set[tuple[str, int]] = set()
        self._reached_s: dict[tuple[str, int], float] = {}

    def check(self, tracked: TrackedStart) -> None:
        """Check an upstream until it is reached or gone, unless a check is running."""
        key = tracked.start.key
        next_check_s = self._reached_s.get(key, float("-inf")) + RECHECK_DELAY_S
        if key in self._running or self._clock.monotonic_s() < next_check_s:
            return
        if tracked.is_gone or len(self._running) >= MAX_CONCURRENT_CHECKS:
            return
        self._running.add(key)
        _log.info("upstream_suspected", upstream=tracked.start.upstream_id)
        self._spawn(self._check_until_reachable(tracked))

    async def _check_until_reachable(self, tracked: TrackedStart) -> None:
        failed_attempts = 0
        retry_s = INITIAL_RETRY_S
        try:
            while not tracked.is_gone:
                attempt = await self._connector.connect(tracked.start.address)
                if attempt is ConnectResult.ACCEPTED:
                    break
                failed_attempts += 1
                is_certain = attempt is ConnectResult.REFUSED
                if is_certain or failed_attempts >= SILENT_ATTEMPTS_UNTIL_LOST:
                    self._set_lost(tracked, True)
                    await self._clock.sleep(retry_s)
                    retry_s = min(2 * retry_s, MAX_RETRY_S)
        finally:
            self._running.discard(tracked.start.key)
        if tracked.is_gone:
            self._outlier_detector.remove(tracked.start.key)
            self._reached_s.pop(tracked.start.key, None)
            return
        self._reached_s[tracked.start.key] = self._clock.monotonic_s()
        if tracked.is_lost:
            self._set_lost(tracked, False)
        self._outlier_detector.clear_failures(tracked.start.key)

    def _set_lost(self, tracked: TrackedStart, is_lost: bool) -> None:
        if tracked.is_lost == is_lost:
            return
        tracked.is_lost = is_lost
        if is_lost:
            self._on_lost(tracked)
        record = (
            self._outlier_detector.record_loss
            if is_lost
            else self._outlier_detector.record_recovery
        )
        record(tracked.start.key)
        _log.info(
            "upstream_lost" if is_lost else "upstream_reached_again",
            upstream=tracked.start.upstream_id,
            flows=tracked.flow_count,
        )
