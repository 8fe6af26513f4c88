"""Announcements: validation and effect on the view."""

import pytest

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.dissemination.registrar import (
    MAX_CLOCK_AHEAD_S,
    Registrar,
)
from arbutuslift.coordination.routing.services import ServiceTable
from arbutuslift.errors import AnnouncementError
from arbutuslift.state.upstreams import UpstreamState, UpstreamView

from ... import builders


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def services(clock):
    table = ServiceTable(clock, UpstreamView(clock))
    table.apply(builders.configuration())
    return table


@pytest.fixture
def registrar(services, clock):
    return Registrar(services, clock)


def eligible(services):
    routes = services.find_by_endpoint(builders.SERVICE_KEY)
    members = routes.history.current.generation.members
    return [member.upstream_id for member in members]


def test_every_faulty_field_is_listed(registrar):
    content = builders.announcement(port=0, state="gone", extra=1, weight="a" * 9000)
    del content["name"]
    with pytest.raises(AnnouncementError) as caught:
        registrar.accept(content)
    faults = caught.value.message
    for field in ("port: ", "state: ", "'extra'", "weight: ", "'name'"):
        assert field in faults
    assert len(faults) < 1200


OUT_OF_RANGE = {
    "weight": [0, 10_001, 1.5, True],
    "port": [0, 65536],
    "sequence": [0, 2**63],
    "started_at_s": [-1, 1e30],
    "upstream_id": ["A" * 32, "a" * 31, "a" * 32 + "\n"],
    "address": ["1.2.3.256", "1.2.3", "1.2.3.4\n", "01.2.3.4"],
    "name": ["", "a b", "a\n", "a" * 129],
    "work_kinds": ["alerts", [1], ["a"] * 33],
    "state": [2, "gone"],
}


@pytest.mark.parametrize("field", OUT_OF_RANGE)
def test_value_out_of_range_is_refused(registrar, services, field):
    # A weight of 0, for example, would divide by zero in the slot table.
    for value in OUT_OF_RANGE[field]:
        with pytest.raises(AnnouncementError, match=field):
            registrar.accept(builders.announcement(**{field: value}))
    assert list(services.view) == []


def test_leaving_upstream_gets_no_new_flows(registrar, services):
    registrar.accept(builders.announcement())
    assert eligible(services) == [builders.upstream().upstream_id]
    registrar.accept(builders.announcement(sequence=2, state="leaving"))
    assert eligible(services) == []
    registrar.accept(builders.announcement(sequence=1))
    registrar.accept(builders.announcement(sequence=3, state="ready"))
    assert eligible(services) == []


def test_update_from_gossip_refreshes_the_slot_table(registrar, services):
    services.view.merge(builders.upstream())
    assert eligible(services) == [builders.upstream().upstream_id]
    services.view.merge(builders.upstream(sequence=2, state=UpstreamState.DRAINING))
    assert eligible(services) == []


def test_start_ahead_of_the_clock_is_refused(registrar, services, clock):
    start_s = clock.wall_s() + MAX_CLOCK_AHEAD_S + 1.0
    with pytest.raises(AnnouncementError, match="started_at_s"):
        registrar.accept(builders.announcement(started_at_s=start_s))
    assert list(services.view) == []


def test_identity_cannot_move_to_another_address(registrar, services):
    registrar.accept(builders.announcement())
    with pytest.raises(AnnouncementError, match="upstream_id"):
        registrar.accept(builders.announcement(sequence=2, address="127.20.0.9"))
    assert [r.address for r in services.view] == [builders.upstream().address]


def test_announcement_that_gossip_overtook_counts_as_received(
    registrar, services, clock
):
    # An upstream announces itself to two instances. An update from the other one may
    # arrive first; this instance must still apply the announcement time-out.
    services.view.merge(builders.upstream(sequence=2))
    registrar.accept(builders.announcement(sequence=2))
    upstream_id = builders.upstream().upstream_id
    assert registrar.received_at_s(upstream_id) == clock.monotonic_s()
    services.view.mark_timed_out(upstream_id)
    assert registrar.received_at_s(upstream_id) is None
