"""Control side of load reports: answers instances, updates other controls."""

from collections.abc import Callable
from functools import singledispatchmethod

import structlog

from ...clock import Clock
from ...errors import MessageError
from ...protocol.channel import Channel
from ...protocol.loads import (
    CompressedLoad,
    LoadReport,
    LoadTotals,
    compress,
    expand,
)
from ...protocol.messages import Message
from .loadquery import KnownLoad, LoadQueryServer
from .loadregistry import LoadRegistry
from .startregistry import StartRegistry

TOTALS_INTERVAL_S = 1.0

_log = structlog.get_logger()


class LoadServer:
    """Answers load reports, and sends totals to the other control instances.

    Nothing is sent while no instance reports.

    Args:
        channel: Connection to the peers; the handlers of load are set on it.
        clock: Source of time.
        starts: Starts of upstreams.
        controls: Returns the names of the other control instances.

    Attributes:
        registry: The reports and their sums.
    """

    def __init__(
        self,
        channel: Channel,
        clock: Clock,
        starts: StartRegistry,
        controls: Callable[[], tuple[str, ...]],
    ) -> None:
        self.registry = LoadRegistry(clock, starts)
        self._channel = channel
        self._clock = clock
        self._controls = controls
        self._is_receiving = False
        channel.register_handler(CompressedLoad, self._on_load)
        LoadQueryServer(channel, self._known_load, answers_pings=True)

    async def run(self) -> None:
        """Send totals every second until cancelled."""
        while True:
            await self._clock.sleep(TOTALS_INTERVAL_S)
            self._log_change()
            totals = self.registry.totals()
            if totals.services:
                message = compress(totals)
                for name in self._controls():
                    await self._channel.send(name, message)

    def _log_change(self) -> None:
        count = self.registry.instance_count
        if self._is_receiving != (count > 0):
            self._is_receiving = count > 0
            event = "load_reports_received" if count else "load_reports_ended"
            _log.info(event, instances=count)

    async def _on_load(self, peer: str, message: CompressedLoad) -> Message | None:
        return self._receive(expand(message), peer)

    @singledispatchmethod
    def _receive(self, message: Message, peer: str) -> Message | None:
        name = type(message).__name__
        raise MessageError(f"unexpected {name}", step="receive load", peer=peer)

    @_receive.register
    def _(self, message: LoadReport, peer: str) -> Message | None:
        return compress(self.registry.receive(peer, message))

    @_receive.register
    def _(self, message: LoadTotals, peer: str) -> Message | None:
        self.registry.receive_totals(peer, message, self._controls())
        return None

    def _known_load(self) -> KnownLoad:
        rows = self.registry.services()
        return KnownLoad(rows=rows, is_demand_known=bool(rows))
