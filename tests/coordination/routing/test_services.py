"""Guards against candidates of a slot that lag behind generations and marks."""

import pytest

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.routing.services import ServiceTable
from arbutuslift.protocol.packets import decode
from arbutuslift.state.generations import RETENTION_S, GenerationRecord
from arbutuslift.state.slottable import WeightedUpstream
from arbutuslift.state.spillovermarks import SpilloverMark
from arbutuslift.state.upstreams import UpstreamState, UpstreamView

from ... import builders

RECORDS = [builders.upstream(number) for number in (1, 2, 3)]
FLOWS = [decode(builders.syn(number)).key_from_caller() for number in range(50)]


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def services(clock):
    table = ServiceTable(clock, UpstreamView())
    table.is_history_known = True
    for record in RECORDS[:2]:
        table.view.merge(record)
    table.apply(builders.configuration())
    table.view.merge(RECORDS[2])
    return table


def candidates(services):
    return [
        [
            r.upstream_id
            for r in services.candidates(
                services.find_by_endpoint(flow[6:]), flow, None
            )
        ]
        for flow in FLOWS
    ]


def members(*records):
    return tuple(WeightedUpstream(record.upstream_id, 100) for record in records)


def merge_generation(services):
    record = GenerationRecord(
        service="alerts", members=members(RECORDS[2]), last_used_at_s=1000.0
    )
    assert services.merge_generation(record)


def merge_spillover_mark(services):
    mark = SpilloverMark(upstream_id=RECORDS[0].upstream_id, marked_at_s=1000.0)
    assert services.merge_spillover_mark(mark)


@pytest.mark.parametrize(
    "change",
    [
        lambda services: services.refresh_service("alerts"),
        lambda services: services.mark_spillover(RECORDS[0].upstream_id),
        merge_generation,
        merge_spillover_mark,
    ],
)
def test_change_adds_candidates_at_once(services, change):
    # Candidates are cached by slot; a stale list could miss the holder of a flow.
    before = candidates(services)
    change(services)
    assert candidates(services) != before


def test_candidates_expire_with_their_generation(clock, services):
    services.refresh_service("alerts")
    draining = builders.upstream(1, sequence=2, state=UpstreamState.DRAINING)
    services.view.merge(draining)
    services.refresh_service("alerts")
    assert any(draining.upstream_id in ids for ids in candidates(services))
    clock.jump(RETENTION_S + 1.0)
    services.expire()
    assert not any(draining.upstream_id in ids for ids in candidates(services))


def test_generations_are_merged_by_another_instance(clock, services):
    received = []
    services.on_change.append(received.append)
    services.refresh_service("alerts")
    assert [record.members for record in received] == [members(*RECORDS)]
    other = ServiceTable(clock, UpstreamView())
    assert not any(map(other.merge_generation, services.generation_records()))
    other.apply(builders.configuration())
    assert all(map(other.merge_generation, services.generation_records()))


def test_generation_with_a_weight_of_zero_is_refused(services):
    record = GenerationRecord(
        service="alerts", members=(WeightedUpstream("u", 0),), last_used_at_s=1000.0
    )
    assert not services.merge_generation(record)
