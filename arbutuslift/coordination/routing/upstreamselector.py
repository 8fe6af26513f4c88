"""Selection of the upstream of a new flow."""

import random
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from ...clock import Clock
from ...state.routingtable import Route, RoutingTable, ServiceLimits
from ...state.starts import StartKey, UpstreamStart
from .coldadmission import ColdAdmission, EvenColdShares
from .outlierdetector import OutlierDetector
from .restoredstarts import may_receive_new_flows
from .trackedstart import TrackedStart
from .upstreamdirectory import UpstreamDirectory

if TYPE_CHECKING:
    # An entry process loads these only if settings ask for them.
    from .locality import LocalityWeights
    from .sharedloadchoice import SharedLoadChoice

# Flows to another data centre break when the connection between the two fails, and
# their traffic costs more. While the own data centre has healthy upstreams, they are
# opened only if these answer later than the remote ones by more than this; a request
# may take about 100 ms.
REMOTE_THRESHOLD_S = 0.04
# An upstream counts as slow if its response time exceeds the median by this factor.
# Smaller factors are within the ordinary variation between requests.
SLOW_FACTOR = 2.0


IsDoubtful = Callable[[UpstreamStart, ServiceLimits], bool]


class UpstreamSelector:
    """Prefers healthy, warm upstreams of the own data centre that have few flows.

    Args:
        clock: Source of time.
        directory: Upstreams of this instance's view.
        outlier_detector: Excludes upstreams that stop answering.
        data_centre: Data centre of this instance.
        rng: Draws services by weight and breaks ties between upstreams.

    Attributes:
        shared_choice: Chooses among upstreams while the load of all instances is known;
            without it the flows of this instance decide.
        cold_admission: Decides about new flows at cold upstreams with a limit.
        entry_count: Entry instances that share the limit of a cold upstream.
        is_doubtful: Whether an upstream may be in a cold start that it hasn't reported
            yet. One whose service has a limit is then treated as a cold one.
        can_reach: Whether an upstream may answer at all. One that can't isn't even a
            last resort: the caller would wait until its time-out for nothing.
        locality: Decides the data centre of a new flow by the load of all of them;
            without it the response times at this instance decide.
    """

    def __init__(
        self,
        clock: Clock,
        directory: UpstreamDirectory,
        outlier_detector: OutlierDetector,
        data_centre: str,
        rng: random.Random,
        shared_choice: "SharedLoadChoice | None" = None,
    ) -> None:
        self.entry_count = 1
        self.is_doubtful: IsDoubtful = lambda start, limits: False
        self.can_reach: Callable[[TrackedStart], bool] = lambda tracked: True
        self.shared_choice = shared_choice
        self.locality: LocalityWeights | None = None
        self._clock = clock
        self._directory = directory
        self._outlier_detector = outlier_detector
        self._data_centre = data_centre
        self._rng = rng
        self.cold_admission: ColdAdmission = EvenColdShares(clock, rng)

    def select(
        self,
        route: Route,
        table: RoutingTable,
        excluded: frozenset[StartKey] = frozenset(),
    ) -> TrackedStart | None:
        """Return the upstream for a new flow, None if no upstream is eligible.

        Args:
            route: Route of the flow.
            table: Routing table in effect.
            excluded: Keys of starts at which the caller recently failed to open a
                flow.
        """
        for service in self._services_in_order(route):
            selected = self._select_from_service(service, table, excluded)
            if selected is not None:
                self._outlier_detector.record_selection(selected.start.key)
                return selected
        return None

    def select_other(
        self, route: Route, table: RoutingTable, key: StartKey
    ) -> TrackedStart | None:
        """Return a healthy upstream other than one, None without another one."""
        selected = self.select(route, table, frozenset({key}))
        if selected is None or selected.start.key == key:
            return None
        return selected if self._healthy([selected]) else None

    def eligible(self, service: str, table: RoutingTable) -> list[TrackedStart]:
        """Return the healthy upstreams of a service, warm and cold ones."""
        return self._healthy(self._usable(service, table))

    def _usable(self, service: str, table: RoutingTable) -> list[TrackedStart]:
        limits = _limits_of(service, table)
        return [
            tracked
            for tracked in self._directory.of_service(service)
            if tracked.may_get_new_flows(table)
            and self.can_reach(tracked)
            and (not tracked.is_remembered or may_receive_new_flows(tracked, limits))
        ]

    def awaits_permit(self, route: Route, table: RoutingTable) -> bool:
        """Return whether an upstream of a route may soon be allowed a flow.

        A cold one waits for a permit, one that may have turned cold for its report.
        """
        now_s = self._clock.monotonic_s()
        for share in route.shares:
            limits = _limits_of(share.service, table)
            for tracked in self._usable(share.service, table):
                is_known_cold = tracked.cold_until_s > now_s
                if self.cold_admission.is_pending(tracked.start.key) or (
                    not is_known_cold and self._is_in_doubt(tracked, limits)
                ):
                    return True
        return False

    def _is_in_doubt(self, tracked: TrackedStart, limits: ServiceLimits | None) -> bool:
        if limits is None or limits.cold_new_flows_per_s <= 0:
            return False
        return self.is_doubtful(tracked.start, limits)

    def _warm_and_cold(
        self, usable: list[TrackedStart], limits: ServiceLimits | None
    ) -> tuple[list[TrackedStart], list[TrackedStart]]:
        """Return the warm upstreams, and those that are in a cold start or may be."""
        now_s = self._clock.monotonic_s()
        warm: list[TrackedStart] = []
        cold: list[TrackedStart] = []
        for tracked in usable:
            is_cold = tracked.cold_until_s > now_s or self._is_in_doubt(tracked, limits)
            (cold if is_cold else warm).append(tracked)
        return warm, cold

    def use_locality(self, locality: "LocalityWeights") -> None:
        """Let ``locality`` decide the data centre of new flows."""
        self.locality = locality

    def _services_in_order(self, route: Route) -> list[str]:
        """Return the services of a route, the one drawn by weight first."""
        shares = [share for share in route.shares if share.weight > 0]
        if len(shares) < 2:
            return [share.service for share in shares]
        names = [share.service for share in shares]
        first = self._rng.choices(names, [share.weight for share in shares])[0]
        return [first, *(name for name in names if name != first)]

    def _select_from_service(
        self, service: str, table: RoutingTable, excluded: frozenset[StartKey]
    ) -> TrackedStart | None:
        usable = self._usable(service, table)
        limits = _limits_of(service, table)
        warm, cold = self._warm_and_cold(usable, limits)
        healthy = self._healthy(warm)
        candidates = [k for k in healthy if k.start.key not in excluded]
        limit_per_s = limits.cold_new_flows_per_s if limits is not None else 0.0
        is_any_local = any(map(self._is_local, candidates))
        if candidates and (limit_per_s <= 0 or is_any_local):
            return self._least_loaded(self._of_data_centre(service, candidates))
        selected = self._select_cold(cold, candidates, limit_per_s)
        if selected is not None:
            self.cold_admission.record_flow(selected.start.key)
            return selected
        if candidates:
            return self._least_loaded(self._of_data_centre(service, candidates))
        return self._least_loaded(healthy or warm)

    def _select_cold(
        self,
        cold: list[TrackedStart],
        candidates: list[TrackedStart],
        limit_per_s: float,
    ) -> TrackedStart | None:
        """Return the cold upstream that gets a new flow, None if none may.

        Beside warm candidates, which are elsewhere then, it is one of the own data
        centre: a service with a limit says what that bears.
        """
        if candidates:
            cold = [k for k in self._healthy(cold) if self._is_local(k)]
        permitted = [k for k in cold if self._may_receive_cold_flow(k, limit_per_s)]
        return self._least_loaded(permitted)

    def _is_local(self, tracked: TrackedStart) -> bool:
        return tracked.start.data_centre == self._data_centre

    def _may_receive_cold_flow(self, tracked: TrackedStart, limit_per_s: float) -> bool:
        """Return whether a cold upstream may get a flow; a limit of 0 means none."""
        if limit_per_s <= 0:
            return True
        return self.cold_admission.may_open(
            tracked.start, limit_per_s, self.entry_count
        )

    def _healthy(self, starts: list[TrackedStart]) -> list[TrackedStart]:
        return [
            tracked
            for tracked in starts
            if not tracked.is_lost
            and not self._outlier_detector.is_excluded(tracked.start.key)
            and not self._directory.is_silent(tracked.start)
        ]

    def _least_loaded(self, starts: Sequence[TrackedStart]) -> TrackedStart | None:
        """Return the start with the fewest flows, weighted by slow response times.

        With an equal share of flows, a slow upstream would delay all of them.
        """
        if self.shared_choice is not None and self.shared_choice.is_usable:
            return self.shared_choice.choose(starts)
        now_s = self._clock.monotonic_s()
        median_s = _median(_responses_s(starts, now_s))

        def cost(tracked: TrackedStart) -> float:
            slowness = tracked.recent_response_s(now_s) / median_s if median_s else 1.0
            weight = slowness if slowness > SLOW_FACTOR else 1.0
            return (tracked.flow_count + self._rng.random()) * weight

        return min(starts, key=cost, default=None)

    def _of_data_centre(
        self, service: str, starts: list[TrackedStart]
    ) -> list[TrackedStart]:
        """Return the starts of the data centre to which the flow goes."""
        if self.locality is None:
            return self._prefer_local(starts)
        by_data_centre: dict[str, list[TrackedStart]] = {}
        for tracked in starts:
            by_data_centre.setdefault(tracked.start.data_centre, []).append(tracked)
        chosen = self.locality.choose(service, by_data_centre, self._rng)
        return by_data_centre[chosen]

    def _prefer_local(self, starts: list[TrackedStart]) -> list[TrackedStart]:
        """Return the starts of the own data centre unless they answer late."""
        local = [k for k in starts if self._is_local(k)]
        remote = [k for k in starts if not self._is_local(k)]
        if not local or not remote:
            return local or remote
        now_s = self._clock.monotonic_s()
        local_s = _mean(_responses_s(local, now_s))
        excess_s = local_s - _mean(_responses_s(remote, now_s))
        return remote if excess_s > REMOTE_THRESHOLD_S else local


def _limits_of(service: str, table: RoutingTable) -> ServiceLimits | None:
    return next((s for s in table.services if s.name == service), None)


def _median(values: list[float]) -> float:
    """Return the lower median, 0 without values.

    The ``statistics`` module isn't used, since its import takes long on an instance
    that has only a small share of a core.
    """
    return sorted(values)[(len(values) - 1) // 2] if values else 0.0


def _mean(values: list[float]) -> float:
    return sum(values) / len(values) if values else 0.0


def _responses_s(starts: Sequence[TrackedStart], now_s: float) -> list[float]:
    """Return the recent response times of the starts that have one."""
    responses_s = (tracked.recent_response_s(now_s) for tracked in starts)
    return [response_s for response_s in responses_s if response_s > 0.0]
