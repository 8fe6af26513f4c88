"""Guards against sums of load that miss, repeat or misplace reports."""

import pytest
from attrs import evolve

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.dissemination.loadregistry import (
    MAX_INSTANCES,
    MAX_SUMMARY_UPSTREAMS,
    LoadRegistry,
)
from arbutuslift.coordination.dissemination.loadsums import UpstreamSums
from arbutuslift.coordination.dissemination.startregistry import StartRegistry
from arbutuslift.errors import MessageError
from arbutuslift.protocol.loads import MAX_VALUE, LoadTotals, compress

from ...builders import (
    load_report,
    load_summary,
    service_demand,
    service_load,
    start,
    upstream_load,
)


class Control:
    """A control instance that knows start 1 in dc-1 and start 2 in dc-2."""

    def __init__(self):
        self.clock = ManualClock()
        self.starts = StartRegistry(self.clock, 1.0, lambda: None)
        self.starts.announce(start(1, slots=2))
        self.starts.announce(start(2, slots=2, data_centre="dc-2"))
        self.registry = LoadRegistry(self.clock, self.starts)

    def report(self, peer, sequence=1, **changes):
        return self.registry.receive(peer, load_report(sequence, **changes))

    def row(self, data_centre="dc-1"):
        self.clock.jump(0.11)
        rows = {row.data_centre: row for row in self.registry.services()}
        return rows.get(data_centre)


def test_reports_of_all_instances_are_added_up():
    control = Control()
    load = upstream_load(1, outstanding=0.5, answered=2, response_sum_ms=200)
    control.report("a", upstreams=(load,), services=(service_demand(outstanding=0.5),))
    summary = control.report("b", upstreams=(load,), interval_ms=500)
    assert summary.instances == 2
    (total,) = summary.upstreams
    assert total == evolve(
        load, open_flows=2, outstanding=1.0, answered=4, response_sum_ms=400
    )
    row = control.row()
    assert (row.upstreams, row.slots, row.outstanding) == (1, 2, 1.0)
    assert (row.demand_outstanding, row.arrivals_per_s) == (0.5, 1.0)
    assert row.response_ms == 100.0


def test_a_new_report_replaces_the_one_before():
    control = Control()
    control.report("a", 1, upstreams=(upstream_load(1, outstanding=2.0),))
    summary = control.report("a", 2, upstreams=(upstream_load(1, outstanding=1.0),))
    assert [load.outstanding for load in summary.upstreams] == [1.0]
    assert control.report("a", 3).upstreams == ()


def test_a_report_counts_for_three_seconds():
    """Guards against load of an instance that was killed."""
    control = Control()
    control.report("a", upstreams=(upstream_load(1, outstanding=2.0),))
    control.clock.jump(3.1)
    summary = control.report("b")
    assert (summary.instances, summary.upstreams) == (1, ())


def test_rates_are_per_second_of_the_reported_interval():
    """Guards against a demand that doubles because a report covers two seconds."""
    control = Control()
    demand = service_demand(arrivals=10, rejected=4, remote=2)
    control.report("a", interval_ms=2000, services=(demand,))
    row = control.row()
    rates = (row.arrivals_per_s, row.rejected_per_s, row.remote_per_s)
    assert rates == (5.0, 2.0, 1.0)


@pytest.mark.parametrize(
    ("changes", "outcome"),
    [
        ({"interval_ms": 0}, "malformed"),
        ({"interval_ms": -1}, "malformed"),
        ({"sequence": -1}, "malformed"),
        ({"data_centre": ""}, "malformed"),
        ({"upstreams": (upstream_load(1, outstanding=-0.1),)}, "malformed"),
        ({"upstreams": (upstream_load(1, answered=2**70),)}, "malformed"),
        ({"services": (service_demand(arrivals=-1),)}, "malformed"),
        ({"services": (service_demand(service="x" * 300),)}, "malformed"),
        ({"data_centre": "dc-2", "sequence": 6}, "data_centre"),
        ({"sequence": 5}, "old"),
        ({"sequence": 4}, "old"),
    ],
)
def test_a_bad_report_is_refused_and_counted(changes, outcome):
    control = Control()
    control.report("a", 5, upstreams=(upstream_load(1, outstanding=1.0),))
    report = load_report(**({"sequence": 6} | changes))
    with pytest.raises(MessageError):
        control.registry.receive("a", report)
    assert control.registry.outcomes == {"accepted": 1, outcome: 1}
    assert control.row().outstanding == 1.0


