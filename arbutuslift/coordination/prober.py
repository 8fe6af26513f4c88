"""Finds out whether a suspected upstream can be reached at all."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable

import structlog

from ..clock import Clock
from .judge import Judge
from .upstreamdirectory import KnownStart

# Upstreams are at most a few ms away, and their system answers a connection at once.
CONNECT_TIMEOUT_S = 0.15
# One attempt may be lost on the way.
ATTEMPTS_TO_LOSE = 2
REPEAT_S = 0.5
MAX_PROBES = 64

_log = structlog.get_logger()


class Connector(ABC):
    """Tries connections."""

    @abstractmethod
    async def can_connect(self, address: tuple[str, int]) -> bool:
        """Return whether a connection is accepted in time."""


class TcpConnector(Connector):
    """Tries TCP connections and closes them at once."""

    async def can_connect(self, address: tuple[str, int]) -> bool:
        """Return whether a connection is accepted in time."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(*address)
        except (OSError, TimeoutError):
            # Refused or silent: either way no flow goes on there from here.
            return False
        writer.close()
        return True


class Prober:
    """Marks suspected upstreams as lost while no connection can be made.

    Flows without answers alone don't tell a dead upstream from a slow one. A flow may
    be reset only where it can't go on.

    Args:
        clock: Source of time.
        judge: Cleared of upstreams that are found alive.
        connector: Tries connections.
        start: Runs a task.
    """

    def __init__(
        self,
        clock: Clock,
        judge: Judge,
        connector: Connector,
        start: Callable[..., object],
    ) -> None:
        self._clock = clock
        self._judge = judge
        self._connector = connector
        self._start = start
        self._probed: set[tuple[str, int]] = set()

    def suspect(self, known: KnownStart) -> None:
        """Probe an upstream until it is reached or gone."""
        key = known.start.key
        if key in self._probed or len(self._probed) >= MAX_PROBES:
            return
        self._probed.add(key)
        _log.info("upstream_suspected", upstream=known.start.upstream_id)
        self._start(self._probe(known))

    async def _probe(self, known: KnownStart) -> None:
        failures = 0
        try:
            while not known.is_gone:
                if await self._connector.can_connect(known.start.address):
                    break
                failures += 1
                if failures == ATTEMPTS_TO_LOSE:
                    self._set_lost(known, True)
                if failures >= ATTEMPTS_TO_LOSE:
                    await self._clock.sleep(REPEAT_S)
        finally:
            self._probed.discard(known.start.key)
        if known.is_gone:
            self._judge.forget(known.start.key)
            return
        if known.is_lost:
            self._set_lost(known, False)
        self._judge.clear(known.start.key)

    def _set_lost(self, known: KnownStart, is_lost: bool) -> None:
        known.is_lost = is_lost
        note = self._judge.lost if is_lost else self._judge.returned
        note(known.start.key)
        _log.info(
            "upstream_lost" if is_lost else "upstream_reached_again",
            upstream=known.start.upstream_id,
            flows=known.flow_count,
        )
