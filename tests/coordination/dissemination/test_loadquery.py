"""Guards against load that operators see wrong, or of which they see no age."""

import pytest

from arbutuslift import api
from arbutuslift.clock import ManualClock
from arbutuslift.coordination.dissemination.announcedload import announced_load
from arbutuslift.coordination.dissemination.loadserver import LoadServer
from arbutuslift.coordination.dissemination.startregistry import StartRegistry
from arbutuslift.protocol.channel import Channel
from arbutuslift.state.upstreams import UpstreamState, UpstreamView
from arbutuslift.transport.bus import MemoryNetwork

from ... import builders
from ...fakes import run_until_done


class Harness:
    """A control instance that gets reports, and an operator's client."""

    def __init__(self):
        self.clock = ManualClock()
        network = MemoryNetwork(self.clock)
        starts = StartRegistry(self.clock, 1.0, lambda: None)
        starts.announce(builders.start())
        server = LoadServer(
            Channel(network.bus("c1")), self.clock, starts, controls=tuple
        )
        self.registry = server.registry
        self.session = api.Session(
            channel=Channel(network.bus("operator-ana")),
            clock=self.clock,
            servers=("c1",),
            timeout_s=1.0,
            author="ana",
        )

    async def fetch(self, service="", data_centre="", limit=10):
        call = api.fetch_load(
            self.session, service=service, data_centre=data_centre, limit=limit
        )
        return await run_until_done(self.clock, call)


@pytest.fixture
def harness():
    return Harness()


async def test_a_control_instance_answers_from_the_reports(harness):
    demand = builders.service_demand(arrivals=8, rejected=2, remote=1)
    harness.registry.receive("e1", builders.load_report(services=(demand,)))
    await harness.clock.advance(1.0)
    shown = await harness.fetch()
    (row,) = shown.rows
    assert shown.is_demand_known
    assert (row.service, row.data_centre) == ("alerts", "dc-1")
    assert (row.arrivals_per_s, row.rejected_per_s, row.remote_per_s) == (8, 2, 1)
    assert row.upstreams == 1
    assert row.age_ms >= 1000


async def test_rows_are_selected_and_counted(harness):
    demands = tuple(builders.service_demand(service=name) for name in ("b", "a", "c"))
    harness.registry.receive("e1", builders.load_report(services=demands))
    shown = await harness.fetch(limit=2)
    assert [row.service for row in shown.rows] == ["a", "alerts"]
    assert shown.rows_total == 4
    assert [row.service for row in (await harness.fetch("c")).rows] == ["c"]
    assert (await harness.fetch(data_centre="dc-9")).rows == ()
    assert (await harness.fetch(limit=-1)).rows == ()


async def test_without_reports_there_are_no_rows(harness):
    # Reports that stopped are not shown as current.
    harness.registry.receive("e1", builders.load_report())
    await harness.clock.advance(4.0)
    shown = await harness.fetch()
    assert shown.rows == ()
    assert not shown.is_demand_known


def test_announcements_give_capacity_and_open_requests_but_no_demand():
    clock = ManualClock()
    view = UpstreamView(clock)
    view.merge(builders.upstream(1, data_centre="dc-1", busy_slots=2))
    clock.jump(2.0)
    draining = UpstreamState.DRAINING
    view.merge(builders.upstream(2, data_centre="dc-1", busy_slots=1, state=draining))
    known = announced_load(clock, view, builders.document())
    (row,) = known.rows
    assert not known.is_demand_known
    assert (row.upstreams, row.slots, row.outstanding) == (1, 2, 3.0)
    assert row.age_ms == 2000