def test_the_sums_of_the_largest_values_can_be_encoded():
    """Guards against a handler that fails because a sum exceeds 64 bits."""
    sums = UpstreamSums()
    for _ in range(MAX_INSTANCES):
        sums.add((upstream_load(1, answered=MAX_VALUE, response_sum_ms=MAX_VALUE),))
    compress(load_summary(upstreams=(sums.load(start(1).key),)))


def test_an_unknown_upstream_counts_for_its_reporter_only():
    """Guards against rows of a start that control doesn't know, or born later."""
    control = Control()
    loads = (upstream_load(9, outstanding=1.0), upstream_load(1, born_ms=2**47))
    assert len(control.report("a", upstreams=loads).upstreams) == 2
    assert control.report("b").upstreams == ()
    assert control.row().outstanding == 0.0


def test_after_a_clock_step_back_a_restarted_instance_is_heard_again():
    control = Control()
    control.report("a", 1_000_000)
    control.clock.jump(3.1)
    assert control.report("a", 500).instances == 1


def test_rows_of_other_controls_complete_the_view_and_expire():
    control, other = Control(), Control()
    other.report("b", data_centre="dc-2", services=(service_demand(arrivals=3),))
    control.registry.receive_totals("other", other.registry.totals(), ("other",))
    control.report("a", upstreams=(upstream_load(2, outstanding=0.5),))
    row = control.row("dc-2")
    assert (row.slots, row.arrivals_per_s, row.outstanding) == (2, 3.0, 0.5)
    assert row.age_ms == 110
    control.clock.jump(3.1)
    assert control.row("dc-2") is None


def test_a_data_centre_without_reports_has_no_row():
    """Guards against the demand of a data centre that is cut off counting as none."""
    control = Control()
    control.report("a", upstreams=(upstream_load(2, outstanding=0.5),))
    assert control.row("dc-1") is not None
    assert control.row("dc-2") is None


def test_two_controls_with_reports_of_one_data_centre_are_not_added_up():
    """Guards against twice the demand after reports move to another control."""
    control = Control()
    control.report("a", services=(service_demand(arrivals=2),))
    rows = (service_load(arrivals_per_s=5.0, outstanding=1.0, age_ms=900),)
    control.registry.receive_totals("other", LoadTotals(services=rows), ("other",))
    row = control.row()
    assert (row.arrivals_per_s, row.outstanding, row.age_ms) == (5.0, 1.0, 1010)


def test_totals_that_are_malformed_or_of_a_stranger_are_refused():
    control = Control()
    rows = LoadTotals(services=(service_load(age_ms=-1),))
    for peer in ("other", "stranger"):
        with pytest.raises(MessageError):
            control.registry.receive_totals(peer, rows, ("other",))
    assert control.registry.outcomes == {"malformed": 1, "unknown_sender": 1}


def test_a_summary_has_the_reported_and_the_busiest_upstreams():
    """Guards against traffic that grows with instances times upstreams."""
    control = Control()
    for number in range(3, 203):
        control.starts.announce(start(number, ip=f"127.21.0.{number}"))
    loads = tuple(upstream_load(n, outstanding=n / 10) for n in range(3, 203))
    control.report("a", upstreams=loads)
    reported = (upstream_load(3, outstanding=0.0), upstream_load(4, outstanding=0.0))
    summary = control.report("b", upstreams=reported)
    numbers = {int(load.upstream_id[2:], 16) for load in summary.upstreams}
    busiest = set(range(203 - (MAX_SUMMARY_UPSTREAMS - 2), 203))
    assert numbers == {3, 4} | busiest
