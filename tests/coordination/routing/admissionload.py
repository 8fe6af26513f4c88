"""Demand for one service, to test admission without a network.

New flows arrive at random at entry instances. Upstreams answer each after a random time
and share what is outstanding once a second. Callers don't repeat anything.
"""

import heapq
import itertools
import random
from collections import Counter, defaultdict, deque
from statistics import fmean

from attrs import define, field

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.routing.admissiongate import (
    RELEASE_INTERVAL_S,
    AdmissionGate,
)
from arbutuslift.coordination.routing.flowadmission import FlowAdmission
from arbutuslift.coordination.routing.packetdecision import Decision, Verdict
from arbutuslift.coordination.routing.servicepool import PooledUpstream, ServicePool
from arbutuslift.coordination.routing.waitingflows import WaitingFlows
from arbutuslift.state.routingtable import Route

from ...builders import caller_packet

SERVICE = "a"
START_S = ManualClock().monotonic_s()
SUMMARY_INTERVAL_S = 1.0
SLOTS = 2
QUEUE_LENGTH = 8
REJECTION_S = 0.002  # Response time of an upstream whose queue is full.
SMOOTHING = 0.1  # Weight of the newest response time in an instance's mean.


@define(eq=False)
class Flow:
    instance: "Instance"
    route: Route
    arrived_s: float
    opened_s: float = 0.0


@define(eq=False)
class Upstream:
    """An upstream with a bounded queue.

    Attributes:
        work_s: Mean time that a request takes in a slot.
        area_s: Integral of the outstanding requests since the last summary.
        mean: Mean of the outstanding requests between the last two summaries.
    """

    key: tuple[str, int]
    work_s: float = 0.026
    is_alive: bool = True
    busy: int = 0
    queue: deque = field(factory=deque)
    area_s: float = 0.0
    mean: float = 0.0


class Instance:
    """An entry instance; it is the source of pools for its gate."""

    def __init__(self, load):
        self.outstanding_by_key = Counter()
        self.response_s = 0.0
        self.gate = AdmissionGate(
            load.clock, FlowAdmission(load.clock), WaitingFlows(load.clock), self
        )
        self._load = load

    def record_arrival(self, route):
        return SERVICE

    def outstanding(self, route):
        return self.outstanding_by_key.total()

    def pool_of(self, route, table, *, is_short=False):
        alive, response_s = self._load.alive(), self._load.response_s
        is_shared = self._load.has_view and response_s > 0.0
        pooled = (
            PooledUpstream(
                key=item.key, slots=SLOTS, outstanding=item.mean if is_shared else 0.0
            )
            for item in alive
        )
        return ServicePool(
            name=SERVICE,
            upstreams=tuple(pooled),
            share=1 / len(self._load.instances),
            outstanding=sum(self.outstanding_by_key[item.key] for item in alive),
            response_s=response_s if is_shared else self.response_s,
            is_shared=is_shared,
            queue_length=QUEUE_LENGTH,
        )

    def decide(self, packet):
        route = self._load.flows[packet.flow].route
        is_limited = self._load.is_limited
        held = self.gate.check(packet, route, None, False) if is_limited else None
        return held or Decision(Verdict.NEW_FLOW)

    def count_answer(self, upstream, response_s):
        self._load.responses_s.append(response_s)
        self.outstanding_by_key[upstream.key] -= 1
        self.response_s = self.response_s or response_s
        self.response_s += SMOOTHING * (response_s - self.response_s)


