"""Flow tags: identifiers of the start that holds a flow, carried by its packets.

An instance writes the tag of the selected start on the packets that it forwards. The
upstream returns it, and the caller puts it on the packets that follow. Any instance
that has a record of the start can therefore forward a flow that it has never seen.
"""

from typing import Generic, TypeVar

from attrs import define

from .hashing import hash_64
from .starts import UpstreamStart

T = TypeVar("T")

NO_TAG = 0
_TAG_BITS = 32


def tag_of(start: UpstreamStart) -> int:
    """Return the 32-bit tag of a start; it is never ``NO_TAG``."""
    identity = start.upstream_id.encode()
    hashed = hash_64(identity, start.born_ms.to_bytes(8, "big", signed=True))
    return (hashed >> _TAG_BITS) or 1


@define(eq=False)
class _Owner(Generic[T]):
    """Owner of a tag.

    Attributes:
        start: The start.
        item: The item that belongs to the start.
    """

    start: UpstreamStart
    item: T


class TagIndex(Generic[T]):
    """Items of starts, indexed by tag.

    Two starts can have the same tag (once in about 2 million pairs of 32-bit hashes at
    75 upstreams). The tag then belongs to the start that was born first, even after
    that one is gone, and the other one gets no new flows. All instances reach the same
    decision.
    """

    def __init__(self) -> None:
        self._owners: dict[int, _Owner[T]] = {}

    def put(self, start: UpstreamStart, item: T) -> bool:
        """Add or update a start and return whether it owns its tag."""
        tag = tag_of(start)
        owner = self._owners.get(tag)
        is_other = owner is not None and owner.start.key != start.key
        if is_other and _precedes(owner.start, start):
            return False
        self._owners[tag] = _Owner(start, item)
        return True

    def owns(self, start: UpstreamStart) -> bool:
        """Return whether a start owns its tag."""
        owner = self._owners.get(tag_of(start))
        return owner is not None and owner.start.key == start.key

    def find(self, tag: int) -> T | None:
        """Return the item of the tag's owner; the owner may be gone."""
        owner = self._owners.get(tag)
        return owner.item if owner is not None else None

    def remove(self, start: UpstreamStart) -> None:
        """Remove a start whose flows have all ended."""
        if self.owns(start):
            del self._owners[tag_of(start)]


def _precedes(left: UpstreamStart, right: UpstreamStart) -> bool:
    return (left.born_ms, left.upstream_id) < (right.born_ms, right.upstream_id)
