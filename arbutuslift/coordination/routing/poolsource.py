"""The pools of an entry instance, from its directory and the shared view of load."""

from typing import Protocol

from attrs import define, evolve

from ...clock import Clock
from ...state.loadfigures import ServiceLoad, UpstreamLoad
from ...state.routingtable import Route, RouteKey, RoutingTable
from ...state.starts import StartKey
from .coldadmission import COLD_SHARED_FRACTION
from .demandshare import DemandShare
from .servicepool import PooledUpstream, ServicePool
from .trackedstart import TrackedStart
from .upstreamselector import UpstreamSelector

# Greatest age of a pool. Building one takes longer than the rest of a decision, and its
# figures change once a second; what is outstanding here is read for each flow. In a
# shortage, upstreams that come and go count sooner.
MAX_POOL_AGE_S = 0.5
MAX_POOL_AGE_IN_SHORTAGE_S = 0.05


class OutstandingCounter(Protocol):
    """Counts what is outstanding through this instance."""

    def outstanding(self, key: StartKey) -> int:
        """Return the requests without an answer at a start."""

    def outstanding_of_service(self, service: str) -> int:
        """Return the requests without an answer at the starts of a service."""


class SharedView(Protocol):
    """The load of all instances."""

    instances: int

    @property
    def is_usable(self) -> bool:
        """Return whether it is recent enough for decisions."""

    def upstream(self, key: StartKey) -> UpstreamLoad | None:
        """Return the load of a start, None if it isn't known."""

    def service(self, service: str, data_centre: str) -> ServiceLoad | None:
        """Return the load of a service in a data centre, None if it isn't known."""


@define
class _Pool:
    """A pool and when it was built.

    Attributes:
        pool: The pool, without what is outstanding here.
        table: Routing table from which it was built.
        built_s: When it was built.
    """

    pool: ServicePool
    table: RoutingTable
    built_s: float


