"""Tracks which upstreams are in cold start, as observed by this instance."""

from collections import OrderedDict
from typing import TypeVar

from attrs import frozen

from ..clock import Clock
from .upstreams import MAX_RECORDS, UpstreamRecord, UpstreamState, UpstreamView

V = TypeVar("V")


@frozen(kw_only=True)
class FirstObservation:
    """First observation of an upstream process by this instance.

    Attributes:
        observed_at_s: Monotonic time from which the process may have been cold.
        age_s: Age of the process at that time, 0 if it is known to be cold.
    """

    observed_at_s: float
    age_s: float


class ColdStarts:
    """Time at which the cold start of each upstream began.

    An upstream is cold for its warm-up time after this instance first received its
    record, if the record has the state cold, the upstream replaces another process of
    the same name or address, or its process started less than the warm-up time ago.
    The last rule covers an instance that has just joined and so doesn't know which
    processes were replaced.

    Args:
        clock: Source of time.
        view: Records of upstreams.
    """

    def __init__(self, clock: Clock, view: UpstreamView) -> None:
        self._clock = clock
        self._observations: OrderedDict[str, FirstObservation] = OrderedDict()
        self._last_by_name: OrderedDict[str, str] = OrderedDict()
        self._last_by_address: OrderedDict[str, str] = OrderedDict()
        for record in view:
            self._observe(record)
        view.on_change(self._observe)

    def mark_cold(self, upstream_id: str) -> None:
        """Record that a cold start of an upstream begins now."""
        observation = FirstObservation(
            observed_at_s=self._clock.monotonic_s(), age_s=0.0
        )
        _set_bounded(self._observations, upstream_id, observation)

    def is_cold(self, record: UpstreamRecord, warm_up_s: float) -> bool:
        """Return whether an upstream is in cold start."""
        observation = self._observations.get(record.upstream_id)
        if observation is None or observation.age_s >= warm_up_s:
            return False
        return self._clock.monotonic_s() - observation.observed_at_s < warm_up_s

    def _observe(self, record: UpstreamRecord) -> None:
        # A process that was gone before this instance received its record doesn't
        # make its replacement cold. Otherwise all upstreams would be cold after this
        # instance joins.
        if not record.is_alive:
            return
        upstream_id = record.upstream_id
        if upstream_id not in self._observations:
            _set_bounded(
                self._observations, upstream_id, self._first_observation(record)
            )
        _set_bounded(self._last_by_name, record.name, upstream_id)
        _set_bounded(self._last_by_address, record.address, upstream_id)

    def _first_observation(self, record: UpstreamRecord) -> FirstObservation:
        is_replacement = (
            record.name in self._last_by_name or record.address in self._last_by_address
        )
        is_cold = is_replacement or record.state == UpstreamState.COLD
        return FirstObservation(
            observed_at_s=self._clock.monotonic_s(),
            age_s=0.0 if is_cold else self._clock.wall_s() - record.started_at_s,
        )


def _set_bounded(entries: OrderedDict[str, V], key: str, value: V) -> None:
    """Set an entry and evict the oldest one beyond the bound on records."""
    entries[key] = value
    if len(entries) > MAX_RECORDS:
        entries.popitem(last=False)
