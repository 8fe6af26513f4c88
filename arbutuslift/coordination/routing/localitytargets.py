"""Fractions of one service's new flows that would level the waits of data centres."""

from collections import deque
from collections.abc import Mapping

from attrs import evolve, frozen

from ...state.loadfigures import ServiceLoad
from .centreloads import CentreLoad, estimate_centre_loads
from .loadlevelling import displaced_shares, level_loads

# Weight of the newest figures. Those of a single interval vary with the number of
# requests in it; the mean of about two intervals varies less.
NEW_WEIGHT = 0.5
# A data centre without rows for longer isn't reckoned with any more.
MEMORY_S = 60.0
# Figures reach a control instance within 3 s and are valid in the view for 3 s.
MAX_ROW_AGE_S = 6.0
# Part of the room that is used by a row of that age. The demand of a data centre may
# have grown since, and what is sent there falls by steps only.
OLDEST_TRUST = 1 / 3
# Own loads that are kept, one for each summary; rows are at most 6 s old.
KEPT_LOADS = 16


@frozen
class _DatedLoad:
    """Own load at a time."""

    measured_s: float
    load: CentreLoad


class LocalityTargets:
    """Averages the loads of data centres and derives targets from them.

    Args:
        data_centre: Data centre of this instance.

    Attributes:
        centres: Averaged loads of the data centres with usable rows.
        age_s: Age of the oldest row among them.
    """

    def __init__(self, data_centre: str) -> None:
        self.centres: tuple[CentreLoad, ...] = ()
        self.age_s = 0.0
        self._data_centre = data_centre
        self._averages: dict[str, CentreLoad] = {}
        self._seen_s: dict[str, float] = {}
        self._own: deque[_DatedLoad] = deque(maxlen=KEPT_LOADS)

    @property
    def data_centres(self) -> tuple[str, ...]:
        """Return the other data centres that are known."""
        return tuple(n for n in sorted(self._seen_s) if n != self._data_centre)

    def learn(
        self,
        rows: Mapping[str, ServiceLoad],
        ages_s: Mapping[str, float],
        out_of_service: frozenset[str],
        now_s: float,
    ) -> None:
        """Take in the usable rows of a summary.

        Args:
            rows: Rows of the service by data centre.
            ages_s: Ages of the rows by data centre.
            out_of_service: Data centres that get no new flows.
            now_s: Present time.
        """
        loads = estimate_centre_loads(list(rows.values()), out_of_service)
        self.centres = tuple(
            evolve(self._average(load), trust=_trust(ages_s[load.data_centre]))
            for load in loads
        )
        self.age_s = max(ages_s.values(), default=0.0)
        for centre in self.centres:
            self._averages[centre.data_centre] = centre
            self._seen_s[centre.data_centre] = now_s
        for name, seen_s in list(self._seen_s.items()):
            if now_s - seen_s > MEMORY_S:
                del self._seen_s[name], self._averages[name]
        own = self.load_of(self._data_centre)
        if own is not None:
            measured_s = now_s - ages_s[self._data_centre]
            self._own.append(_DatedLoad(measured_s, own))

    def load_of(self, data_centre: str) -> CentreLoad | None:
        """Return the averaged load of a data centre, None without a usable row."""
        return next((c for c in self.centres if c.data_centre == data_centre), None)

    def shares(self) -> dict[str, float]:
        """Return how flows are divided if there is no local upstream."""
        others = [c for c in self.centres if c.data_centre != self._data_centre]
        return displaced_shares(others)

    def target(
        self,
        cost_s: float,
        max_wait_s: float,
        current: Mapping[str, float],
        now_s: float,
    ) -> dict[str, float]:
        """Return the fractions to aim at, by data centre.

        A fraction rises only by the loads that all data centres had at the time of the
        oldest row. By newer figures of the own one, two that become overloaded at the
        same time would send to each other, and several senders would fill the room of
        a data centre before they know of each other. It falls by the newest figures.

        Args:
            cost_s: What leaving costs, as a wait.
            max_wait_s: Longest wait to which a data centre is filled from others.
            current: Present fractions.
            now_s: Present time.
        """
        own = self.load_of(self._data_centre)
        if own is None:
            return {}
        newest = self._level(own, cost_s, max_wait_s)
        then = self._level(self._own_at(now_s - self.age_s), cost_s, max_wait_s)
        return {
            name: min(fraction, max(current.get(name, 0.0), then.get(name, 0.0)))
            for name, fraction in newest.items()
        }

    def _level(
        self, own: CentreLoad, cost_s: float, max_wait_s: float
    ) -> dict[str, float]:
        """Return the fractions that level the waits, with a load for the own one."""
        others = [c for c in self.centres if c.data_centre != self._data_centre]
        transfers = level_loads([own, *others], cost_s, max_wait_s)
        # A data centre without a usable row may send as well. It is taken for a sender
        # with the same excess.
        senders = 1 + len(self._seen_s.keys() - {c.data_centre for c in self.centres})
        return {
            transfer.destination: transfer.fraction / senders
            for transfer in transfers
            if transfer.origin == self._data_centre
        }

    def _own_at(self, time_s: float) -> CentreLoad:
        """Return the newest own load until a time, the oldest if there is none."""
        until = [dated.load for dated in self._own if dated.measured_s <= time_s]
        return until[-1] if until else self._own[0].load

    def _average(self, newest: CentreLoad) -> CentreLoad:
        """Return averaged rates and times; a change of slots counts at once.

        With queues, the time of a request isn't lowered. Quick rejections and rows of
        different ages make upstreams look quicker than they are.
        """
        known = self._averages.get(newest.data_centre)
        if known is None:
            return newest
        service_s = _moved(known.service_s, newest.service_s)
        if newest.is_queueing:
            service_s = max(known.service_s, service_s)
        slots = newest.capacity_per_s * newest.service_s
        return evolve(
            newest,
            rate_per_s=_moved(known.rate_per_s, newest.rate_per_s),
            capacity_per_s=slots / service_s,
            service_s=service_s,
        )


def _moved(known: float, newest: float) -> float:
    return known + NEW_WEIGHT * (newest - known)


def _trust(age_s: float) -> float:
    return 1 - (1 - OLDEST_TRUST) * age_s / MAX_ROW_AGE_S
