"""Hash tree over the record versions of a register, to find differences cheaply."""

from collections.abc import Iterator
from functools import lru_cache

import xxhash
from attrs import frozen

from .hashing import hash_64

FANOUT = 64
LEAF_COUNT = FANOUT * FANOUT
HASH_BYTES = 4
HASH_MASK = 2 ** (8 * HASH_BYTES) - 1


@frozen
class IndexEntry:
    """Key and version of one record in the index.

    Attributes:
        key: Key of the record.
        key_hash: 64-bit hash of the key.
        version: 64-bit hash of the record's contents.
    """

    key: str
    key_hash: int
    version: int


class RecordIndex:
    """Hash tree of versions by key, with 64 nodes of 64 leaves each.

    The hash of a node is the exclusive or of the hashes of its entries, so a change
    updates only three hashes: those of the leaf, the node and the root. With 16,000
    records a leaf holds about four.
    """

    def __init__(self) -> None:
        self.root = 0
        self._nodes = [0] * FANOUT
        self._leaf_hashes = [0] * LEAF_COUNT
        self._leaves: dict[int, dict[int, IndexEntry]] = {}

    def put(self, key: str, version: int) -> bool:
        """Set the version of a key.

        Returns:
            Whether the version changed.
        """
        key_hash = _key_hash(key)
        leaf = leaf_of(key_hash)
        entries = self._leaves.setdefault(leaf, {})
        known = entries.get(key_hash)
        if known and known.version == version:
            return False
        if known:
            self._xor_entry(leaf, known)
        entries[key_hash] = IndexEntry(key, key_hash, version)
        self._xor_entry(leaf, entries[key_hash])
        return True

    def remove(self, key: str) -> None:
        """Remove a key."""
        key_hash = _key_hash(key)
        leaf = leaf_of(key_hash)
        known = self._leaves.get(leaf, {}).pop(key_hash, None)
        if known:
            self._xor_entry(leaf, known)

    def leaf(self, leaf: int) -> dict[int, IndexEntry]:
        """Return the entries of a leaf by key hash."""
        return self._leaves.get(leaf, {})

    def top_hashes(self) -> bytes:
        """Return the hashes of the nodes, 4 bytes each."""
        return _pack(self._nodes)

    def node_hashes(self, node: int) -> bytes:
        """Return the hashes of the leaves of a node, 4 bytes each."""
        return _pack(self._leaf_hashes[node * FANOUT : (node + 1) * FANOUT])

    def _xor_entry(self, leaf: int, entry: IndexEntry) -> None:
        value = xxhash.xxh3_64_intdigest(
            entry.key_hash.to_bytes(8, "big") + entry.version.to_bytes(8, "big")
        )
        self._leaf_hashes[leaf] ^= value
        self._nodes[leaf // FANOUT] ^= value
        self.root ^= value


# The periodic sweep over all records hashes each key again every minute.
@lru_cache(maxsize=32768)
def _key_hash(key: str) -> int:
    return hash_64(key.encode())


def leaf_of(key_hash: int) -> int:
    """Return the leaf that holds a key."""
    return key_hash >> 52


def differing_positions(mine: bytes, theirs: bytes) -> Iterator[int]:
    """Yield the positions at which two packed lists of hashes differ."""
    for position in range(FANOUT):
        part = slice(position * HASH_BYTES, (position + 1) * HASH_BYTES)
        if mine[part] != theirs[part]:
            yield position


def _pack(hashes: list[int]) -> bytes:
    return b"".join((value & HASH_MASK).to_bytes(HASH_BYTES, "big") for value in hashes)
