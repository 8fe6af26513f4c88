"""Digests by which two control instances find the starts that they see differently."""

from array import array

from .hashing import hash_64
from .starts import Phase, UpstreamStart

# With 16,000 starts a bucket holds 250, about 18 KB; all digests have 512 bytes.
BUCKET_COUNT = 64
DIGEST_BYTES = 8


class StartDigests:
    """A hash for each bucket of starts that aren't gone.

    The order in which starts come and go makes no difference. How fresh a start is
    doesn't either: only its identity, its start time and its phase.
    """

    def __init__(self) -> None:
        self._digests = array("Q", [0] * BUCKET_COUNT)
        self._hashes: dict[str, int] = {}

    def put(self, start: UpstreamStart) -> None:
        """Add a start, or replace the one of the same upstream."""
        self.remove(start.upstream_id)
        if start.phase is Phase.GONE:
            return
        self._hashes[start.upstream_id] = number = _hash_of(start)
        self._digests[bucket_of(start.upstream_id)] ^= number

    def remove(self, upstream_id: str) -> None:
        """Remove the start of an upstream, if there is one."""
        number = self._hashes.pop(upstream_id, 0)
        self._digests[bucket_of(upstream_id)] ^= number

    def encode(self) -> bytes:
        """Return all digests as bytes."""
        return b"".join(
            digest.to_bytes(DIGEST_BYTES, "big") for digest in self._digests
        )

    def differing_buckets(self, encoded: bytes) -> tuple[int, ...]:
        """Return the buckets in which another instance's digests differ from these.

        Raises:
            ValueError: The bytes hold no digests.
        """
        if len(encoded) != BUCKET_COUNT * DIGEST_BYTES:
            raise ValueError(f"{len(encoded)} bytes of digests")
        own = self.encode()
        starts = range(0, len(own), DIGEST_BYTES)
        return tuple(
            at // DIGEST_BYTES
            for at in starts
            if own[at : at + DIGEST_BYTES] != encoded[at : at + DIGEST_BYTES]
        )


def bucket_of(upstream_id: str) -> int:
    """Return the bucket of an upstream; all instances agree on it."""
    return hash_64(upstream_id.encode()) % BUCKET_COUNT


def _hash_of(start: UpstreamStart) -> int:
    identity = start.upstream_id.encode()
    born = start.born_ms.to_bytes(8, "big", signed=True)
    return hash_64(identity, born, bytes([start.phase]))
