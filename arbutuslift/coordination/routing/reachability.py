"""What an entry instance can reach: starts of upstreams and whole data centres.

After a cut between data centres an instance would find out about each upstream behind
it separately, one failed flow after the other. Several starts of a data centre that
are lost one after another, with no answer from any other in between, mean that the data
centre as a whole can't be reached from here.
"""

from collections.abc import Callable, Iterable

import structlog

from ...state.routingtable import RoutingTable
from ...state.starts import StartKey
from .trackedstart import TrackedStart
from .upstreamdirectory import UpstreamDirectory

# Starts lost since the last answer from their data centre.
LOST_UNTIL_UNREACHABLE = 4
# Other starts of a data centre that are checked after each loss there. One that answers
# shows that the data centre can be reached.
PROBED_PER_LOSS = 3

_log = structlog.get_logger()


class Reachability:
    """Tracks losses and answers by data centre.

    Args:
        directory: Upstreams of this instance's view.
        data_centre: Data centre of this instance.
        probe: Starts a health check of a start that nothing is known against.

    Attributes:
        unreachable: Data centres that can't be reached from here.
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        data_centre: str,
        probe: Callable[[TrackedStart], None],
    ) -> None:
        self.unreachable: set[str] = set()
        self._directory = directory
        self._data_centre = data_centre
        self._probe = probe
        self._lost: dict[str, set[StartKey]] = {}
        self._can_serve = True

    def can_reach(self, tracked: TrackedStart) -> bool:
        """Return whether a new flow may get an answer from a start."""
        return not tracked.is_lost and not self.is_beyond_reach(tracked)

    def is_beyond_reach(self, tracked: TrackedStart) -> bool:
        """Return whether the data centre of a start can't be reached."""
        return tracked.start.data_centre in self.unreachable

    def record_answer(self, tracked: TrackedStart) -> None:
        """Record an answer, to a request or to a health check."""
        data_centre = tracked.start.data_centre
        if self._lost.pop(data_centre, None) and data_centre in self.unreachable:
            self.unreachable.discard(data_centre)
            _log.info("data_centre_reached_again", data_centre=data_centre)

    def record_silence(self, tracked: TrackedStart) -> None:
        """Record that a start became lost by silence.

        One that refuses connections has ended, but its machine can be reached.
        """
        data_centre = tracked.start.data_centre
        lost = self._lost.setdefault(data_centre, set())
        lost.add(tracked.start.key)
        if data_centre in self.unreachable:
            return
        others = self._not_lost_in(data_centre)
        if len(lost) >= LOST_UNTIL_UNREACHABLE or not others:
            self.unreachable.add(data_centre)
            _log.warning(
                "data_centre_unreachable", data_centre=data_centre, lost=len(lost)
            )
        for other in others[:PROBED_PER_LOSS]:
            self._probe(other)

    def probe_unreachable(self) -> None:
        """Check starts in unreachable data centres that nothing is known against.

        The checks of the lost ones end when these are gone. Their successors, under new
        identities, get no flow that could show that they answer.
        """
        for data_centre in self.unreachable:
            for tracked in self._not_lost_in(data_centre)[:PROBED_PER_LOSS]:
                self._probe(tracked)

    def _not_lost_in(self, data_centre: str) -> list[TrackedStart]:
        starts = self._directory.of_data_centre(data_centre)
        return [tracked for tracked in starts if not tracked.is_lost]

    def references(self, tracked: TrackedStart) -> list[TrackedStart]:
        """Return starts whose answer shows that a silence isn't this instance's own.

        They are the one that answered last, and one of the own data centre, which can
        still be reached when all others are cut off.
        """
        last = self._directory.last_to_answer(tracked)
        local = self._directory.last_to_answer(tracked, self._data_centre)
        if local is None:
            local = self._any_local(tracked)
        found = {item.start.key: item for item in (last, local) if item is not None}
        return list(found.values())

    def can_serve(self, table: RoutingTable) -> bool:
        """Return whether callers are served here as well as anywhere.

        They aren't if no usable start can be reached from here while there are some
        behind a cut. Where all have ended, instances elsewhere can't serve either, and
        here callers are at least rejected at once.
        """
        usable = list(self._usable(table))
        is_any_hidden = any(map(self.is_beyond_reach, usable))
        can_serve = not is_any_hidden or any(map(self.can_reach, usable))
        if can_serve != self._can_serve:
            self._can_serve = can_serve
            event = "instance_returns" if can_serve else "instance_withdraws"
            _log.warning(event, unreachable=",".join(sorted(self.unreachable)))
        return can_serve

    def _usable(self, table: RoutingTable) -> Iterable[TrackedStart]:
        for service in table.services:
            for tracked in self._directory.of_service(service.name):
                if tracked.may_get_new_flows(table):
                    yield tracked

    def _any_local(self, tracked: TrackedStart) -> TrackedStart | None:
        local = self._directory.of_data_centre(self._data_centre)
        others = (item for item in local if item is not tracked and not item.is_lost)
        return next(others, None)
