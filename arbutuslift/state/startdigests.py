"""Digests by which two control instances find the starts in which they differ."""

from array import array

from .hashing import hash_64
from .starts import Phase, UpstreamStart

# With 16,000 starts a bucket holds 250 of them, about 18 KB. All digests together take
# 512 bytes.
BUCKET_COUNT = 64
DIGEST_BYTES = 8


class StartDigests:
    """One hash for each bucket of starts that aren't gone.

    A hash doesn't depend on the order in which starts were added and removed. It covers
    only the identity, the start time and the phase of a start.
    """

    def __init__(self) -> None:
        self._digests = array("Q", [0] * BUCKET_COUNT)
        self._hashes: dict[str, int] = {}

    def put(self, start: UpstreamStart) -> None:
        """Add a start, or replace that of the same upstream."""
        self.remove(start.upstream_id)
        if start.phase is Phase.GONE:
            return
        self._hashes[start.upstream_id] = start_hash = _hash_of(start)
        self._digests[bucket_of(start.upstream_id)] ^= start_hash

    def remove(self, upstream_id: str) -> None:
        """Remove the start of an upstream, if there is one."""
        start_hash = self._hashes.pop(upstream_id, 0)
        self._digests[bucket_of(upstream_id)] ^= start_hash

    def encode(self) -> bytes:
        """Return all digests as bytes."""
        return b"".join(
            digest.to_bytes(DIGEST_BYTES, "big") for digest in self._digests
        )

    def differing_buckets(self, encoded: bytes) -> tuple[int, ...]:
        """Return the buckets whose digests differ from those of another instance.

        Raises:
            ValueError: The bytes aren't encoded digests.
        """
        if len(encoded) != BUCKET_COUNT * DIGEST_BYTES:
            raise ValueError(f"{len(encoded)} bytes of digests")
        own = self.encode()
        offsets = range(0, len(own), DIGEST_BYTES)
        return tuple(
            offset // DIGEST_BYTES
            for offset in offsets
            if own[offset : offset + DIGEST_BYTES]
            != encoded[offset : offset + DIGEST_BYTES]
        )


def bucket_of(upstream_id: str) -> int:
    """Return the bucket of an upstream, the same on all instances."""
    return hash_64(upstream_id.encode()) % BUCKET_COUNT


def _hash_of(start: UpstreamStart) -> int:
    identity = start.upstream_id.encode()
    born = start.born_ms.to_bytes(8, "big", signed=True)
    return hash_64(identity, born, bytes([start.phase]))
