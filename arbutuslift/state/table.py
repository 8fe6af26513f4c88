"""Slot table of a service: order of preference over upstreams for each slot."""

import numpy as np
from attrs import frozen

from .hashing import hash_64

SLOT_COUNT = 4096


@frozen(order=True)
class WeightedUpstream:
    """An upstream eligible for new flows.

    Attributes:
        upstream_id: Its announced identity.
        weight: Its part of the new flows, relative to the others.
    """

    upstream_id: str
    weight: int


@frozen
class Generation:
    """A set of upstreams that was eligible for new flows, sorted by identity."""

    members: tuple[WeightedUpstream, ...]

    @classmethod
    def of(cls, members: list[WeightedUpstream]) -> "Generation":
        """Return the generation of the members in any order."""
        return cls(tuple(sorted(members)))


class SlotTable:
    """Weighted rendezvous hashing over a fixed number of slots.

    The order of a slot depends only on the service, the slot and each upstream's
    identity and weight, so adding or removing an upstream moves no slot between
    two others.

    Args:
        service: Name of the service.
        generation: The upstreams.
    """

    def __init__(self, service: str, generation: Generation) -> None:
        self.generation = generation
        self._ids = [member.upstream_id for member in generation.members]
        self._order = self._compute_order(service)

    def preference(self, slot: int) -> list[str]:
        """Return upstream identities of a slot, preferred first."""
        return [self._ids[index] for index in self._order[slot]]

    def primary(self, slot: int) -> str | None:
        """Return the preferred upstream of a slot."""
        return self._ids[self._order[slot, 0]] if self._ids else None

    def _compute_order(self, service: str) -> np.ndarray:
        if not self._ids:
            return np.empty((SLOT_COUNT, 0), dtype=np.uint16)
        scores = np.empty((SLOT_COUNT, len(self._ids)))
        for index, member in enumerate(self.generation.members):
            seed = hash_64(service.encode(), member.upstream_id.encode())
            scores[:, index] = np.log(_uniform(seed)) / member.weight
        return np.argsort(-scores, axis=1, kind="stable").astype(np.uint16)


def _uniform(seed: int) -> np.ndarray:
    """Return one number in (0, 1) per slot with the splitmix64 finalizer."""
    slots = np.arange(1, SLOT_COUNT + 1, dtype=np.uint64)
    value = np.uint64(seed) + slots * np.uint64(0x9E3779B97F4A7C15)
    value = (value ^ (value >> np.uint64(30))) * np.uint64(0xBF58476D1CE4E5B9)
    value = (value ^ (value >> np.uint64(27))) * np.uint64(0x94D049BB133111EB)
    value = value ^ (value >> np.uint64(31))
    return ((value >> np.uint64(11)).astype(np.float64) + 0.5) / 2.0**53
