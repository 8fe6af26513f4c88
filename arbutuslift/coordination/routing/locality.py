"""How many new flows go to the upstreams of other data centres."""

import random
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import Protocol

import structlog
from attrs import define, field

from ...clock import Clock
from ...state.loadfigures import ServiceLoad
from .loadview import MAX_AGE_S
from .localityfractions import LocalityFractions
from .localitytargets import MAX_ROW_AGE_S, LocalityTargets
from .routedservices import RoutedService
from .trackedstart import TrackedStart

SUMMARY_INTERVAL_S = 1.0
# Summaries in a row without an eligible local upstream, after which the flows of the
# service count as displaced. In a single one, only callers whose last attempt failed
# may have opened flows.
DISPLACED_SUMMARIES = 2

_log = structlog.get_logger()


class LocalitySettings(Protocol):
    """The settings that locality uses; ``LoadSettings`` has them."""

    @property
    def remote_price_per_gb(self) -> float:
        """Return the price of traffic to another data centre."""


class LoadRows(Protocol):
    """The newest rows of all services and data centres; ``LoadView`` has them."""

    @property
    def age_s(self) -> float:
        """Return the time since the rows arrived."""

    def services(self) -> list[ServiceLoad]:
        """Return the rows."""


@define
class _ServiceState:
    """What is kept of one service.

    Attributes:
        targets: Loads of the data centres and what they lead to.
        fractions: Fractions of its new flows for other data centres.
        shares: How its flows are divided if there is no local upstream.
        has_local: Whether a local upstream was eligible since the last summary.
        has_displaced: Whether flows were displaced since the last summary.
        displaced_summaries: Summaries in a row in which all flows were displaced.
    """

    targets: LocalityTargets
    fractions: LocalityFractions = field(factory=LocalityFractions)
    shares: dict[str, float] = field(factory=dict)
    has_local: bool = False
    has_displaced: bool = False
    displaced_summaries: int = 0

    @property
    def is_displaced(self) -> bool:
        """Return whether no local upstream has been eligible for some time."""
        return self.displaced_summaries >= DISPLACED_SUMMARIES

    def count_summary(self) -> None:
        """Count a summary as one with or without eligible local upstreams."""
        if self.has_local:
            self.displaced_summaries = 0
        elif self.has_displaced:
            self.displaced_summaries += 1
        self.has_local = self.has_displaced = False


