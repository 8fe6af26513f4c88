"""Active health checks: TCP connections to suspected upstreams."""

import asyncio
import errno
from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import Enum

import structlog

from ...clock import Clock
from .outlierdetector import OutlierDetector
from .retransmissiontimeout import RetransmissionTimeout
from .trackedstart import TrackedStart

# Attempts without an answer may be due to packet loss. A refusal is certain and needs
# no second attempt.
SILENT_ATTEMPTS_UNTIL_LOST = 3
# A time-out that fires later than this means that this process didn't run, and an
# answer may have waited for it.
MAX_LATENESS_S = 0.03
# Errors of this machine, which say nothing about the upstream.
_LOCAL_ERRORS = frozenset(
    {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
    }
)
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
    INCONCLUSIVE = "inconclusive"


# Results that show that packets get through, in both directions.
_HEARD = frozenset({ConnectResult.ACCEPTED, ConnectResult.REFUSED})


class Connector(ABC):
    """Attempts connections."""

    @abstractmethod
    async def connect(
        self, address: tuple[str, int], timeout_s: float
    ) -> ConnectResult:
        """Attempt a connection and close it at once.

        Args:
            address: Address and port of the upstream.
            timeout_s: Time after which a missing answer counts as silence.
        """


class TcpConnector(Connector):
    """Attempts TCP connections.

    Args:
        max_lateness_s: How late a time-out may fire and still mean silence.
    """

    def __init__(self, max_lateness_s: float = MAX_LATENESS_S) -> None:
        self._max_lateness_s = max_lateness_s

    async def connect(
        self, address: tuple[str, int], timeout_s: float
    ) -> ConnectResult:
        """Attempt a connection and close it at once."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        try:
            async with asyncio.timeout_at(end_s):
                _, writer = await asyncio.open_connection(*address)
        except ConnectionRefusedError:
            return ConnectResult.REFUSED
        except TimeoutError:
            is_late = loop.time() - end_s > self._max_lateness_s
            return ConnectResult.INCONCLUSIVE if is_late else ConnectResult.SILENT
        except OSError as error:
            if error.errno in _LOCAL_ERRORS:
                _log.warning("connect_failed", peer=address[0], reason=str(error))
                return ConnectResult.INCONCLUSIVE
            # Without a route, no flow from here to the upstream can continue.
            return ConnectResult.SILENT
        writer.close()
        return ConnectResult.ACCEPTED


class HealthChecker:
    """Marks suspected upstreams as lost while no connection can be made.

    Flows without answers don't distinguish a dead upstream from a slow one, and flows
    may be reset only if their upstream can't be reached. Silence doesn't distinguish a
    dead upstream from a link or processor of this instance that is too busy. It counts
    only if another upstream answers this instance at the same time.

    Args:
        clock: Source of time.
        outlier_detector: Records losses and recoveries.
        connector: Attempts connections.
        spawn: Runs a coroutine as a task.
        on_lost: Called with each upstream that becomes lost.
        references: Returns other upstreams that should answer.
        on_answer: Called with each upstream that accepts or refuses a connection.
        on_silence: Called with each upstream that becomes lost by silence.
        is_urgent: Whether a lost upstream is checked again without a longer delay.
    """

    def __init__(
        self,
        clock: Clock,
        outlier_detector: OutlierDetector,
        connector: Connector,
        spawn: Callable[..., object],
        on_lost: Callable[[TrackedStart], None] = lambda tracked: None,
        references: Callable[[TrackedStart], list[TrackedStart]] = lambda tracked: [],
        on_answer: Callable[[TrackedStart], None] = lambda tracked: None,
        on_silence: Callable[[TrackedStart], None] = lambda tracked: None,
        is_urgent: Callable[[TrackedStart], bool] = lambda tracked: False,
    ) -> None:
        self._clock = clock
        self._outlier_detector = outlier_detector
        self._connector = connector
        self._spawn = spawn
        self._on_lost = on_lost
        self._references = references
        self._on_answer = on_answer
        self._on_silence = on_silence
        self._is_urgent = is_urgent
        self._timeout = RetransmissionTimeout()
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
        retry_s = INITIAL_RETRY_S
        try:
            while not tracked.is_gone:
                result = await self._judge(tracked)
                if result is ConnectResult.ACCEPTED:
                    break
                if result is ConnectResult.SILENT and not tracked.is_lost:
                    self._set_lost(tracked, True)
                    self._on_silence(tracked)
                if result is ConnectResult.REFUSED:
                    self._set_lost(tracked, True)
                await self._clock.sleep(retry_s)
                longest_s = INITIAL_RETRY_S if self._is_urgent(tracked) else MAX_RETRY_S
                retry_s = min(2 * retry_s, longest_s)
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

    async def _judge(self, tracked: TrackedStart) -> ConnectResult:
        """Return the result of as many attempts as are needed to believe it.

        The last attempt is made beside ones to references. If none of them is answered
        either, the silence is that of this instance and the result is inconclusive.
        """
        if tracked.is_lost:
            return await self._attempt(tracked)
        for _ in range(SILENT_ATTEMPTS_UNTIL_LOST - 1):
            result = await self._attempt(tracked)
            if result is not ConnectResult.SILENT:
                return result
        references = self._references(tracked)
        result, *others = await asyncio.gather(
            self._attempt(tracked), *map(self._attempt, references)
        )
        is_heard = not others or not _HEARD.isdisjoint(others)
        if result is ConnectResult.SILENT and not is_heard:
            _log.info(
                "own_path_silent",
                upstream=tracked.start.upstream_id,
                reference=references[0].start.upstream_id,
            )
            return ConnectResult.INCONCLUSIVE
        return result

    async def _attempt(self, tracked: TrackedStart) -> ConnectResult:
        began_s = self._clock.monotonic_s()
        address = tracked.start.address
        result = await self._connector.connect(address, self._timeout.timeout_s)
        if result is ConnectResult.ACCEPTED:
            self._timeout.observe(self._clock.monotonic_s() - began_s)
        if result in _HEARD:
            self._on_answer(tracked)
        return result

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
