"""Guards against limits of the document that admission doesn't receive."""

from arbutuslift.coordination.routing.limits import limit_plan_of, load_limit_plan_of

from ... import builders


def test_limits_of_a_service_are_those_of_the_document():
    # A limit that isn't copied would silently get its default.
    limits = {
        "max_connections": 1500,
        "slots": 5,
        "cold_new_flows_per_s": 7,
        "warm_up_s": 12.0,
    }
    document = builders.document(services=(builders.service(**limits),))
    (service,) = limit_plan_of(document).services
    assert {name: getattr(service.limits, name) for name in limits} == limits


def test_load_limits_of_a_service_are_those_of_the_document():
    limits = {
        "max_new_flows_per_s": 100,
        "max_open_requests": 50,
        "min_share_percent": 20,
    }
    document = builders.document(services=(builders.service(**limits),))
    (service,) = load_limit_plan_of(document).services
    assert {name: getattr(service.limits, name) for name in limits} == limits
