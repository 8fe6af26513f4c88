"""Loads the times of routes, which routing tables of the feed don't hold."""

from collections.abc import Callable

import structlog

from .clock import Clock
from .coordination.dissemination.feedclient import FeedClient
from .coordination.routing.flowtagrouter import FlowTagRouter
from .errors import StorageError
from .protocol.feed import RouteTimes
from .state.routingtable import RoutingTable, with_route_times

# Interval of requests for route times. A control instance of an earlier version doesn't
# answer them, but does once it is upgraded.
ROUTE_TIMES_RETRY_S = 5.0

_log = structlog.get_logger()


class RouteTimesLoader:
    """Asks control instances for the times of the routes in effect.

    Args:
        clock: Source of time.
        feed: Reaches the control instances.
        router: Has the routing table in effect.
        on_table: Called with the table that has the times.
    """

    def __init__(
        self,
        clock: Clock,
        feed: FeedClient,
        router: FlowTagRouter,
        on_table: Callable[[RoutingTable], None],
    ) -> None:
        self._clock = clock
        self._feed = feed
        self._router = router
        self._on_table = on_table

    async def load(self, source: str, revision: int) -> None:
        """Add the times of the routes, until another table is in effect.

        Args:
            source: Control instance that sent the table.
            revision: Revision of the table.
        """
        name, others = source, []
        while self._router.table.revision == revision:
            answer = await self._feed.request_route_times(name)
            if answer is not None and self._use(name, answer):
                return
            await self._clock.sleep(ROUTE_TIMES_RETRY_S)
            others = others or self._feed.subscribed_names
            name = others.pop(0) if others else source

    def _use(self, source: str, answer: RouteTimes) -> bool:
        """Put the times in an answer in effect; return whether they fit the table."""
        if answer.revision != self._router.table.revision:
            return False
        try:
            table = with_route_times(self._router.table, answer.times)
        except StorageError as error:
            _log.warning("route_times_refused", peer=source, reason=str(error))
            return False
        self._router.replace(table)
        self._on_table(table)
        return True
