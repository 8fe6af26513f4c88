"""Goodput per priority of an upstream under overload with retries."""

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable

from attrs import define, evolve, field, frozen

from arbutuslift.clock import ManualClock
from arbutuslift.state.admission import (
    Admission,
    AdmissionControl,
    UnlimitedAdmission,
)
from arbutuslift.state.shares import LimitPlan, NamedLimits, UpstreamLimits
from arbutuslift.state.upstreams import UpstreamRecord, UpstreamState, UpstreamView

from .result import Measure

START_S = 1000.0
RUN_S = 120.0
# The upstream is empty at first; the figures exclude the time until it fills.
RAMP_UP_S = 40.0
INSTANCES = 9
SLOTS = 2
WORK_S = 0.01
HOLD_S = 20.0
REQUEST_INTERVAL_S = 1.0
# Number of connections whose requests keep all slots busy.
CAPACITY = round(SLOTS / WORK_S * REQUEST_INTERVAL_S)
MAX_CONNECTIONS = round(0.9 * CAPACITY)
# A caller that waits longer for an answer closes its connection and retries. The
# upstream still processes the request.
ANSWER_TIMEOUT_S = 2.0
RETRIES = 3
BACKOFF_S = 0.5
PRIORITY_SHARES = {"urgent": 0.2, "high": 0.3, "ordinary": 0.5}
FACTORS = (1, 2, 4, 10)
SEED = 5


@define(eq=False)
class Connection:
    """A caller's persistent connection with one request at a time."""

    priority: str
    retries_left: int
    closes_at_s: float
    is_open: bool = True


@define(eq=False)
class Request:
    """A request whose caller waits until a deadline."""

    connection: Connection
    deadline_s: float


@frozen(order=True)
class Event:
    """A function that runs at a time."""

    due_s: float
    number: int
    run: Callable[[], None] = field(order=False)


class OverloadRun:
    """Callers, instances and one upstream that serves requests in order of arrival.

    Args:
        factor: Offered connections in multiples of the upstream's capacity.
        is_limited: Whether the instances enforce limits.
    """

    def __init__(self, factor: float, is_limited: bool) -> None:
        self._rate_per_s = factor * CAPACITY / HOLD_S
        self._random = random.Random(SEED)
        self._clock = ManualClock(START_S)
        self._events: list[Event] = []
        self._numbers = itertools.count()
        self._queue: deque[Request] = deque()
        self._busy_slots = 0
        self._open_connections = 0
        self._view = UpstreamView(self._clock)
        self._record = _ready_record()
        self._view.merge(self._record)
        plan = _plan()
        names = plan.instances if is_limited else ()
        self._controls: list[Admission] = [self._control(name, plan) for name in names]
        self._controls = self._controls or [UnlimitedAdmission()]
        self.answered: Counter[str] = Counter()

    def run(self) -> None:
        """Run the simulation for ``RUN_S``."""
        self._at(0.0, self._offer)
        self._at(0.0, self._announce_load)
        while self._events[0].due_s < START_S + RUN_S:
            event = heapq.heappop(self._events)
            self._clock.jump(max(0.0, event.due_s - self._clock.monotonic_s()))
            event.run()

    def goodput(self, priority: str) -> float:
        """Return the answers per second that arrived in time."""
        return self.answered[priority] / (RUN_S - RAMP_UP_S)

    def _control(self, name: str, plan: LimitPlan) -> AdmissionControl:
        control = AdmissionControl(self._clock, self._view, name)
        control.apply_plan(plan)
        return control

    def _at(self, delay_s: float, run: Callable[[], None]) -> None:
        due_s = self._clock.monotonic_s() + delay_s
        heapq.heappush(self._events, Event(due_s, next(self._numbers), run))

    def _offer(self) -> None:
        priority = self._random.choices(
            list(PRIORITY_SHARES), weights=PRIORITY_SHARES.values()
        )[0]
        self._connect(priority, RETRIES)
        self._at(self._random.expovariate(self._rate_per_s), self._offer)

    def _connect(self, priority: str, retries_left: int) -> None:
        control = self._random.choice(self._controls)
        record = self._view.get(self._record.upstream_id)
        if not control.try_admit(record, priority):
            self._retry(priority, retries_left)
            return
        control.record_return_traffic(record.upstream_id)
        hold_s = self._random.expovariate(1.0 / HOLD_S)
        closes_at_s = self._clock.monotonic_s() + hold_s
        self._open_connections += 1
        self._send_request(Connection(priority, retries_left, closes_at_s))

    def _retry(self, priority: str, retries_left: int) -> None:
        if retries_left > 0:
            delay_s = self._random.uniform(0.5, 1.5) * BACKOFF_S
            self._at(delay_s, lambda: self._connect(priority, retries_left - 1))

    def _send_request(self, connection: Connection) -> None:
        if not connection.is_open:
            return
        now_s = self._clock.monotonic_s()
        if now_s >= connection.closes_at_s:
            self._close(connection)
            return
        request = Request(connection, now_s + ANSWER_TIMEOUT_S)
        self._queue.append(request)
        self._serve_next()

    def _close(self, connection: Connection) -> None:
        connection.is_open = False
        self._open_connections -= 1

    def _serve_next(self) -> None:
        if self._busy_slots < SLOTS and self._queue:
            request = self._queue.popleft()
            self._busy_slots += 1
            self._at(WORK_S, lambda: self._finish(request))

    def _finish(self, request: Request) -> None:
        self._busy_slots -= 1
        connection = request.connection
        if self._clock.monotonic_s() < request.deadline_s:
            if self._clock.monotonic_s() >= START_S + RAMP_UP_S:
                self.answered[connection.priority] += 1
            self._at(REQUEST_INTERVAL_S, lambda: self._send_request(connection))
        else:
            self._close(connection)
            self._retry(connection.priority, connection.retries_left)
        self._serve_next()

    def _announce_load(self) -> None:
        self._record = evolve(
            self._record,
            sequence=self._record.sequence + 1,
            open_connections=self._open_connections,
        )
        self._view.merge(self._record)
        self._at(1.0, self._announce_load)


def _plan() -> LimitPlan:
    limits = UpstreamLimits(max_connections=MAX_CONNECTIONS, warm_up_s=0.0)
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
    capacity_per_s = SLOTS / WORK_S
    results = [
        Measure(
            name=f"goodput at {factor} times capacity, {mode}, {priority}",
            figure=round(run.goodput(priority), 1),
            unit="answers in time per s",
            note=f"{factor * part * capacity_per_s:.0f} offered per s, "
            f"{RETRIES} retries",
        )
        for priority, part in PRIORITY_SHARES.items()
    ]
    total = sum(run.goodput(priority) for priority in PRIORITY_SHARES)
    results.append(
        Measure(
            name=f"goodput at {factor} times capacity, {mode}, all",
            figure=round(100 * total / capacity_per_s, 1),
            unit="% of capacity",
            note=f"limit of {MAX_CONNECTIONS} connections, capacity {CAPACITY}",
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
