"""Guards against wrong demand and capacity in what data centres report."""

import pytest

from arbutuslift.coordination.routing.centreloads import estimate_centre_loads

from ...builders import service_load

# 100 requests a second of 50 ms at 10 upstreams: no waits.
QUIET = {
    "upstreams": 10,
    "slots": 20,
    "outstanding": 5.0,
    "demand_outstanding": 5.0,
    "arrivals_per_s": 100.0,
    "response_ms": 50.0,
}


def test_rate_and_capacity_follow_from_outstanding_and_response_time():
    (load,) = estimate_centre_loads([service_load(**QUIET)])
    assert load.rate_per_s == pytest.approx(100.0)
    # 20 slots of 50 ms.
    assert load.capacity_per_s == pytest.approx(400.0, rel=0.1)
    assert load.wait_s < 0.01


def test_the_estimate_does_not_depend_on_the_order_of_rows():
    rows = [service_load(**QUIET), service_load(**QUIET | {"data_centre": "dc-2"})]
    assert estimate_centre_loads(rows) == estimate_centre_loads(rows[::-1])


def test_without_response_times_nothing_is_estimated():
    assert estimate_centre_loads([service_load(slots=20)]) == ()


def test_a_data_centre_out_of_service_has_no_capacity():
    (load,) = estimate_centre_loads([service_load(**QUIET)], frozenset({"dc-1"}))
    assert load.capacity_per_s == 0.0
    assert load.rate_per_s == pytest.approx(100.0)


def test_attempts_of_rejected_callers_are_not_each_counted_as_demand():
    row = service_load(**QUIET | {"arrivals_per_s": 160.0, "rejected_per_s": 60.0})
    (load,) = estimate_centre_loads([row])
    assert load.rate_per_s == pytest.approx(120.0)
