"""Flow tags: which start of an upstream holds a flow, carried by the flow itself.

An instance writes the tag of the chosen start on the packets that it forwards. The
upstream returns it, and the caller puts it on the packets that follow. Any instance
that knows the start can therefore forward a flow that it has never seen.
"""

from .hashing import hash_64
from .starts import Phase, UpstreamStart

NO_TAG = 0
_TAG_BITS = 32


def tag_of(start: UpstreamStart) -> int:
    """Return the 32-bit tag of a start; it is never ``NO_TAG``."""
    identity = start.upstream_id.encode()
    mixed = hash_64(identity, start.born_ms.to_bytes(8, "big", signed=True))
    return (mixed >> _TAG_BITS) or 1


class TagIndex:
    """Finds starts by their tags.

    Two starts can have one tag (once in about 2 million pairs of 32-bit hashes at 75
    upstreams). The tag then belongs to the start that was born first, also after that
    one is gone, and the other one gets no new flows. All instances decide alike.
    """

    def __init__(self) -> None:
        self._owners: dict[int, UpstreamStart] = {}

    def put(self, start: UpstreamStart) -> bool:
        """Add or update a start and return whether it owns its tag."""
        tag = tag_of(start)
        owner = self._owners.get(tag)
        if owner is not None and owner.key != start.key and _precedes(owner, start):
            return False
        self._owners[tag] = start
        return True

    def owns(self, start: UpstreamStart) -> bool:
        """Return whether a start owns its tag."""
        owner = self._owners.get(tag_of(start))
        return owner is not None and owner.key == start.key

    def find(self, tag: int) -> UpstreamStart | None:
        """Return the owner of a tag; it may be gone."""
        return self._owners.get(tag)

    def remove(self, start: UpstreamStart) -> None:
        """Forget a start whose flows have all ended."""
        if self.owns(start):
            del self._owners[tag_of(start)]

    def alive(self) -> list[UpstreamStart]:
        """Return the owners that aren't gone."""
        return [s for s in self._owners.values() if s.phase is not Phase.GONE]


def _precedes(left: UpstreamStart, right: UpstreamStart) -> bool:
    return (left.born_ms, left.upstream_id) < (right.born_ms, right.upstream_id)
