"""Which upstreams are in cold start, judged by this instance."""

from collections import OrderedDict
from typing import TypeVar

from attrs import frozen

from ..clock import Clock
from .upstreams import MAX_RECORDS, UpstreamRecord, UpstreamState, UpstreamView

V = TypeVar("V")


@frozen(kw_only=True)
class Sighting:
    """How this instance learned of one upstream process.

    Attributes:
        seen_at_s: Monotonic time from which the process may have been cold.
        age_s: Age of the process at that time, 0 if it is known to be cold.
    """

    seen_at_s: float
    age_s: float


class ColdStarts:
    """Start of the cold start of each upstream.

    An upstream is cold for its warm-up time from the moment at which this instance
    learned of it, if it announces the state cold, replaces another process of the
    same name or address, or started less than the warm-up time ago. The last rule
    covers an instance that joins and doesn't know what was there before.

    Args:
        clock: Source of time.
        view: Records of upstreams.
    """

    def __init__(self, clock: Clock, view: UpstreamView) -> None:
        self._clock = clock
        self._sightings: OrderedDict[str, Sighting] = OrderedDict()
        self._last_by_name: OrderedDict[str, str] = OrderedDict()
        self._last_by_address: OrderedDict[str, str] = OrderedDict()
        for record in view:
            self._observe(record)
        view.on_change(self._observe)

    def mark_cold(self, upstream_id: str) -> None:
        """Note that an upstream has just become cold."""
        sighting = Sighting(seen_at_s=self._clock.monotonic_s(), age_s=0.0)
        _remember(self._sightings, upstream_id, sighting)

    def is_cold(self, record: UpstreamRecord, warm_up_s: float) -> bool:
        """Whether an upstream is in cold start."""
        sighting = self._sightings.get(record.upstream_id)
        if sighting is None or sighting.age_s >= warm_up_s:
            return False
        return self._clock.monotonic_s() - sighting.seen_at_s < warm_up_s

    def _observe(self, record: UpstreamRecord) -> None:
        # Records of processes that were gone before this instance heard of them
        # don't make their successors cold, or all would be after a join.
        if not record.is_alive:
            return
        upstream_id = record.upstream_id
        if upstream_id not in self._sightings:
            _remember(self._sightings, upstream_id, self._first_sighting(record))
        _remember(self._last_by_name, record.name, upstream_id)
        _remember(self._last_by_address, record.address, upstream_id)

    def _first_sighting(self, record: UpstreamRecord) -> Sighting:
        is_replacement = (
            record.name in self._last_by_name or record.address in self._last_by_address
        )
        is_cold = is_replacement or record.state == UpstreamState.COLD
        return Sighting(
            seen_at_s=self._clock.monotonic_s(),
            age_s=0.0 if is_cold else self._clock.wall_s() - record.started_at_s,
        )


def _remember(entries: OrderedDict[str, V], key: str, value: V) -> None:
    """Set an entry and drop the oldest one beyond the bound of the view."""
    entries[key] = value
    if len(entries) > MAX_RECORDS:
        entries.popitem(last=False)