class PoolSource:
    """Builds the pools of routes.

    With a usable view, a pool holds the upstreams of the own data centre, and the share
    is that of the data centre's demand. Without one it holds the upstreams of all data
    centres, which the entry instances share evenly.

    Args:
        clock: Source of time.
        selector: Knows which upstreams are eligible.
        counter: Counts what is outstanding here.
        data_centre: Data centre of this instance.
        view: Load of all instances; None if it isn't shared.
        queue_length: Requests that wait at each upstream before it rejects more, None
            if it isn't known.
    """

    def __init__(
        self,
        clock: Clock,
        selector: UpstreamSelector,
        counter: OutstandingCounter,
        data_centre: str,
        view: SharedView | None = None,
        queue_length: int | None = None,
    ) -> None:
        self._clock = clock
        self._selector = selector
        self._counter = counter
        self._data_centre = data_centre
        self._view = view
        self._queue_length = queue_length
        self._pools: dict[tuple[str, ...], _Pool] = {}
        self._services: dict[RouteKey, tuple[Route, tuple[str, ...]]] = {}
        self._demand: dict[str, DemandShare] = {}

    def record_arrival(self, route: Route) -> str:
        """Count a new flow of a route and return the name of its pool."""
        name = _name(self._services_of(route))
        self._demand_of(name).record_arrival(self._clock.monotonic_s())
        return name

    def outstanding(self, route: Route) -> int:
        """Return what is outstanding here at all upstreams of a route's services."""
        count = self._counter.outstanding_of_service
        return sum(count(service) for service in self._services_of(route))

    def pool_of(
        self, route: Route, table: RoutingTable, *, is_short: bool = False
    ) -> ServicePool:
        """Return the pool of a route with what is outstanding now.

        Args:
            route: The route.
            table: Routing table in effect.
            is_short: Whether there is a shortage or flows wait.
        """
        services = self._services_of(route)
        now_s = self._clock.monotonic_s()
        max_age_s = MAX_POOL_AGE_IN_SHORTAGE_S if is_short else MAX_POOL_AGE_S
        cached = self._pools.get(services)
        is_stale = cached is None or now_s - cached.built_s >= max_age_s
        if is_stale or cached.table is not table:
            self._remove_former(table)
            pool = self._build(services, table, now_s)
            cached = self._pools[services] = _Pool(pool, table, now_s)
        count = self._counter.outstanding
        outstanding = sum(count(item.key) for item in cached.pool.upstreams)
        return evolve(cached.pool, outstanding=outstanding)

    def _remove_former(self, table: RoutingTable) -> None:
        """Remove pools of former tables, whose routes may not exist any more."""
        former = [key for key, item in self._pools.items() if item.table is not table]
        for key in former:
            del self._pools[key]
        if former:
            self._services.clear()

    def _build(
        self, services: tuple[str, ...], table: RoutingTable, now_s: float
    ) -> ServicePool:
        eligible = [
            tracked
            for service in services
            for tracked in self._selector.eligible(service, table)
        ]
        if self._view is not None and self._view.is_usable:
            return self._build_by_view(services, eligible, table, now_s)
        share = 1.0 / self._selector.entry_count
        return self._pool(_name(services), eligible, table, share, now_s)

    def _build_by_view(
        self,
        services: tuple[str, ...],
        eligible: list[TrackedStart],
        table: RoutingTable,
        now_s: float,
    ) -> ServicePool:
        """Return the pool of the own data centre's upstreams.

        If there are none, it holds those of all data centres, and the share is that of
        the whole demand.
        """
        name = _name(services)
        instances = self._view.instances
        centres = {tracked.start.data_centre for tracked in eligible}
        rows = self._rows(services, centres | {self._data_centre})
        here = [row for row in rows if row.data_centre == self._data_centre]
        own_per_s = sum(row.arrivals_per_s for row in here)
        demand = self._demand_of(name)
        demand.observe_total(own_per_s, instances, now_s)
        share = demand.share(instances, now_s)
        all_per_s = sum(row.arrivals_per_s for row in rows)
        share_of_all = (share * own_per_s / all_per_s if all_per_s else 0.0) or share
        local = [k for k in eligible if k.start.data_centre == self._data_centre]
        if not local:
            return self._pool(name, eligible, table, share_of_all, now_s)
        spare = sum(
            max(0.0, row.slots - row.outstanding)
            for row in rows
            if row.data_centre != self._data_centre
        )
        pool = self._pool(name, local, table, share, now_s)
        return self._add_view(pool, share_of_all * spare)

    def _add_view(self, pool: ServicePool, spare_slots: float) -> ServicePool:
        """Return a pool with the figures of all instances."""
        loads = {item.key: self._view.upstream(item.key) for item in pool.upstreams}
        known = [load for load in loads.values() if load is not None]
        answered = sum(load.answered for load in known)
        response_ms = sum(load.response_sum_ms for load in known)
        upstreams = tuple(
            evolve(item, outstanding=loads[item.key].outstanding)
            if loads[item.key] is not None
            else item
            for item in pool.upstreams
        )
        return evolve(
            pool,
            upstreams=upstreams,
            response_s=response_ms / answered / 1000 if answered else pool.response_s,
            is_shared=True,
            spare_slots=spare_slots,
        )

    def _pool(
        self,
        name: str,
        starts: list[TrackedStart],
        table: RoutingTable,
        share: float,
        now_s: float,
    ) -> ServicePool:
        responses_s = [tracked.recent_response_s(now_s) for tracked in starts]
        known_s = [response_s for response_s in responses_s if response_s > 0.0]
        limits = {row.name: row.cold_new_flows_per_s for row in table.services}
        upstreams = tuple(
            PooledUpstream(
                key=tracked.start.key,
                slots=tracked.start.slots,
                cold_new_flows_per_s=(
                    COLD_SHARED_FRACTION * limits.get(tracked.start.service, 0.0)
                    if tracked.cold_until_s > now_s
                    else 0.0
                ),
            )
            for tracked in starts
        )
        return ServicePool(
            name=name,
            upstreams=upstreams,
            share=share,
            response_s=sum(known_s) / len(known_s) if known_s else 0.0,
            queue_length=self._queue_length,
        )

    def _rows(self, services: tuple[str, ...], centres: set[str]) -> list[ServiceLoad]:
        rows = [
            self._view.service(service, centre)
            for service in services
            for centre in sorted(centres)
        ]
        return [row for row in rows if row is not None]

    def _services_of(self, route: Route) -> tuple[str, ...]:
        known = self._services.get(route.key)
        if known is None or known[0] is not route:
            names = (share.service for share in route.shares if share.weight > 0)
            known = self._services[route.key] = (route, tuple(sorted(names)))
        return known[1]

    def _demand_of(self, name: str) -> DemandShare:
        return self._demand.setdefault(name, DemandShare())


def _name(services: tuple[str, ...]) -> str:
    return ",".join(services)