class AdmissionLoad:
    """Demand for a service at several instances, and what becomes of it.

    Args:
        has_view: Whether instances know the sums of the last summary.
        is_limited: Whether admission is on.

    Attributes:
        results: Number of flows by port of the route and by outcome.
        last_rejection_s: Time of the newest rejection by admission.
    """

    def __init__(self, *, instances, upstreams, has_view=True, is_limited=True, seed=1):
        self.clock = ManualClock()
        self.has_view = has_view
        self.is_limited = is_limited
        self.upstreams = [Upstream((f"i-{n}", 1)) for n in range(upstreams)]
        self.results = defaultdict(Counter)
        self.last_rejection_s = None
        self.flows = {}
        self.responses_s = []
        self.response_s = 0.0
        self.instances = [Instance(self) for _ in range(instances)]
        self._rng = random.Random(seed)
        self._numbers = itertools.count(1)
        self._events = []
        self._now_s = self.clock.monotonic_s

    def offer(self, route, rate_per_s, begin_s, end_s):
        """Add Poisson arrivals of a route, from and until a time since the start."""
        time_s = START_S + begin_s
        while (time_s := time_s + self._rng.expovariate(rate_per_s)) < START_S + end_s:
            self.at(time_s, self._arrive, route)

    def at(self, time_s, action, *arguments):
        heapq.heappush(self._events, (time_s, next(self._numbers), action, arguments))

    def run(self, duration_s):
        self.at(START_S, self._tick)
        self.at(START_S + SUMMARY_INTERVAL_S, self._summarize)
        while self._events and self._events[0][0] <= START_S + duration_s:
            time_s, _, action, arguments = heapq.heappop(self._events)
            elapsed_s = time_s - self._now_s()
            for upstream in self.upstreams:
                upstream.area_s += elapsed_s * (upstream.busy + len(upstream.queue))
            self.clock.jump(elapsed_s)
            action(*arguments)

    def alive(self):
        return [upstream for upstream in self.upstreams if upstream.is_alive]

    def _tick(self):
        self.at(self._now_s() + RELEASE_INTERVAL_S, self._tick)
        for instance in self.instances:
            for packet, decision in instance.gate.release(instance.decide):
                self._carry_out(packet, decision)

    def _summarize(self):
        self.at(self._now_s() + SUMMARY_INTERVAL_S, self._summarize)
        self.response_s = fmean(self.responses_s) if self.responses_s else 0.0
        self.responses_s.clear()
        for upstream in self.upstreams:
            upstream.mean, upstream.area_s = upstream.area_s / SUMMARY_INTERVAL_S, 0.0

    def _arrive(self, route):
        instance = self._rng.choice(self.instances)
        packet = caller_packet(next(self._numbers) % 60_000, is_syn=True)
        self.flows[packet.flow] = Flow(instance, route, self._now_s())
        self.results[route.port]["offered"] += 1
        self._carry_out(packet, instance.decide(packet))

    def _carry_out(self, packet, decision):
        flow = self.flows[packet.flow]
        results = self.results[flow.route.port]
        if decision.verdict is Verdict.SYN_WAITS:
            results["waited"] += 1
        elif decision.verdict is Verdict.NEW_FLOW:
            self._open(flow)
        else:
            results["rejected"] += 1
            self.last_rejection_s = self._now_s()

    def _open(self, flow):
        flow.opened_s = self._now_s()
        instance, alive = flow.instance, self.alive()
        upstream = min(
            self._rng.sample(alive, min(2, len(alive))),
            key=lambda item: instance.outstanding_by_key[item.key],
        )
        instance.outstanding_by_key[upstream.key] += 1
        if upstream.busy < SLOTS:
            self._work(upstream, flow)
        elif len(upstream.queue) < QUEUE_LENGTH:
            upstream.queue.append(flow)
        else:
            self.results[flow.route.port]["full"] += 1
            instance.count_answer(upstream, REJECTION_S)

    def _work(self, upstream, flow):
        upstream.busy += 1
        work_s = self._rng.expovariate(1 / upstream.work_s)
        self.at(self._now_s() + work_s, self._answer, upstream, flow)

    def _answer(self, upstream, flow):
        upstream.busy -= 1
        flow.instance.count_answer(upstream, self._now_s() - flow.opened_s)
        is_late = self._now_s() - flow.arrived_s > flow.route.aim_s
        self.results[flow.route.port]["late" if is_late else "in_time"] += 1
        if upstream.queue:
            self._work(upstream, upstream.queue.popleft())
