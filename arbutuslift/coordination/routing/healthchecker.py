"""Finds out whether a suspected upstream can be reached at all."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import Enum

import structlog

from ...clock import Clock
from .outlierdetector import OutlierDetector
from .trackedstart import TrackedStart

# Upstreams are at most a few ms away, and their system answers a connection at once.
CONNECT_TIMEOUT_S = 0.15
# An attempt may be lost on the way; a refusal can't be mistaken.
SILENT_ATTEMPTS_TO_LOSE = 2
# A lost upstream is probed again after this time, doubled each time up to the longest:
# one that never returns would take a tenth of a small instance's processor otherwise.
# The longest is well below the 4 s after a fault in which a reset is excused.
FIRST_REPEAT_S = 0.5
LONGEST_REPEAT_S = 2.0
# Time in which an upstream that was reached isn't probed again.
TRUSTED_S = 0.5
MAX_PROBES = 64

_log = structlog.get_logger()


class ConnectResult(Enum):
    """What became of an attempt to connect."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    SILENT = "silent"


class Connector(ABC):
    """Tries connections."""

    @abstractmethod
    async def connect(self, address: tuple[str, int]) -> ConnectResult:
        """Try a connection and close it at once."""


class TcpConnector(Connector):
    """Tries TCP connections."""

    async def connect(self, address: tuple[str, int]) -> ConnectResult:
        """Try a connection and close it at once."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(*address)
        except ConnectionRefusedError:
            return ConnectResult.REFUSED
        except (OSError, TimeoutError):
            # No route or no answer: no flow goes on there from here.
            return ConnectResult.SILENT
        writer.close()
        return ConnectResult.ACCEPTED


class HealthChecker:
    """Marks suspected upstreams as lost while no connection can be made.

    Flows without answers alone don't tell a dead upstream from a slow one. A flow may
    be reset only where it can't go on.

    Args:
        clock: Source of time.
        judge: Cleared of upstreams that are found alive.
        connector: Tries connections.
        start: Runs a task.
        on_lost: Called with an upstream when it is found lost.
    """

    def __init__(
        self,
        clock: Clock,
        judge: OutlierDetector,
        connector: Connector,
        start: Callable[..., object],
        on_lost: Callable[[TrackedStart], None] = lambda known: None,
    ) -> None:
        self._clock = clock
        self._outlier_detector = judge
        self._connector = connector
        self._start = start
        self._on_lost = on_lost
        self._probed: set[tuple[str, int]] = set()
        self._reached_s: dict[tuple[str, int], float] = {}

    def check(self, known: TrackedStart) -> None:
        """Probe an upstream until it is reached or gone."""
        key = known.start.key
        trusted_s = self._reached_s.get(key, float("-inf")) + TRUSTED_S
        if key in self._probed or self._clock.monotonic_s() < trusted_s:
            return
        if known.is_gone or len(self._probed) >= MAX_PROBES:
            return
        self._probed.add(key)
        _log.info("upstream_suspected", upstream=known.start.upstream_id)
        self._start(self._probe(known))

    async def _probe(self, known: TrackedStart) -> None:
        silent = 0
        repeat_s = FIRST_REPEAT_S
        try:
            while not known.is_gone:
                attempt = await self._connector.connect(known.start.address)
                if attempt is ConnectResult.ACCEPTED:
                    break
                silent += 1
                is_certain = attempt is ConnectResult.REFUSED
                if is_certain or silent >= SILENT_ATTEMPTS_TO_LOSE:
                    self._set_lost(known, True)
                    await self._clock.sleep(repeat_s)
                    repeat_s = min(2 * repeat_s, LONGEST_REPEAT_S)
        finally:
            self._probed.discard(known.start.key)
        if known.is_gone:
            self._outlier_detector.remove(known.start.key)
            self._reached_s.pop(known.start.key, None)
            return
        self._reached_s[known.start.key] = self._clock.monotonic_s()
        if known.is_lost:
            self._set_lost(known, False)
        self._outlier_detector.clear_failures(known.start.key)

    def _set_lost(self, known: TrackedStart, is_lost: bool) -> None:
        if known.is_lost == is_lost:
            return
        known.is_lost = is_lost
        if is_lost:
            self._on_lost(known)
        note = (
            self._outlier_detector.record_loss
            if is_lost
            else self._outlier_detector.record_recovery
        )
        note(known.start.key)
        _log.info(
            "upstream_lost" if is_lost else "upstream_reached_again",
            upstream=known.start.upstream_id,
            flows=known.flow_count,
        )
