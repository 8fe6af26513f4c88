"""Compares the slot table with a naive implementation."""

import heapq
import math

from hypothesis import given, settings, strategies as st

from arbutuslift.state.hashing import hash_64
from arbutuslift.state.slottable import (
    SLOT_COUNT,
    Generation,
    SlotTable,
    WeightedUpstream,
)

MASK = 2**64 - 1

generations = st.dictionaries(
    st.text("0123456789abcdef", min_size=1, max_size=8),
    st.integers(1, 1000),
    max_size=9,
).map(lambda weights: Generation.of([WeightedUpstream(*i) for i in weights.items()]))


def naive_score(member, slot):
    state = hash_64(b"alerts", member.upstream_id.encode())
    value = (state + (slot + 1) * 0x9E3779B97F4A7C15) & MASK
    value = (value ^ value >> 30) * 0xBF58476D1CE4E5B9 & MASK
    value = (value ^ value >> 27) * 0x94D049BB133111EB & MASK
    uniform = (((value ^ value >> 31) >> 11) + 0.5) / 2**53
    return math.log(uniform) / member.weight


def naive_order(generation, slot):
    def score(member):
        return naive_score(member, slot)

    return [m.upstream_id for m in sorted(generation.members, key=score, reverse=True)]


def naive_primaries(generation):
    """Assign one slot at a time; a rejected slot proposes to its next upstream."""
    total = sum(member.weight for member in generation.members)
    members = {member.upstream_id: member for member in generation.members}
    caps = {
        i: math.ceil(m.weight / total * SLOT_COUNT * 1.02) for i, m in members.items()
    }
    held = {upstream_id: [] for upstream_id in members}
    waiting = [
        (slot, iter(naive_order(generation, slot))) for slot in range(SLOT_COUNT)
    ]
    while waiting:
        slot, choices = waiting.pop()
        upstream_id = next(choices)
        score = naive_score(members[upstream_id], slot)
        heapq.heappush(held[upstream_id], (score, slot, choices))
        if len(held[upstream_id]) > caps[upstream_id]:
            waiting.append(heapq.heappop(held[upstream_id])[1:])
    return {slot: i for i, rows in held.items() for _, slot, _ in rows}


@settings(derandomize=True, deadline=None, max_examples=12)
@given(generations.filter(lambda generation: generation.members))
def test_table_equals_the_naive_table(generation):
    # Guards against instances that compute different tables and so send one flow to
    # two upstreams.
    table = SlotTable("alerts", generation)
    primaries = naive_primaries(generation)
    assert [table.primary(slot) for slot in range(SLOT_COUNT)] == [
        primaries[slot] for slot in range(SLOT_COUNT)
    ]
    for slot in range(0, SLOT_COUNT, 101):
        others = naive_order(generation, slot)
        others.remove(primaries[slot])
        assert list(table.preference_order(slot)) == [primaries[slot], *others]


def test_empty_table_has_no_primary():
    table = SlotTable("alerts", Generation(()))
    assert table.primary(0) is None
    assert list(table.preference_order(0)) == []


def test_removal_moves_few_slots_of_other_upstreams():
    # Packets of open flows in a moved slot must be copied to several upstreams. Only
    # the cap makes slots of the remaining upstreams move.
    members = [WeightedUpstream(f"u{number}", 100) for number in range(8)]
    before = SlotTable("alerts", Generation.of(members))
    after = SlotTable("alerts", Generation.of(members[1:]))
    moved = sum(
        before.primary(slot) not in ("u0", after.primary(slot))
        for slot in range(SLOT_COUNT)
    )
    assert moved < 0.02 * SLOT_COUNT
