"""Slot table of a service: order of preference over upstreams for each slot."""

import math
from collections.abc import Iterator

import numpy as np
from attrs import frozen

from .hashing import hash_64

SLOT_COUNT = 4096
# Headroom of the cap above an upstream's exact share. At 8 upstreams, a headroom of 0
# makes a change move 8% more slots than necessary, and with 0.05 the busiest upstream
# has 1.05 times its share.
HEADROOM = 0.02
MASK_64 = 2**64 - 1
GOLDEN_GAMMA = 0x9E3779B97F4A7C15
MIX_1 = 0xBF58476D1CE4E5B9
MIX_2 = 0x94D049BB133111EB


@frozen(order=True)
class WeightedUpstream:
    """An upstream eligible for new flows.

    Attributes:
        upstream_id: Its announced identity.
        weight: Its portion of the new flows, relative to the other members.
    """

    upstream_id: str
    weight: int


@frozen(cache_hash=True)
class Generation:
    """A set of upstreams that was eligible for new flows, sorted by identity."""

    members: tuple[WeightedUpstream, ...]

    @classmethod
    def of(cls, members: list[WeightedUpstream]) -> "Generation":
        """Return the generation of the members, given in any order."""
        return cls(tuple(sorted(members)))


class SlotTable:
    """Weighted rendezvous hashing over a fixed number of slots, with a cap.

    The scores of a slot depend only on the service, the slot and each upstream's
    identity and weight. The cap balances the load: at 8 upstreams the busiest has
    1.02 times its share instead of 1.07, at the cost that a change moves 3 to 5% more
    slots than necessary (``measure/balance.py``).

    Only the primaries are stored, in 4 KB or 8 KB per table, since complete preference
    orders for thousands of services with several generations each wouldn't fit in
    memory. The rest of an order is computed when a flow spills over.

    Args:
        service: Name of the service.
        generation: The upstreams.
    """

    def __init__(self, service: str, generation: Generation) -> None:
        self.generation = generation
        self._ids = [member.upstream_id for member in generation.members]
        self._seeds = [
            hash_64(service.encode(), upstream_id.encode()) for upstream_id in self._ids
        ]
        self._primaries: bytes | np.ndarray | None = None

    def preference_order(self, slot: int) -> Iterator[str]:
        """Yield the upstreams of a slot: the primary, then the others by score."""
        primary = self.primary(slot)
        if primary is None:
            return
        yield primary
        scores = {
            member.upstream_id: _score(seed, slot, member.weight)
            for seed, member in zip(self._seeds, self.generation.members, strict=True)
        }
        del scores[primary]
        yield from sorted(scores, key=scores.__getitem__, reverse=True)

    def primary(self, slot: int) -> str | None:
        """Return the preferred upstream of a slot, None in an empty table."""
        if not self._ids:
            return None
        if self._primaries is None:
            self._primaries = self._pack(assign_slots(self._seeds, self.generation))
        return self._ids[self._primaries[slot]]

    def _pack(self, primaries: np.ndarray) -> bytes | np.ndarray:
        if len(self._ids) <= 256:
            return primaries.astype(np.uint8).tobytes()
        return primaries.astype(np.uint16)


def assign_slots(seeds: list[int], generation: Generation) -> np.ndarray:
    """Return the index of the primary of each slot.

    Every slot proposes to the upstreams in the order of its scores. An upstream
    beyond its cap rejects the slots with the lowest scores, which then propose to
    their next upstream. The result is a stable matching, so it doesn't depend on the
    order of the proposals.

    Args:
        seeds: One seed per member.
        generation: The upstreams.
    """
    members = generation.members
    scores = np.stack(
        [
            slot_scores(seed, member.weight)
            for seed, member in zip(seeds, members, strict=True)
        ]
    )
    caps = slot_caps(generation)
    choice = scores.argmax(axis=0)
    while True:
        counts = np.bincount(choice, minlength=len(members))
        overfull = np.flatnonzero(counts > caps)
        if not len(overfull):
            return choice
        for index in overfull:
            held = np.flatnonzero(choice == index)
            excess = len(held) - caps[index]
            rejected = held[np.argsort(scores[index, held])[:excess]]
            scores[index, rejected] = -np.inf
            choice[rejected] = scores[:, rejected].argmax(axis=0)


def slot_caps(generation: Generation) -> np.ndarray:
    """Return the maximum number of slots of each upstream."""
    weights = np.array([member.weight for member in generation.members], dtype=float)
    return np.ceil(weights / weights.sum() * SLOT_COUNT * (1 + HEADROOM)).astype(int)


def slot_scores(seed: int, weight: int) -> np.ndarray:
    """Return the score of an upstream in every slot; the highest is preferred."""
    return np.log(_uniform(seed)) / weight


def _uniform(seed: int) -> np.ndarray:
    """Return a number in (0, 1) per slot, by the splitmix64 finalizer."""
    slots = np.arange(1, SLOT_COUNT + 1, dtype=np.uint64)
    value = np.uint64(seed) + slots * np.uint64(GOLDEN_GAMMA)
    value = (value ^ (value >> np.uint64(30))) * np.uint64(MIX_1)
    value = (value ^ (value >> np.uint64(27))) * np.uint64(MIX_2)
    value = value ^ (value >> np.uint64(31))
    return ((value >> np.uint64(11)).astype(np.float64) + 0.5) / 2.0**53


def _score(seed: int, slot: int, weight: int) -> float:
    """Return the score of one slot, as :func:`slot_scores` computes it."""
    value = (seed + (slot + 1) * GOLDEN_GAMMA) & MASK_64
    value = ((value ^ (value >> 30)) * MIX_1) & MASK_64
    value = ((value ^ (value >> 27)) * MIX_2) & MASK_64
    value ^= value >> 31
    return math.log(((value >> 11) + 0.5) / 2.0**53) / weight
