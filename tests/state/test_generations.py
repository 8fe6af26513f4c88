"""Generations: retention, exchange and the bound on their number."""

from attrs import evolve

from arbutuslift.state.generations import RETENTION_S, GenerationHistory
from arbutuslift.state.slottable import Generation, WeightedUpstream


def generation(*numbers):
    return Generation.of([WeightedUpstream(f"u{n}", 100) for n in numbers])


def generations_in(history):
    return {table.generation for table in history.tables()}


def test_merge_transfers_every_generation_to_another_instance():
    left, right = GenerationHistory("alerts"), GenerationHistory("alerts")
    left.set_current(generation(1, 2), 0.0)
    left.set_current(generation(2), 10.0)
    right.set_current(generation(1), 10.0)
    assert [right.merge(record, 20.0) for record in left.records(20.0)] == [True] * 2
    assert generations_in(right) == {generation(1, 2), generation(2), generation(1)}
    assert not any(right.merge(record, 20.0) for record in left.records(20.0))


def test_retention_starts_at_the_last_use():
    history = GenerationHistory("alerts")
    history.set_current(generation(1, 2), 0.0)
    history.set_current(generation(2), 1000.0)
    history.expire(1000.0 + RETENTION_S)
    assert generation(1, 2) in generations_in(history)
    history.expire(1001.0 + RETENTION_S)
    assert generations_in(history) == {generation(2)}


def test_time_in_the_future_does_not_extend_retention():
    history = GenerationHistory("alerts")
    other = GenerationHistory("alerts")
    other.set_current(generation(1), 0.0)
    [record] = other.records(0.0)
    history.merge(evolve(record, last_used_at_s=1e12), 0.0)
    history.expire(RETENTION_S + 1.0)
    assert generation(1) not in generations_in(history)


def test_members_of_evicted_generations_remain_candidates_of_every_slot():
    # If the members of an evicted generation weren't retained, the idle flows that it
    # assigned would be lost.
    history = GenerationHistory("alerts", max_generations=3)
    for number in range(10):
        history.set_current(generation(number), float(number))
    assert len(history.tables()) == 3
    assert set(history.every_slot_upstreams()) == {f"u{n}" for n in range(7)}
    other = GenerationHistory("alerts", max_generations=3)
    for record in history.records(9.0):
        other.merge(record, 9.0)
    ids = {member.upstream_id for g in generations_in(other) for member in g.members}
    assert ids | set(other.every_slot_upstreams()) == {f"u{n}" for n in range(10)}
    history.expire(RETENTION_S + 7.5)
    assert list(history.every_slot_upstreams()) == []
