"""Fractions of new flows that data centres send each other to level their waits."""

from collections.abc import Sequence

from attrs import evolve, frozen

from .centreloads import CentreLoad

_BISECTIONS = 16


@frozen
class Transfer:
    """Part of the new flows of one data centre that is sent to another one.

    Attributes:
        origin: Data centre of the callers.
        destination: Data centre of the upstreams.
        fraction: Part of the new flows of the origin, 0 to 1.
    """

    origin: str
    destination: str
    fraction: float


def level_loads(
    centres: Sequence[CentreLoad], cost_s: float, max_wait_s: float
) -> tuple[Transfer, ...]:
    """Return the transfers that level waits.

    A data centre sends what it can't serve with a wait below the level. One receives
    requests until their wait there, with the cost of leaving, reaches the level. No
    data centre does both, since the cost lies between.

    Args:
        centres: Load of all data centres.
        cost_s: What leaving costs, as a wait.
        max_wait_s: Longest wait to which a data centre is filled with requests of
            others.
    """
    centres = _with_displaced(centres)
    if not any(_excess_per_s(centre, cost_s) for centre in centres):
        return ()
    level_s = _level_s(centres, cost_s, max_wait_s)
    rooms = {c.data_centre: _room_per_s(c, level_s - cost_s) for c in centres}
    room_per_s = sum(rooms.values())
    excess_per_s = sum(_excess_per_s(centre, level_s) for centre in centres)
    if room_per_s <= 0 or excess_per_s <= 0:
        return ()
    granted = min(1.0, room_per_s / excess_per_s)
    return tuple(
        Transfer(
            centre.data_centre,
            destination,
            granted
            * _excess_per_s(centre, level_s)
            / centre.rate_per_s
            * room
            / room_per_s,
        )
        for centre in centres
        for destination, room in rooms.items()
        if room > 0 and _excess_per_s(centre, level_s) > 0
    )


def displaced_shares(centres: Sequence[CentreLoad]) -> dict[str, float]:
    """Return how flows of a data centre without upstreams are divided, by data centre.

    The shares are in proportion to what each can process beyond its own demand, or to
    what it can process if there is no such room.
    """
    free = {
        centre.data_centre: max(0.0, centre.capacity_per_s - centre.rate_per_s)
        for centre in centres
    }
    if not any(free.values()):
        free = {centre.data_centre: centre.capacity_per_s for centre in centres}
    total = sum(free.values())
    return {name: value / total for name, value in free.items() if value > 0}


def _with_displaced(centres: Sequence[CentreLoad]) -> tuple[CentreLoad, ...]:
    """Return the data centres with upstreams, with the demand of those without.

    The callers of a data centre without upstreams are always sent elsewhere, so that
    the others have less room left.
    """
    displaced_per_s = sum(c.rate_per_s for c in centres if c.capacity_per_s <= 0)
    serving = [centre for centre in centres if centre.capacity_per_s > 0]
    if not displaced_per_s:
        return tuple(serving)
    shares = displaced_shares(serving)
    return tuple(
        evolve(
            centre,
            rate_per_s=centre.rate_per_s
            + displaced_per_s * shares.get(centre.data_centre, 0.0),
        )
        for centre in serving
    )


def _level_s(centres: Sequence[CentreLoad], cost_s: float, max_wait_s: float) -> float:
    """Return the lowest level at which what is sent finds room, or the highest."""
    low_s, high_s = cost_s, cost_s + max_wait_s
    if not _finds_room(centres, high_s, cost_s):
        return high_s
    for _ in range(_BISECTIONS):
        middle_s = (low_s + high_s) / 2
        if _finds_room(centres, middle_s, cost_s):
            high_s = middle_s
        else:
            low_s = middle_s
    return high_s


def _finds_room(centres: Sequence[CentreLoad], level_s: float, cost_s: float) -> bool:
    excess_per_s = sum(_excess_per_s(centre, level_s) for centre in centres)
    return excess_per_s <= sum(_room_per_s(c, level_s - cost_s) for c in centres)


def _excess_per_s(centre: CentreLoad, level_s: float) -> float:
    return max(0.0, centre.rate_per_s - centre.rate_at_wait(level_s))


def _room_per_s(centre: CentreLoad, wait_s: float) -> float:
    room_per_s = centre.rate_at_wait(wait_s) - centre.rate_per_s
    return centre.trust * max(0.0, room_per_s)
