"""Slot table against a naive table."""

import math

from hypothesis import given, settings, strategies as st

from arbutuslift.state.hashing import hash_64
from arbutuslift.state.table import SLOT_COUNT, Generation, SlotTable, WeightedUpstream

MASK = 2**64 - 1

generations = st.dictionaries(
    st.text("0123456789abcdef", min_size=1, max_size=8),
    st.integers(1, 1000),
    max_size=9,
).map(lambda weights: Generation.of([WeightedUpstream(*i) for i in weights.items()]))


def naive_order(generation, slot):
    """Order of a slot by the definition, one number at a time."""

    def score(member):
        state = hash_64(b"alerts", member.upstream_id.encode())
        value = (state + (slot + 1) * 0x9E3779B97F4A7C15) & MASK
        value = (value ^ value >> 30) * 0xBF58476D1CE4E5B9 & MASK
        value = (value ^ value >> 27) * 0x94D049BB133111EB & MASK
        uniform = (((value ^ value >> 31) >> 11) + 0.5) / 2**53
        return math.log(uniform) / member.weight

    ordered = sorted(generation.members, key=score, reverse=True)
    return [member.upstream_id for member in ordered]


@settings(derandomize=True, deadline=None, max_examples=60)
@given(generations, st.integers(0, SLOT_COUNT - 1))
def test_order_equals_the_naive_order(generation, slot):
    # Instances that disagree about an order send a flow to two upstreams.
    table = SlotTable("alerts", generation)
    expected = naive_order(generation, slot)
    assert list(table.preference(slot)) == expected
    assert table.primary(slot) == (expected[0] if expected else None)


@settings(derandomize=True, deadline=None, max_examples=20)
@given(generations.filter(lambda generation: len(generation.members) > 1))
def test_removal_moves_only_the_slots_of_the_removed_upstream(generation):
    removed, *others = generation.members
    before = SlotTable("alerts", generation)
    after = SlotTable("alerts", Generation.of(others))
    for slot in range(0, SLOT_COUNT, 17):
        if before.primary(slot) != removed.upstream_id:
            assert after.primary(slot) == before.primary(slot)
