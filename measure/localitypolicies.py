"""Ways to divide new flows among data centres, for the demand model."""

import random
from collections.abc import Mapping, Sequence

from attrs import frozen

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.routing.loadview import LoadView
from arbutuslift.coordination.routing.locality import LocalityWeights
from arbutuslift.coordination.routing.outlierdetector import OutlierDetector
from arbutuslift.coordination.routing.routedservices import RoutedService
from arbutuslift.coordination.routing.trackedstart import TrackedStart
from arbutuslift.coordination.routing.upstreamdirectory import UpstreamDirectory
from arbutuslift.coordination.routing.upstreamselector import UpstreamSelector
from arbutuslift.protocol.loads import LoadSummary
from arbutuslift.rolesettings import LoadSettings
from arbutuslift.state.loadfigures import ServiceLoad
from tests.builders import start

from .demandmodel import SERVICE

AIM_S = 0.5
# A data centre keeps all flows while this many times its healthy part covers them.
OVERPROVISIONING = 1.4
# With a smaller healthy part all upstreams count as healthy.
PANIC_THRESHOLD = 0.5


class _Policy:
    """Base of all policies; the simplest one keeps all flows local.

    Args:
        data_centre: Data centre for which it decides.
    """

    def __init__(self, data_centre: str) -> None:
        self.data_centre = data_centre
        self.clock = ManualClock()
        self.rows: dict[str, ServiceLoad] = {}

    def learn(
        self, rows: Sequence[ServiceLoad], out_of_service: frozenset[str]
    ) -> None:
        """Keep the rows."""
        self.rows = {row.data_centre: row for row in rows}

    def observe(self, responses_s: Mapping[str, float]) -> None:
        """Take in nothing."""

    def advance(self, duration_s: float) -> None:
        """Advance the clock."""
        self.clock.jump(duration_s)

    def fractions(self, slots: Mapping[str, int]) -> Mapping[str, float]:
        """Return the fractions of :meth:`remote`, and the rest for the own one."""
        if self.data_centre not in slots:
            return _in_proportion(slots)
        remote = self.remote({k: v for k, v in slots.items() if k != self.data_centre})
        return {**remote, self.data_centre: 1 - sum(remote.values())}

    def remote(self, slots: Mapping[str, int]) -> Mapping[str, float]:
        """Return the fractions for other data centres."""
        return {}


class LocalOnly(_Policy):
    """Keeps all flows local."""


class LevelledWaits(_Policy):
    """The product's rule."""

    def __init__(self, data_centre: str, settings: LoadSettings | None = None) -> None:
        super().__init__(data_centre)
        self.view = LoadView(self.clock)
        self.weights = LocalityWeights(
            self.clock, data_centre, settings or LoadSettings()
        )
        self._rng = random.Random(1)

    def learn(
        self, rows: Sequence[ServiceLoad], out_of_service: frozenset[str]
    ) -> None:
        """Pass the rows on as a summary; none arrives without rows."""
        if not rows:
            return
        self.view.update(LoadSummary(instances=1, upstreams=(), services=tuple(rows)))
        service = RoutedService(name=SERVICE, aim_s=AIM_S)
        self.weights.update(self.view, (service,), out_of_service)

    def fractions(self, slots: Mapping[str, int]) -> Mapping[str, float]:
        """Return the fractions that ``choose`` draws from."""
        candidates = {
            name: [TrackedStart(start=start(slots=count), tag=1)]
            for name, count in slots.items()
        }
        if candidates:
            self.weights.choose(SERVICE, candidates, self._rng)
        return self.weights.shares(SERVICE, candidates)


class ResponseTimeThreshold(_Policy):
    """The rule without load reports, decided by the selector itself."""

    def __init__(self, data_centre: str) -> None:
        super().__init__(data_centre)
        self.selector = UpstreamSelector(
            self.clock,
            UpstreamDirectory(self.clock),
            OutlierDetector(self.clock),
            data_centre,
            random.Random(1),
        )
        self.starts: dict[str, TrackedStart] = {}

    def observe(self, responses_s: Mapping[str, float]) -> None:
        """Take in the response times as an instance does."""
        for name, response_s in responses_s.items():
            self._start(name).observe_response(response_s, self.clock.monotonic_s())

    def remote(self, slots: Mapping[str, int]) -> Mapping[str, float]:
        """Return 1 for the data centres that the selector prefers."""
        names = [self.data_centre, *slots]
        preferred = self.selector._prefer_local([self._start(n) for n in names])
        chosen = {k.start.data_centre for k in preferred}
        return _in_proportion({n: v for n, v in slots.items() if n in chosen})

    def _start(self, name: str) -> TrackedStart:
        if name not in self.starts:
            record = start(data_centre=name)
            self.starts[name] = TrackedStart(start=record, tag=1)
        return self.starts[name]


class HealthyFraction(_Policy):
    """Weights by healthy upstreams, as proxies with a panic threshold use them."""

    def __init__(self, data_centre: str) -> None:
        super().__init__(data_centre)
        self.most: dict[str, int] = {}

    def remote(self, slots: Mapping[str, int]) -> Mapping[str, float]:
        """Return what the healthy fraction of the own upstreams doesn't cover."""
        own = self.rows.get(self.data_centre)
        if own is None:
            return {}
        name = self.data_centre
        most = self.most[name] = max(self.most.get(name, 1), own.slots)
        healthy = own.slots / most
        local = (
            1.0 if healthy < PANIC_THRESHOLD else min(1.0, OVERPROVISIONING * healthy)
        )
        return {n: (1 - local) * v for n, v in _in_proportion(slots).items()}


class QueueSpill(_Policy):
    """Sends the part of the outstanding requests that wait for a slot."""

    def remote(self, slots: Mapping[str, int]) -> Mapping[str, float]:
        """Return the fractions in proportion to free slots."""
        own = self.rows.get(self.data_centre)
        if own is None or own.outstanding <= own.slots:
            return {}
        part = 1 - own.slots / own.outstanding
        free = {
            name: max(0.0, row.slots - row.outstanding)
            for name, row in self.rows.items()
            if name in slots
        }
        return {name: part * v for name, v in _in_proportion(free).items()}


class LeastCost(_Policy):
    """Sends every flow where a request costs least by the newest rows."""

    def remote(self, slots: Mapping[str, int]) -> Mapping[str, float]:
        """Return 1 for the cheapest data centre."""
        cost_s = RoutedService(name=SERVICE, aim_s=AIM_S).leaving_cost_s(0.0)
        costs = {
            name: row.response_ms / 1000 + (cost_s if name in slots else 0.0)
            for name, row in self.rows.items()
            if name in slots or name == self.data_centre
        }
        best = min(costs, key=costs.__getitem__, default=self.data_centre)
        return {} if best == self.data_centre else {best: 1.0}


@frozen
class NamedPolicy:
    """A policy and its name in the figures."""

    name: str
    make: type


POLICIES = (
    NamedPolicy("levelled waits", LevelledWaits),
    NamedPolicy("response time threshold", ResponseTimeThreshold),
    NamedPolicy("healthy fraction", HealthyFraction),
    NamedPolicy("queue spill-over", QueueSpill),
    NamedPolicy("least cost", LeastCost),
    NamedPolicy("local only", LocalOnly),
)


def _in_proportion(values: Mapping[str, float]) -> dict[str, float]:
    total = sum(values.values())
    return {name: value / total for name, value in values.items()} if total else {}
