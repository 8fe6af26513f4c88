"""Entry instances, upstreams and callers of one service, without a network."""

import heapq
import itertools
import random
from collections import Counter, defaultdict, deque

from attrs import define, evolve, field

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.routing.admissiongate import (
    RELEASE_INTERVAL_S,
    AdmissionGate,
)
from arbutuslift.coordination.routing.flowadmission import FlowAdmission
from arbutuslift.coordination.routing.packetdecision import Decision, Verdict
from arbutuslift.coordination.routing.servicepool import PooledUpstream, ServicePool
from arbutuslift.coordination.routing.waitingflows import WaitingFlows

from ...builders import caller_packet

MAX_QUEUE = 8


@define(eq=False)
class Upstream:
    """An upstream with slots, a bounded queue and the work of a request."""

    pooled: PooledUpstream
    work_s: float = 0.026
    busy: int = 0
    queue: deque = field(factory=deque)
    is_alive: bool = True
    area_s: float = 0.0
    mean: float = 0.0


@define(eq=False)
class Instance:
    """An entry instance and what it sees."""

    gate: AdmissionGate = None
    outstanding: Counter = field(factory=Counter)
    response_s: float = 0.0


class Simulation:
    """A service at several instances; results are counted by route and outcome.

    Args:
        routes: Routes of the service.
        instances: Entry instances, among which arrivals are divided at random.
        upstreams: Upstreams with two slots each.
        has_view: Whether instances know what is outstanding at all of them, as it was
            at the last full second.
        is_limited: Whether admission is on.
    """

    def __init__(
        self, routes, *, instances=10, upstreams=6, has_view=True, seed=1, **changes
    ):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.has_view = has_view
        self.is_limited = changes.pop("is_limited", True)
        self.queue_length = changes.pop("queue_length", MAX_QUEUE)
        self.table = object()
        self.routes = routes
        self.upstreams = [
            Upstream(PooledUpstream(key=(f"i-{n}", 1), slots=2), **changes)
            for n in range(upstreams)
        ]
        self.instances = [self._instance() for _ in range(instances)]
        self.results = defaultdict(Counter)
        self.late_rejections = 0
        self._numbers = itertools.count(1)
        self._events = []
        self._response_s = 0.0
        self._answered = [0, 0.0]
        self._flow_of = {}

    def _instance(self):
        instance = Instance()
        sim = self

        class Pools:
            def record_arrival(self, route):
                return "a"

            def outstanding(self, route):
                return instance.outstanding.total()

            def pool_of(self, route, table, *, is_short=False):
                return sim._pool(instance)

        instance.gate = AdmissionGate(
            self.clock, FlowAdmission(self.clock), WaitingFlows(self.clock), Pools()
        )
        return instance

    def _pool(self, instance):
        is_shared = self.has_view and self._response_s > 0.0
        alive = tuple(
            evolve(item.pooled, outstanding=item.mean if is_shared else 0.0)
            for item in self.upstreams
            if item.is_alive
        )
        return ServicePool(
            name="a",
            upstreams=alive,
            share=1 / len(self.instances),
            outstanding=sum(instance.outstanding[item.key] for item in alive),
            response_s=self._response_s if is_shared else instance.response_s,
            is_shared=is_shared,
            queue_length=self.queue_length,
        )

    def at(self, time_s, action, *arguments):
        heapq.heappush(self._events, (time_s, next(self._numbers), action, arguments))

    @property
    def now_s(self):
        return self.clock.monotonic_s()

    def offer(self, route, rate_per_s, begin_s, end_s):
        """Add Poisson arrivals of a route, at times from the start."""
        time_s = 1000.0 + begin_s
        while (time_s := time_s + self.rng.expovariate(rate_per_s)) < 1000.0 + end_s:
            self.at(time_s, self._arrive, route)

    def run(self, duration_s):
        end_s = 1000.0 + duration_s
        self.at(self.now_s, self._tick)
        self.at(self.now_s + 1.0, self._publish)
        while self._events and self._events[0][0] <= end_s:
            time_s, _, action, arguments = heapq.heappop(self._events)
            elapsed_s = time_s - self.now_s
            for upstream in self.upstreams:
                count = upstream.busy + len(upstream.queue)
                upstream.area_s += elapsed_s * count
            self.clock.jump(elapsed_s)
            action(*arguments)

    def _tick(self):
        self.at(self.now_s + RELEASE_INTERVAL_S, self._tick)
        for instance in self.instances:
            for packet, decision in instance.gate.release(self._router(instance)):
                self._carry_out(instance, packet, decision)

    def _publish(self):
        """Share the figures of the last second."""
        self.at(self.now_s + 1.0, self._publish)
        answered, sum_s = self._answered
        self._response_s = sum_s / answered if answered else 0.0
        self._answered = [0, 0.0]
        for upstream in self.upstreams:
            upstream.mean, upstream.area_s = upstream.area_s, 0.0

    def _router(self, instance):
        def route(packet):
            if self.is_limited:
                held = instance.gate.check(
                    packet, self._flow_of[packet.flow][0], self.table, False
                )
                if held is not None:
                    return held
            return Decision(Verdict.NEW_FLOW)

        return route

    def _arrive(self, route):
        instance = self.rng.choice(self.instances)
        packet = caller_packet(next(self._numbers) % 60_000, is_syn=True)
        self._flow_of[packet.flow] = (route, self.now_s)
        self.results[route.port]["offered"] += 1
        decision = self._router(instance)(packet)
        if decision.verdict is Verdict.SYN_WAITS:
            self.results[route.port]["waited"] += 1
        else:
            self._carry_out(instance, packet, decision)

    def _carry_out(self, instance, packet, decision):
        route, arrived_s = self._flow_of[packet.flow]
        if decision.verdict is not Verdict.NEW_FLOW:
            self.results[route.port]["rejected"] += 1
            self.last_rejection_s = self.now_s
            return
        alive = [item for item in self.upstreams if item.is_alive]
        upstream = min(
            self.rng.sample(alive, min(2, len(alive))),
            key=lambda item: instance.outstanding[item.pooled.key],
        )
        flow = (instance, route, arrived_s, self.now_s)
        instance.outstanding[upstream.pooled.key] += 1
        if upstream.busy < upstream.pooled.slots:
            self._work(upstream, flow)
        elif len(upstream.queue) < MAX_QUEUE:
            upstream.queue.append(flow)
        else:
            # The upstream rejects, which looks like a fast answer.
            self.results[route.port]["full"] += 1
            self._count_answer(instance, upstream, 0.002)

    def _work(self, upstream, flow):
        upstream.busy += 1
        work_s = self.rng.expovariate(1 / upstream.work_s)
        self.at(self.now_s + work_s, self._answer, upstream, flow)

    def _answer(self, upstream, flow):
        instance, route, arrived_s, sent_s = flow
        upstream.busy -= 1
        self._count_answer(instance, upstream, self.now_s - sent_s)
        is_late = self.now_s - arrived_s > route.aim_s
        self.results[route.port]["late" if is_late else "in_time"] += 1
        if upstream.queue:
            self._work(upstream, upstream.queue.popleft())

    def _count_answer(self, instance, upstream, response_s):
        instance.outstanding[upstream.pooled.key] -= 1
        instance.response_s = instance.response_s or response_s
        instance.response_s += 0.1 * (response_s - instance.response_s)
        self._answered[0] += 1
        self._answered[1] += response_s
