"""Simulation of failing instances in front of one upstream in cold start."""

import random
from collections import deque
from collections.abc import Callable
from ipaddress import IPv4Address

from attrs import define, evolve, field, frozen

from arbutuslift.clock import ManualClock
from arbutuslift.state.admission import AdmissionControl
from arbutuslift.state.shares import LimitPlan, NamedLimits, UpstreamLimits
from arbutuslift.state.upstreams import UpstreamRecord, UpstreamState, UpstreamView

COLD_LIMIT = 10
INSTANCES = 9
STEP_S = 0.02
START_S = 1000.0
RUN_S = 60.0
# Longer than a run, so that the upstream is cold throughout.
WARM_UP_S = 300.0
MAX_PROPAGATION_S = 5.0
GOSSIP_S = 1.0
# A process that resumes receives missed updates within two rounds of gossip.
CATCH_UP_S = 2.0


def plan_of(count: int, limit: int = COLD_LIMIT) -> LimitPlan:
    """Return a plan with ``count`` instances."""
    limits = UpstreamLimits(cold_new_flows_per_s=limit, warm_up_s=WARM_UP_S)
    return LimitPlan(
        instances=tuple(f"instance-{number}" for number in range(count)),
        services=(NamedLimits("alerts", limits),),
    )


def upstream_of(number: int, **changes: object) -> UpstreamRecord:
    """Return the record of a cold upstream."""
    record = UpstreamRecord(
        upstream_id=f"{number:032x}",
        name="alerts-1",
        data_centre="dc-1",
        address=str(IPv4Address("127.20.0.0") + number % 65536),
        port=6081,
        service="alerts",
        work_kinds=("alerts",),
        state=UpstreamState.COLD,
        sequence=1,
        started_at_s=START_S,
    )
    return evolve(record, **changes)


@frozen
class Delivery:
    """A call that an instance executes at a time."""

    due_s: float
    call: Callable[[], None]


@define
class SimulatedInstance:
    """An instance with its own view, which receives updates after a delay."""

    clock: ManualClock
    name: str
    alive_names: Callable[[], list[str]]
    view: UpstreamView = field(init=False)
    control: AdmissionControl = field(init=False)
    revision: int = 0
    unavailable_until_s: float = 0.0
    is_dead: bool = False
    pending: list[Delivery] = field(factory=list)

    def start(
        self,
        revision: int,
        plan: LimitPlan,
        records: list[UpstreamRecord],
        is_settled: bool = False,
    ) -> None:
        """Start a process with the newest plan and the records of a peer."""
        self.view = UpstreamView(self.clock)
        self.control = AdmissionControl(
            self.clock, self.view, self.name, self.alive_names
        )
        self.is_dead = False
        self.revision = revision
        self.control.apply_plan(plan, is_settled)
        for record in records:
            self.view.merge(record)

    def activate_if_newer(self, revision: int, plan: LimitPlan) -> None:
        """Put a plan in effect unless a newer one already is."""
        if revision > self.revision:
            self.revision = revision
            self.control.apply_plan(plan)

    def is_unavailable(self) -> bool:
        """Whether the process is dead or frozen."""
        return self.clock.monotonic_s() < self.unavailable_until_s

    def deliver(self) -> None:
        """Execute the calls that are due."""
        now_s = self.clock.monotonic_s()
        due = [delivery for delivery in self.pending if self._due_s(delivery) <= now_s]
        self.pending = [d for d in self.pending if self._due_s(d) > now_s]
        for delivery in sorted(due, key=lambda delivery: delivery.due_s):
            delivery.call()

    def _due_s(self, delivery: Delivery) -> float:
        if delivery.due_s > self.unavailable_until_s:
            return delivery.due_s
        return self.unavailable_until_s + CATCH_UP_S


@frozen(kw_only=True)
class Faults:
    """Rates of faults, each per second over all instances.

    Attributes:
        deaths_per_s: Processes that crash and restart 0.1 to 10 s later.
        freezes_per_s: Processes that are suspended for 0.2 to 20 s.
        revisions_per_s: Revisions that change the number of instances or the order.
        replacements_per_s: Restarts of the upstream under a new identity.
        stale_instances: Number of instances that receive no revision after the first.
    """

    deaths_per_s: float = 0.0
    freezes_per_s: float = 0.0
    revisions_per_s: float = 0.0
    replacements_per_s: float = 0.0
    stale_instances: int = 0


