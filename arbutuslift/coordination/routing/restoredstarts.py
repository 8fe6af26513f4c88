"""Restored starts.

Control instances read these starts from disk after a restart, such as after a loss of
power, and haven't received announcements of them since.
"""

from collections.abc import Iterator

from ...state.routingtable import ServiceLimits
from ...state.starts import StartKey, UpstreamStart
from .trackedstart import TrackedStart


class RestoredStarts:
    """Restored starts, indexed by key, upstream and address."""

    def __init__(self) -> None:
        self._tracked: dict[StartKey, TrackedStart] = {}
        self._of_upstream: dict[str, TrackedStart] = {}
        self._at_address: dict[tuple[str, int], TrackedStart] = {}

    def __iter__(self) -> Iterator[TrackedStart]:
        return iter(list(self._tracked.values()))

    def add(self, tracked: TrackedStart) -> None:
        """Add a start."""
        start = tracked.start
        self._tracked[start.key] = tracked
        self._of_upstream[start.upstream_id] = tracked
        self._at_address[start.address] = tracked

    def conflicting_with(self, start: UpstreamStart) -> list[TrackedStart]:
        """Return other starts of the same upstream or at the same address."""
        found = {
            tracked.start.key: tracked
            for tracked in (
                self._of_upstream.get(start.upstream_id),
                self._at_address.get(start.address),
            )
            if tracked is not None
        }
        found.pop(start.key, None)
        return list(found.values())

    def pop(self, key: StartKey) -> TrackedStart | None:
        """Remove a start and return it, None if it isn't present."""
        tracked = self._tracked.pop(key, None)
        if tracked is None:
            return None
        if self._of_upstream.get(tracked.start.upstream_id) is tracked:
            del self._of_upstream[tracked.start.upstream_id]
        if self._at_address.get(tracked.start.address) is tracked:
            del self._at_address[tracked.start.address]
        return tracked


def may_receive_new_flows(tracked: TrackedStart, limits: ServiceLimits | None) -> bool:
    """Return whether new flows may go to a restored start.

    It may have been replaced by another run under the same identity, which answers its
    packets and may be in cold start. A lost one isn't even a last resort, since nothing
    has confirmed that it still runs.

    Args:
        tracked: A restored start.
        limits: Limits of its service, None if the routing table has none.
    """
    is_limited = limits is not None and limits.cold_new_flows_per_s > 0
    return not is_limited and not tracked.is_lost
