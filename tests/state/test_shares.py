"""Division of limits among instances."""

import pytest
from hypothesis import given, settings, strategies as st

from arbutuslift.clock import ManualClock
from arbutuslift.state.shares import (
    MAX_PREVIOUS_PLANS,
    TRANSITION_S,
    LimitPlan,
    NamedLimits,
    ShareCalculator,
    UpstreamLimits,
)

ADDRESSES = st.ip_addresses(v=4).map(str)


def plan(count, limit=10, names=None):
    names = names or [f"instance-{number}" for number in range(count)]
    limits = UpstreamLimits(cold_new_flows_per_s=limit)
    return LimitPlan(instances=tuple(names), services=(NamedLimits("alerts", limits),))


def cold_share(calculator, address="127.20.0.1"):
    return calculator.share(
        "alerts", address, lambda limits: limits.cold_new_flows_per_s
    )


@settings(derandomize=True, max_examples=200, deadline=None)
@given(ADDRESSES, st.integers(1, 40), st.integers(0, 100))
def test_shares_add_up_to_the_limit(address, count, total):
    divided = plan(count)
    shares = {name: divided.share(name, address, total) for name in divided.instances}
    assert sum(shares.values()) == total
    assert max(shares.values()) - min(shares.values()) <= 1
    with_share = {name for name, share in shares.items() if share}
    assert set(divided.instances_with_share(address, total)) == with_share


def test_shares_of_1500_instances_add_up_and_differ_between_upstreams():
    divided = plan(1500)
    holders = [
        frozenset(divided.instances_with_share(f"127.20.0.{n}", 10)) for n in range(20)
    ]
    assert {len(names) for names in holders} == {10}
    assert len(set(holders)) == 20


def test_instance_that_is_not_listed_has_no_share():
    calculator = ShareCalculator(ManualClock(), "instance-9")
    calculator.apply_plan(plan(9))
    assert cold_share(calculator) == 0


CHANGES = [
    pytest.param(plan(9), plan(18), id="more instances"),
    pytest.param(plan(18), plan(9), id="fewer instances"),
    pytest.param(
        plan(9), plan(9, names=[f"instance-{n}" for n in range(8, -1, -1)]), id="order"
    ),
    pytest.param(plan(9, limit=20), plan(9, limit=5), id="lower limit"),
]


@pytest.mark.parametrize(("old", "new"), CHANGES)
def test_mixture_of_two_plans_stays_within_the_larger_limit(old, new):
    # Instances put a revision in effect at different times within the transition.
    clock = ManualClock()
    names = set(old.instances) | set(new.instances)
    calculators = [ShareCalculator(clock, name) for name in sorted(names)]
    for calculator in calculators:
        calculator.apply_plan(old)
    limit = max(p.limits_of("alerts").cold_new_flows_per_s for p in (old, new))
    for calculator in calculators:
        for upstream_number in range(20):
            address = f"127.20.0.{upstream_number}"
            assert sum(cold_share(b, address) for b in calculators) <= limit
        calculator.apply_plan(new)
        clock.jump(TRANSITION_S / len(calculators))
    clock.jump(TRANSITION_S)
    expected = new.limits_of("alerts").cold_new_flows_per_s
    assert sum(cold_share(calculator) for calculator in calculators) == expected


def test_too_many_plan_changes_give_no_share_until_the_transition_ends():
    clock = ManualClock()
    calculator = ShareCalculator(clock, "instance-0")
    for count in range(1, MAX_PREVIOUS_PLANS + 3):
        calculator.apply_plan(plan(count, limit=1000))
    assert cold_share(calculator) == 0
    clock.jump(TRANSITION_S)
    assert cold_share(calculator) > 0