class LocalityWeights:
    """Decides the data centre of each new flow by the load of all of them.

    Args:
        clock: Source of time.
        data_centre: Data centre of this instance.
        settings: Settings of locality.

    Attributes:
        flows: New flows by destination: local, remote, or displaced because no local
            upstream was eligible.
    """

    def __init__(
        self, clock: Clock, data_centre: str, settings: LocalitySettings
    ) -> None:
        self.flows: Counter[str] = Counter(local=0, remote=0, displaced=0)
        self._clock = clock
        self._data_centre = data_centre
        self._price_per_gb = settings.remote_price_per_gb
        self._states: dict[str, _ServiceState] = {}
        self._next_decay_s = float("inf")

    def update(
        self,
        view: LoadRows,
        services: Iterable[RoutedService],
        out_of_service: frozenset[str] = frozenset(),
    ) -> None:
        """Change the fractions by the rows of a new summary; call it once for each.

        Args:
            view: View of the load that contains the summary.
            services: Services in the routing table in effect.
            out_of_service: Data centres that get no new flows.
        """
        now_s = self._clock.monotonic_s()
        self._next_decay_s = now_s + MAX_AGE_S + SUMMARY_INTERVAL_S
        rows: dict[str, dict[str, ServiceLoad]] = {}
        ages_s: dict[str, dict[str, float]] = {}
        for row in view.services():
            age_s = row.age_ms / 1000 + view.age_s
            if age_s <= MAX_ROW_AGE_S:
                rows.setdefault(row.service, {})[row.data_centre] = row
                ages_s.setdefault(row.service, {})[row.data_centre] = age_s
        routed = {service.name: service for service in services}
        self._states = {n: state for n, state in self._states.items() if n in routed}
        for name, service in routed.items():
            state = self._state(name)
            state.targets.learn(
                rows.get(name, {}), ages_s.get(name, {}), out_of_service, now_s
            )
            self._update_service(service, state, out_of_service)

    def choose(
        self,
        service: str,
        candidates_by_data_centre: Mapping[str, Sequence[TrackedStart]],
        rng: random.Random,
    ) -> str:
        """Return the data centre for a new flow.

        Args:
            service: Service of the flow.
            candidates_by_data_centre: Eligible upstreams, at least one, by data centre.
            rng: Draws the data centre by the fractions.
        """
        self._decay_if_overdue()
        state = self._state(service)
        shares = self.shares(service, candidates_by_data_centre)
        (chosen,) = rng.choices(list(shares), list(shares.values()))
        if self._data_centre not in candidates_by_data_centre:
            state.has_displaced = True
            self.flows["displaced"] += 1
            return chosen
        state.has_local = True
        self.flows["local" if chosen == self._data_centre else "remote"] += 1
        return chosen

    def shares(
        self,
        service: str,
        candidates_by_data_centre: Mapping[str, Sequence[TrackedStart]],
    ) -> dict[str, float]:
        """Return the probability of each data centre in :meth:`choose`."""
        state = self._state(service)
        if self._data_centre not in candidates_by_data_centre:
            return _shares_of_candidates(state.shares, candidates_by_data_centre)
        # What one data centre can't take now stays local. Another one would get more
        # than its room.
        remote = {
            name: fraction
            for name, fraction in state.fractions.by_data_centre.items()
            if name in candidates_by_data_centre
        }
        return {**remote, self._data_centre: max(0.0, 1 - sum(remote.values()))}

    def highest_fractions(self) -> dict[str, float]:
        """Return the highest fraction of any service for each other data centre."""
        highest: dict[str, float] = {}
        for state in self._states.values():
            fractions = state.fractions.by_data_centre
            for name in {*state.targets.data_centres, *fractions}:
                highest[name] = max(highest.get(name, 0.0), fractions.get(name, 0.0))
        return highest

    def _state(self, service: str) -> _ServiceState:
        state = self._states.get(service)
        if state is None:
            targets = LocalityTargets(self._data_centre)
            state = self._states[service] = _ServiceState(targets)
        return state

    def _update_service(
        self,
        service: RoutedService,
        state: _ServiceState,
        out_of_service: frozenset[str],
    ) -> None:
        before = dict(state.fractions.by_data_centre)
        state.fractions.remove(out_of_service)
        state.shares = state.targets.shares()
        state.count_summary()
        cost_s = service.leaving_cost_s(self._price_per_gb)
        if state.is_displaced:
            state.fractions.replace(state.shares)
        else:
            target = state.targets.target(
                cost_s,
                service.max_remote_wait_s,
                state.fractions.by_data_centre,
                self._clock.monotonic_s(),
            )
            state.fractions.step_towards(target)
        self._log_changes(service.name, before, state, cost_s)

    def _decay_if_overdue(self) -> None:
        """Let the fractions fall while no summary arrives."""
        while self._clock.monotonic_s() >= self._next_decay_s:
            self._next_decay_s += SUMMARY_INTERVAL_S
            if not any(state.fractions.total for state in self._states.values()):
                self._next_decay_s = float("inf")
            for name, state in self._states.items():
                before = dict(state.fractions.by_data_centre)
                state.fractions.step_towards({})
                self._log_changes(name, before, state)

    def _log_changes(
        self,
        service: str,
        before: Mapping[str, float],
        state: _ServiceState,
        cost_s: float | None = None,
    ) -> None:
        """Log each fraction that changed, with the figures that decided it.

        Args:
            service: Name of the service.
            before: Fractions before the change.
            state: State of the service.
            cost_s: What leaving costs; None if the fractions fall for want of figures.
        """
        after = state.fractions.by_data_centre
        own = state.targets.load_of(self._data_centre)
        for name in sorted({*before, *after}):
            previous, fraction = before.get(name, 0.0), after.get(name, 0.0)
            if previous == fraction:
                continue
            other = state.targets.load_of(name)
            _log.info(
                "locality_changed",
                service=service,
                data_centre=name,
                fraction=round(fraction, 3),
                previous=round(previous, 3),
                demand_per_s=round(own.rate_per_s, 1) if own else None,
                capacity_per_s=round(own.capacity_per_s, 1) if own else None,
                wait_ms=_milliseconds(own and own.wait_s),
                remote_demand_per_s=round(other.rate_per_s, 1) if other else None,
                remote_capacity_per_s=(
                    round(other.capacity_per_s, 1) if other else None
                ),
                cost_ms=_milliseconds(cost_s),
                is_displaced=state.is_displaced,
                is_view_usable=cost_s is not None,
                age_ms=_milliseconds(state.targets.age_s),
            )


def _shares_of_candidates(
    shares: Mapping[str, float],
    candidates_by_data_centre: Mapping[str, Sequence[TrackedStart]],
) -> dict[str, float]:
    """Return the shares of data centres with candidates, or else of their slots."""
    weights = {
        name: share
        for name, share in sorted(shares.items())
        if share > 0 and name in candidates_by_data_centre
    }
    if not weights:
        weights = {
            name: float(sum(max(1, c.start.slots) for c in candidates))
            for name, candidates in sorted(candidates_by_data_centre.items())
        }
    total = sum(weights.values())
    return {name: weight / total for name, weight in weights.items()}


def _milliseconds(duration_s: float | None) -> int | None:
    """Return whole milliseconds; None if the duration isn't known or has no bound."""
    if duration_s is None or duration_s == float("inf"):
        return None
    return round(1000 * duration_s)
