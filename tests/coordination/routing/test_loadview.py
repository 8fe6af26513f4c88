"""Guards against decisions by figures that are too old or count this instance twice."""

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.routing.loadview import LoadView

from ...builders import load_summary, service_load, upstream_load


def test_a_view_is_usable_for_three_seconds_after_an_answer():
    clock = ManualClock()
    view = LoadView(clock)
    assert not view.is_usable
    view.update(load_summary(instances=4))
    clock.jump(3.0)
    assert view.is_usable and view.instances == 4
    clock.jump(0.1)
    assert not view.is_usable and view.age_s > 3.0


def test_own_requests_are_subtracted_from_the_sum():
    """Guards against this instance counting its own requests twice."""
    view = LoadView(ManualClock())
    summed, own = upstream_load(1, outstanding=3.0), upstream_load(1, outstanding=1.0)
    view.update(load_summary(upstreams=(summed,)), (own,))
    key = (summed.upstream_id, summed.born_ms)
    assert view.upstream(key) == summed
    assert view.outstanding_elsewhere(key) == 2.0
    assert view.outstanding_elsewhere(("other", 1)) == 0.0


def test_a_summary_replaces_the_one_before():
    view = LoadView(ManualClock())
    view.update(load_summary(services=(service_load(),)))
    assert view.service("alerts", "dc-1") == service_load()
    view.update(load_summary())
    assert view.service("alerts", "dc-1") is None
