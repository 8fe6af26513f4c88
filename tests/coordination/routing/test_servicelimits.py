"""Guards against limits of services that all instances together exceed."""

import random

import pytest
from attrs import evolve

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.routing.limitedadmission import (
    LimitedAdmission,
    ReportedUsage,
)
from arbutuslift.coordination.routing.limits import load_limit_plan_of
from arbutuslift.coordination.routing.servicelimits import (
    LimitOutcome,
    ServiceLimiter,
    ServiceUsage,
)
from arbutuslift.coordination.routing.services import ServiceTable
from arbutuslift.coordination.routing.slotrouter import SlotRouter, Verdict
from arbutuslift.protocol.document import DataCentre, Document
from arbutuslift.protocol.packets import decode
from arbutuslift.state.admission import UnlimitedAdmission
from arbutuslift.state.flows import FlowCache
from arbutuslift.state.shares import MAX_PROPAGATION_S, TRANSITION_S
from arbutuslift.state.upstreams import UpstreamView
from arbutuslift.transport.fabric import Address

from ... import builders

RATE = 20
CALLER = Address("127.0.0.9", 7400)
FLOW = decode(builders.syn()).flow_from_caller()


def plan(count=7, **limits):
    names = tuple(f"instance-{number}" for number in range(count))
    limits = limits or {"max_new_flows_per_s": RATE}
    return load_limit_plan_of(
        Document(
            services=(builders.service(**limits),),
            data_centres=(DataCentre(name="dc-1", instances=names),),
        )
    )


class Instances:
    """Limiters of instances that share a clock; ``usage`` is the same for all."""

    def __init__(self, count=7, **limits):
        self.clock = ManualClock()
        self.usage = ServiceUsage()
        self.limiters = {}
        for number in range(count):
            self.start(f"instance-{number}", plan(count, **limits))
        self.advance(1.0)

    def start(self, name, plan_, is_settled=True):
        limiter = ServiceLimiter(
            self.clock, name, lambda service: self.usage, lambda: list(self.limiters)
        )
        limiter.apply_plan(plan_, is_settled)
        self.limiters[name] = limiter
        return limiter

    def advance(self, duration_s):
        for _ in range(round(duration_s / 0.25)):
            self.clock.jump(0.25)
            for limiter in self.limiters.values():
                limiter.tick()

    def start_flows(self, per_instance=100):
        """Return how many flows all instances start under overload."""
        started = 0
        for limiter in self.limiters.values():
            for _ in range(per_instance):
                if limiter.decide("alerts").outcome == LimitOutcome.ADMIT:
                    limiter.record("alerts")
                    started += 1
        return started


@pytest.mark.parametrize("count", [1, 7, 33])
def test_all_instances_together_start_the_limit_in_any_second(count):
    instances = Instances(count)
    assert instances.start_flows() == RATE
    instances.advance(0.75)
    assert instances.start_flows() == 0
    instances.advance(0.25)
    assert instances.start_flows() == RATE


def test_the_share_of_a_killed_instance_stays_unused_and_its_restart_adds_nothing():
    instances = Instances()
    assert instances.start_flows() == RATE
    del instances.limiters["instance-3"]
    instances.advance(1.0)
    assert RATE * 6 // 7 - 1 <= instances.start_flows() < RATE
    instances.start("instance-3", plan())
    assert instances.start_flows() == 0
    instances.advance(1.0)
    assert instances.start_flows() == RATE


@pytest.mark.parametrize("seed", range(5))
def test_the_limit_holds_while_a_revision_spreads(seed):
    # Instances with different lists or limits in effect divide differently.
    rng = random.Random(seed)
    instances = Instances()
    limit = RATE
    for _ in range(6):
        new_limit, new_plan = RATE, plan(rng.randint(5, 9))
        if rng.random() < 0.5:
            new_limit = rng.randint(1, 40)
            new_plan = plan(7, max_new_flows_per_s=new_limit)
        waiting = list(instances.limiters.values())
        rng.shuffle(waiting)
        while waiting:
            assert instances.start_flows() <= max(limit, new_limit)
            waiting.pop().apply_plan(new_plan)
            instances.advance(0.5)
        instances.advance(1.0)
        assert instances.start_flows() <= max(limit, new_limit)
        limit = new_limit
        instances.advance(TRANSITION_S)


def test_a_limit_that_is_lifted_or_added_refuses_nothing_else():
    instances = Instances()
    instances.start_flows()
    for limiter in instances.limiters.values():
        limiter.apply_plan(plan(max_new_flows_per_s=0))
    assert instances.start_flows(10) == 70
    for limiter in instances.limiters.values():
        limiter.apply_plan(plan())
    instances.advance(1.0)
    assert instances.start_flows() == RATE


