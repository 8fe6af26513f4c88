"""Goodput per priority of an upstream under overload with retries."""

import heapq
import random
from collections import Counter
from collections.abc import Callable

from attrs import define, evolve, field, frozen

from arbutuslift.clock import ManualClock
from arbutuslift.state.admission import (
    Admission,
    AdmissionControl,
    UnlimitedAdmission,
)
from arbutuslift.state.shares import LimitPlan, NamedLimits, ServiceLimits
from arbutuslift.state.upstreams import UpstreamRecord, UpstreamState, UpstreamView

from .result import Measure

START_S = 1000.0
RUN_S = 60.0
INSTANCES = 9
SLOTS = 2
WORK_S = 0.1
CAPACITY_PER_S = SLOTS / WORK_S
# A caller gives up an answer after this time; the work for it is then wasted.
PATIENCE_S = 2.0
# Connections that the slots serve within three quarters of the callers' patience.
MAX_CONNECTIONS = round(0.75 * PATIENCE_S * CAPACITY_PER_S)
RETRIES = 3
BACKOFF_S = 0.5
MIX = {"urgent": 0.2, "high": 0.3, "ordinary": 0.5}
FACTORS = (1, 2, 4, 10)
SEED = 5


@define
class Request:
    """A caller's request, sent again as a new flow when it fails."""

    priority: str
    retries_left: int = RETRIES
    given_up_at_s: float = 0.0


@frozen(order=True)
class Event:
    """Something that happens at a time."""

    due_s: float
    number: int
    run: Callable[[], None] = field(order=False)


class OverloadRun:
    """Callers, instances and one upstream that works in order of arrival.

    Args:
        factor: Offered load in multiples of the upstream's capacity.
        is_limited: Whether the instances enforce limits.
    """

    def __init__(self, factor: float, is_limited: bool) -> None:
        self._rate_per_s = factor * CAPACITY_PER_S
        self._random = random.Random(SEED)
        self._clock = ManualClock(START_S)
        self._events: list[Event] = []
        self._queue: list[Request] = []
        self._busy = 0
        self._view = UpstreamView(self._clock)
        self._record = _ready_record()
        self._view.merge(self._record)
        plan = _plan()
        names = plan.instances if is_limited else ()
        self._controls: list[Admission] = [self._control(name, plan) for name in names]
        self._controls = self._controls or [UnlimitedAdmission()]
        self.offered: Counter[str] = Counter()
        self.answered: Counter[str] = Counter()

    def run(self) -> None:
        """Run until all offered requests have ended."""
        self._at(0.0, self._offer)
        self._at(0.0, self._report)
        while self._events:
            event = heapq.heappop(self._events)
            self._clock.jump(max(0.0, event.due_s - self._clock.monotonic_s()))
            event.run()

    def _control(self, name: str, plan: LimitPlan) -> AdmissionControl:
        control = AdmissionControl(self._clock, self._view, name)
        control.apply(plan)
        return control

    def _at(self, delay_s: float, run: Callable[[], None]) -> None:
        due_s = self._clock.monotonic_s() + delay_s
        heapq.heappush(self._events, Event(due_s, len(self._events), run))

    def _is_over(self) -> bool:
        return self._clock.monotonic_s() >= START_S + RUN_S

    def _offer(self) -> None:
        if self._is_over():
            return
        priority = self._random.choices(list(MIX), weights=MIX.values())[0]
        self.offered[priority] += 1
        self._connect(Request(priority))
        self._at(self._random.expovariate(self._rate_per_s), self._offer)

    def _connect(self, request: Request) -> None:
        control = self._random.choice(self._controls)
        record = self._view.get(self._record.upstream_id)
        if not control.try_admit(record, request.priority):
            self._retry(request)
            return
        control.note_return(record.upstream_id)
        request.given_up_at_s = self._clock.monotonic_s() + PATIENCE_S
        attempt = evolve(request)
        self._queue.append(attempt)
        self._at(PATIENCE_S, lambda: self._give_up(attempt))
        self._work()

    def _give_up(self, attempt: Request) -> None:
        if attempt.given_up_at_s > 0.0:
            self._retry(attempt)

    def _retry(self, request: Request) -> None:
        if request.retries_left == 0:
            return
        again = Request(request.priority, request.retries_left - 1)
        delay_s = self._random.uniform(0.5, 1.5) * BACKOFF_S
        self._at(delay_s, lambda: self._connect(again))

    def _work(self) -> None:
        if self._busy == SLOTS or not self._queue:
            return
        attempt = self._queue.pop(0)
        self._busy += 1
        self._at(WORK_S, lambda: self._finish(attempt))

    def _finish(self, attempt: Request) -> None:
        self._busy -= 1
        if self._clock.monotonic_s() < attempt.given_up_at_s:
            self.answered[attempt.priority] += 1
            attempt.given_up_at_s = 0.0
        self._work()

    def _report(self) -> None:
        if self._is_over():
            return
        self._record = evolve(
            self._record,
            sequence=self._record.sequence + 1,
            open_connections=len(self._queue) + self._busy,
            busy_slots=self._busy,
        )
        self._view.merge(self._record)
        self._at(1.0, self._report)


def _plan() -> LimitPlan:
    limits = ServiceLimits(max_connections=MAX_CONNECTIONS, warm_up_s=0.0)
    return LimitPlan(
        instances=tuple(f"instance-{number}" for number in range(INSTANCES)),
        services=(NamedLimits("alerts", limits),),
    )


def _ready_record() -> UpstreamRecord:
    return UpstreamRecord(
        upstream_id=f"{1:032x}",
        name="alerts-1",
        data_centre="dc-1",
        address="127.20.0.1",
        port=6081,
        service="alerts",
        work_kinds=("alerts",),
        state=UpstreamState.READY,
        sequence=1,
    )


def _measures_of(factor: int, is_limited: bool) -> list[Measure]:
    run = OverloadRun(factor, is_limited)
    run.run()
    mode = "limits" if is_limited else "no limits"
    results = [
        Measure(
            name=f"goodput at {factor} times capacity, {mode}, {priority}",
            figure=round(run.answered[priority] / RUN_S, 1),
            unit="answers per s",
            note=f"{run.offered[priority] / RUN_S:.1f} offered per s",
        )
        for priority in MIX
    ]
    total = round(100 * run.answered.total() / RUN_S / CAPACITY_PER_S, 1)
    results.append(
        Measure(
            name=f"goodput at {factor} times capacity, {mode}, all",
            figure=total,
            unit="% of capacity",
            note=f"capacity {CAPACITY_PER_S:.0f} per s, {RETRIES} retries",
        )
    )
    return results


def measure() -> list[Measure]:
    """Return goodput with limits, and without them for comparison."""
    return [
        result
        for is_limited in (True, False)
        for factor in FACTORS
        for result in _measures_of(factor, is_limited)
    ]


if __name__ == "__main__":
    for result in measure():
        print(result)