class ColdRun:
    """One seeded run of instances in front of one cold upstream.

    Args:
        faults: Rates of the faults.
        seed: Seed of the run.
        count: Number of instances that run.
    """

    def __init__(self, faults: Faults, seed: int, count: int = INSTANCES) -> None:
        self._faults = faults
        self._random = random.Random(seed)
        self._clock = ManualClock(START_S)
        self._plan = plan_of(INSTANCES)
        self._revision = 0
        self._upstream = upstream_of(1 + seed * 1000)
        self._instances = [
            SimulatedInstance(self._clock, f"instance-{number}", list)
            for number in range(count)
        ]
        for instance in self._instances:
            instance.start(0, self._plan, [self._upstream], is_settled=True)
        self.admitted_s: list[float] = []

    def run(self) -> None:
        """Offer more load than the cold limit and inject faults."""
        end_s = START_S + RUN_S
        while self._clock.monotonic_s() < end_s:
            self._clock.jump(STEP_S)
            self._inject_faults()
            self._offer_load()

    def _offer_load(self) -> None:
        for instance in self._instances:
            if instance.is_unavailable():
                continue
            if instance.is_dead:
                instance.start(self._revision, self._plan, [self._upstream])
            instance.deliver()
            for record in instance.view.of_service("alerts"):
                if instance.control.try_admit(record, "urgent"):
                    self.admitted_s.append(self._clock.monotonic_s())
                instance.control.record_return_traffic(record.upstream_id)

    def _inject_faults(self) -> None:
        faults = self._faults
        if self._occurs(faults.deaths_per_s):
            instance = self._make_unavailable(0.1, 10.0)
            instance.is_dead = True
        if self._occurs(faults.freezes_per_s):
            self._make_unavailable(0.2, 20.0)
        if self._occurs(faults.revisions_per_s):
            self._change_plan()
        if self._occurs(faults.replacements_per_s):
            self._replace_upstream()

    def _occurs(self, rate_per_s: float) -> bool:
        return self._random.random() < rate_per_s * STEP_S

    def _make_unavailable(self, min_s: float, max_s: float) -> SimulatedInstance:
        instance = self._random.choice(self._instances)
        now_s = self._clock.monotonic_s()
        unavailable_until_s = now_s + self._random.uniform(min_s, max_s)
        instance.unavailable_until_s = max(
            instance.unavailable_until_s, unavailable_until_s
        )
        return instance

    def _change_plan(self) -> None:
        names = list(plan_of(self._random.choice([9, 12, 18])).instances)
        if self._random.random() < 0.5:
            self._random.shuffle(names)
        self._plan = evolve(plan_of(1), instances=tuple(names))
        self._revision += 1
        for instance in self._instances[self._faults.stale_instances :]:
            activation = _plan_activation(instance, self._revision, self._plan)
            self._send(instance, MAX_PROPAGATION_S, activation)

    def _replace_upstream(self) -> None:
        number = int(self._upstream.upstream_id, 16) + 1
        self._upstream = upstream_of(
            number,
            address=self._upstream.address,
            started_at_s=self._clock.wall_s(),
            state=UpstreamState.READY,
        )
        for instance in self._instances:
            self._send(instance, GOSSIP_S, _record_update(instance, self._upstream))

    def _send(
        self, instance: SimulatedInstance, within_s: float, call: Callable[[], None]
    ) -> None:
        due_s = self._clock.monotonic_s() + self._random.uniform(0.0, within_s)
        instance.pending.append(Delivery(due_s, call))


def _plan_activation(
    instance: SimulatedInstance, revision: int, plan: LimitPlan
) -> Callable[[], None]:
    return lambda: instance.activate_if_newer(revision, plan)


def _record_update(
    instance: SimulatedInstance, record: UpstreamRecord
) -> Callable[[], None]:
    return lambda: instance.view.merge(record)


def peak_in_a_second(times_s: list[float]) -> int:
    """Return the largest number of events in any half-open second."""
    window: deque[float] = deque()
    peak = 0
    for time_s in times_s:
        window.append(time_s)
        # The tolerance covers the rounding of summed steps.
        while time_s - window[0] > 1.0 - STEP_S / 2:
            window.popleft()
        peak = max(peak, len(window))
    return peak