@pytest.mark.parametrize("gap_s", [3600.0, MAX_PROPAGATION_S + 1])
def test_a_suspended_instance_relays_until_it_knows_the_division(gap_s):
    instances = Instances()
    instances.clock.jump(gap_s)
    limiter = instances.limiters["instance-0"]
    assert limiter.decide("alerts").outcome == LimitOutcome.RELAY
    assert limiter.relay_target("alerts", FLOW) in instances.limiters
    instances.advance(MAX_PROPAGATION_S)
    assert limiter.decide("alerts").outcome == LimitOutcome.ADMIT


def test_an_instance_without_a_share_relays_to_one_that_is_alive_and_has_one():
    instances = Instances(max_new_flows_per_s=2)
    outcomes = {
        name: limiter.decide("alerts").outcome
        for name, limiter in instances.limiters.items()
    }
    sharing = [name for name in outcomes if outcomes[name] == LimitOutcome.ADMIT]
    assert len(sharing) == 2
    others = [name for name in outcomes if name not in sharing]
    targets = {instances.limiters[name].relay_target("alerts", FLOW) for name in others}
    assert len(targets) == 1
    assert targets < set(sharing)
    del instances.limiters[targets.pop()]
    target = instances.limiters[others[0]].relay_target("alerts", FLOW)
    assert target in sharing
    del instances.limiters[target]
    assert instances.limiters[others[0]].relay_target("alerts", FLOW) is None


def test_open_requests_stay_within_the_limit_between_reports():
    instances = Instances(max_open_requests=50)
    instances.usage = ServiceUsage(shared=30, unreported_s=3.0)
    assert instances.start_flows() == 20
    instances.advance(2.75)
    assert instances.start_flows() == 0
    instances.usage = ServiceUsage(shared=50, unreported_s=3.0)
    instances.advance(3.0)
    assert instances.start_flows() == 0
    instances.usage = ServiceUsage(shared=60, unreported_s=3.0)
    limiter = instances.limiters["instance-0"]
    assert limiter.decide("alerts").outcome == LimitOutcome.REJECT


def test_open_requests_of_instances_count_against_their_shares():
    instances = Instances(max_open_requests=70)
    instances.usage = ServiceUsage(own=9)
    decision = instances.limiters["instance-0"].decide("alerts")
    assert (decision.outcome, decision.share, decision.used) == ("admit", 10, 9)
    instances.usage = ServiceUsage(own=10)
    assert instances.limiters["instance-0"].decide("alerts").outcome == "reject"


def test_busy_slots_of_announcements_are_the_open_requests():
    clock = ManualClock()
    view = UpstreamView(clock)
    for number in (1, 2):
        view.merge(builders.upstream(number, busy_slots=2))
    view.merge(builders.upstream(3, busy_slots=2, service="claims"))
    usage = ReportedUsage(clock, view)
    clock.jump(1.0)
    assert usage("alerts") == evolve(usage("alerts"), shared=4)
    assert usage("alerts").unreported_s > 1.0
    assert usage("other").shared == 0


def make_router(clock, queue_fill=0.0, **limits):
    limiter = ServiceLimiter(clock, "instance-0")
    limiter.apply_plan(plan(1, **limits), is_settled=True)
    clock.jump(1.0)
    services = ServiceTable(clock, UpstreamView(clock))
    ordinary = builders.service(priority="ordinary")
    services.view.merge(builders.upstream())
    services.apply(builders.configuration(services=(ordinary,)))
    return SlotRouter(
        services,
        FlowCache(),
        admission=LimitedAdmission(UnlimitedAdmission(), limiter),
        queue_fill=lambda: queue_fill,
    )


def verdicts(router, count):
    return [
        router.route(decode(builders.syn(number)), CALLER).verdict
        for number in range(1, count + 1)
    ]


def test_the_router_refuses_what_is_over_the_limit_at_once():
    router = make_router(ManualClock(), max_new_flows_per_s=3)
    expected = [Verdict.NEW_FLOW] * 3 + [Verdict.LIMITED] * 2
    assert verdicts(router, 5) == expected
    # Flows over the limit leave no trace, and the open ones stay.
    assert len(router._flows) == 3


def test_a_service_with_a_guaranteed_share_is_not_shed_below_it():
    assert verdicts(make_router(ManualClock(), 0.8), 2) == [Verdict.SHED] * 2
    router = make_router(ManualClock(), 0.8, min_share_percent=30)
    assert verdicts(router, 2) == [Verdict.NEW_FLOW, Verdict.SHED]
