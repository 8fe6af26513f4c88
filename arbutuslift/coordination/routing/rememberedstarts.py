"""Starts that control instances knew before they lost power, not heard of since."""

from collections.abc import Iterator

from ...state.starts import UpstreamStart
from .trackedstart import TrackedStart

Key = tuple[str, int]


class RememberedStarts:
    """Remembered starts, found by what contradicts them."""

    def __init__(self) -> None:
        self._known: dict[Key, TrackedStart] = {}
        self._of_upstream: dict[str, TrackedStart] = {}
        self._at_address: dict[Key, TrackedStart] = {}

    def __iter__(self) -> Iterator[TrackedStart]:
        return iter(list(self._known.values()))

    def add(self, known: TrackedStart) -> None:
        """Add a start."""
        start = known.start
        self._known[start.key] = known
        self._of_upstream[start.upstream_id] = known
        self._at_address[start.address] = known

    def conflicting_with(self, start: UpstreamStart) -> list[TrackedStart]:
        """Return other starts of the same upstream or at the same address."""
        found = {
            known.start.key: known
            for known in (
                self._of_upstream.get(start.upstream_id),
                self._at_address.get(start.address),
            )
            if known is not None
        }
        found.pop(start.key, None)
        return list(found.values())

    def pop(self, key: Key) -> TrackedStart | None:
        """Remove a start and return it, None if it isn't here."""
        known = self._known.pop(key, None)
        if known is None:
            return None
        if self._of_upstream.get(known.start.upstream_id) is known:
            del self._of_upstream[known.start.upstream_id]
        if self._at_address.get(known.start.address) is known:
            del self._at_address[known.start.address]
        return known
