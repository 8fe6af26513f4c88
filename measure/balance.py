"""Compares ways to build slot tables: balance, disruption on change, and build time.

"Busiest over mean" is the highest ratio of an upstream's slots to the slots that its
weight entitles it to. Disruption is the fraction of slots that move, over the fraction
that has to move.
"""

import random
import time
from collections.abc import Callable

import numpy as np
from attrs import evolve, frozen

from arbutuslift.state.hashing import hash_64
from arbutuslift.state.slottable import (
    SLOT_COUNT,
    Generation,
    WeightedUpstream,
    assign_slots,
    slot_scores,
)

from .result import Measure

SIZES = (3, 8, 16, 64)
SERVICES = 2_100
SERVICE_UPSTREAMS = 8
TABLES = 40
SEED = 1

Builder = Callable[[str, Generation], np.ndarray]


def rendezvous(service: str, generation: Generation) -> np.ndarray:
    """Return the index of the primary of each slot by the highest score."""
    members = generation.members
    scores = [slot_scores(_seed(service, m), m.weight) for m in members]
    return np.argmax(scores, axis=0)


def capped_rendezvous(service: str, generation: Generation) -> np.ndarray:
    """Return the index of the primary of each slot, as :func:`assign_slots` does."""
    seeds = [_seed(service, member) for member in generation.members]
    return assign_slots(seeds, generation)


def maglev(service: str, generation: Generation) -> np.ndarray:
    """Fill the slots in turn, each upstream in the order of its own permutation."""
    members = generation.members
    table = np.full(SLOT_COUNT, -1)
    permutations = []
    for member in members:
        seed = _seed(service, member)
        # An odd step visits every slot, since their number is a power of two.
        step = (seed >> 12) % (SLOT_COUNT // 2) * 2 + 1
        start = seed % SLOT_COUNT
        permutations.append((start + step * np.arange(SLOT_COUNT)) % SLOT_COUNT)
    next_positions = [0] * len(members)
    credit = np.zeros(len(members))
    max_weight = max(member.weight for member in members)
    rates = [member.weight / max_weight for member in members]
    filled = 0
    while True:
        for index in range(len(members)):
            credit[index] += rates[index]
            if credit[index] < 1:
                continue
            credit[index] -= 1
            position = next_positions[index]
            while table[permutations[index][position]] >= 0:
                position += 1
            table[permutations[index][position]] = index
            next_positions[index] = position + 1
            filled += 1
            if filled == SLOT_COUNT:
                return table


BUILDERS: dict[str, Builder] = {
    "rendezvous": rendezvous,
    "capped rendezvous": capped_rendezvous,
    "maglev": maglev,
}


@frozen
class Change:
    """A set of upstreams before and after a change.

    Attributes:
        name: Kind of change.
        before: The set before the change.
        after: The set after the change.
    """

    name: str
    before: Generation
    after: Generation


def measure() -> list[Measure]:
    """Return the figures of each kind of table at each size."""
    figures = []
    for name, builder in BUILDERS.items():
        for size in SIZES:
            figures += _measure_size(name, builder, size)
        figures.append(_measure_total(name, builder))
    return figures


def _measure_size(name: str, builder: Builder, size: int) -> list[Measure]:
    rng = random.Random(SEED)
    generations = [_generation(rng, size) for _ in range(TABLES)]
    start_s = time.perf_counter()
    tables = [builder(f"s{i}", g) for i, g in enumerate(generations)]
    build_ms = (time.perf_counter() - start_s) / TABLES * 1000
    loads = [_imbalance(t, g) for t, g in zip(tables, generations, strict=True)]
    label = f"{name}, {size} upstreams"
    note = f"{TABLES} tables, weights 50 to 200, seed {SEED}"
    figures = [
        _figure(f"busiest over mean, {label}", np.mean(loads), "ratio", note),
        _figure(f"busiest over mean, worst, {label}", max(loads), "ratio", note),
        _figure(f"build time, {label}", build_ms, "ms", note),
    ]
    for kind in ("remove", "add", "reweight"):
        changes = [_change(rng, kind, generation) for generation in generations]
        ratios = [_disruption(builder, change) for change in changes]
        title = f"moved over necessary on {kind}, {label}"
        figures.append(_figure(title, np.mean(ratios), "ratio", note))
    return figures


def _measure_total(name: str, builder: Builder) -> Measure:
    rng = random.Random(SEED)
    generations = [_generation(rng, SERVICE_UPSTREAMS) for _ in range(SERVICES)]
    start_s = time.perf_counter()
    for number, generation in enumerate(generations):
        builder(f"s{number}", generation)
    duration_s = time.perf_counter() - start_s
    title = f"total build time, {name}"
    return _figure(title, duration_s, "s", f"{SERVICES} services of 8 upstreams")


def _figure(name: str, figure: float, unit: str, note: str) -> Measure:
    return Measure(name=name, figure=float(figure), unit=unit, note=note)


def _member(rng: random.Random) -> WeightedUpstream:
    return WeightedUpstream(f"{rng.getrandbits(128):032x}", rng.randint(50, 200))


def _generation(rng: random.Random, size: int) -> Generation:
    return Generation.of([_member(rng) for _ in range(size)])


def _change(rng: random.Random, kind: str, before: Generation) -> Change:
    members = list(before.members)
    index = rng.randrange(len(members))
    if kind == "remove":
        del members[index]
    elif kind == "add":
        members.append(_member(rng))
    else:
        members[index] = evolve(members[index], weight=members[index].weight // 2)
    return Change(kind, before, Generation.of(members))


def _disruption(builder: Builder, change: Change) -> float:
    before = _owners(builder, change.before)
    after = _owners(builder, change.after)
    moved = np.mean(before != after)
    shares_before = _shares_by_id(change.before)
    shares_after = _shares_by_id(change.after)
    ids = shares_before.keys() | shares_after.keys()
    gains = (shares_after.get(i, 0.0) - shares_before.get(i, 0.0) for i in ids)
    return moved / sum(gain for gain in gains if gain > 0)


def _owners(builder: Builder, generation: Generation) -> np.ndarray:
    ids = np.array([member.upstream_id for member in generation.members])
    return ids[builder("s", generation)]


def _imbalance(table: np.ndarray, generation: Generation) -> float:
    counts = np.bincount(table, minlength=len(generation.members))
    return float((counts / (_shares(generation) * SLOT_COUNT)).max())


def _shares(generation: Generation) -> np.ndarray:
    weights = np.array([member.weight for member in generation.members], dtype=float)
    return weights / weights.sum()


def _shares_by_id(generation: Generation) -> dict[str, float]:
    ids = [member.upstream_id for member in generation.members]
    return dict(zip(ids, _shares(generation), strict=True))


def _seed(service: str, member: WeightedUpstream) -> int:
    return hash_64(service.encode(), member.upstream_id.encode())


def main() -> None:
    """Print the figures."""
    for figure in measure():
        print(f"{figure.name}: {figure.figure:.3f} {figure.unit}")


if __name__ == "__main__":
    main()
