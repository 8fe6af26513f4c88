"""Comparison of the records of two instances by hash trees."""

import random

from attrs import frozen

from ...errors import MessageError
from ...protocol.gossip import (
    HashList,
    LeafEntries,
    LeavesAnswer,
    LeavesWanted,
    RecordsWanted,
    RegisterRoot,
)
from ...state.recordindex import (
    FANOUT,
    HASH_BYTES,
    LEAF_COUNT,
    RecordIndex,
    differing_positions,
    leaf_of,
)
from ...state.registers import Register, record_key, record_version

# The leaf hashes of four nodes fill a message of about 1,200 bytes.
MAX_NODES = 4
ENTRY_BYTES = 16
LEAF_OVERHEAD_BYTES = 40


@frozen
class Comparison:
    """Differences between a leaf and the same leaf of a peer.

    Attributes:
        keys: Keys of records that the peer lacks or has in another version.
        missing: Request for records that this instance lacks or has in another
            version.
    """

    keys: list[str]
    missing: RecordsWanted


class Reconciler:
    """Compares a set of registers with those of peers by their hash trees.

    Args:
        registers: Registers to compare.
    """

    def __init__(self, registers: list[Register]) -> None:
        self._registers = {register.kind: register for register in registers}
        self._indexes = {register.kind: RecordIndex() for register in registers}

    def put(self, kind: str, record: object) -> bool:
        """Record the version of a record.

        Returns:
            Whether the version is new.
        """
        return self._indexes[kind].put(record_key(record), record_version(record))

    def remove(self, kind: str, key: str) -> None:
        """Remove a record that its register no longer holds."""
        self._indexes[kind].remove(key)

    def roots(self, is_local: bool) -> tuple[RegisterRoot, ...]:
        """Return the root hashes of the registers that are compared with a peer.

        Args:
            is_local: Whether the peer is in this data centre.
        """
        return tuple(
            RegisterRoot(kind=kind, root=index.root)
            for kind, index in self._indexes.items()
            if is_local or not self._registers[kind].is_local
        )

    def tops(
        self, roots: tuple[RegisterRoot, ...], is_local: bool
    ) -> tuple[HashList, ...]:
        """Return the top-level hashes of the registers that differ from the peer's."""
        tops = []
        for root in roots:
            index = self._indexes.get(root.kind)
            if index is None or index.root == root.root:
                continue
            if self._registers[root.kind].is_local and not is_local:
                continue
            hashes = index.top_hashes()
            tops.append(HashList(kind=root.kind, node=-1, hashes=hashes))
        return tuple(tops)

    def leaves_wanted(
        self, tops: tuple[HashList, ...], rng: random.Random
    ) -> LeavesWanted:
        """Return a request for the leaves of a random few of the nodes that differ."""
        differing_nodes = [
            (top.kind, node)
            for top in tops
            if top.kind in self._indexes
            for node in differing_positions(
                self._indexes[top.kind].top_hashes(), _checked(top).hashes
            )
        ]
        selected = rng.sample(differing_nodes, min(MAX_NODES, len(differing_nodes)))
        return LeavesWanted(
            nodes=tuple(
                HashList(
                    kind=kind, node=node, hashes=self._indexes[kind].node_hashes(node)
                )
                for kind, node in selected
            )
        )

    def leaves(self, wanted: LeavesWanted, limit_bytes: int) -> LeavesAnswer:
        """Return the leaves that differ from the peer's, up to a size limit."""
        leaves: list[LeafEntries] = []
        size_bytes = 0
        for node in wanted.nodes[:MAX_NODES]:
            index = self._indexes.get(node.kind)
            if index is None or not 0 <= node.node < FANOUT:
                continue
            hashes = index.node_hashes(node.node)
            for position in differing_positions(hashes, _checked(node).hashes):
                leaf = self._leaf_entries(node.kind, node.node * FANOUT + position)
                size_bytes += len(leaf.entries) + LEAF_OVERHEAD_BYTES
                if leaves and size_bytes > limit_bytes:
                    return LeavesAnswer(leaves=tuple(leaves))
                leaves.append(leaf)
        return LeavesAnswer(leaves=tuple(leaves))

    def compare(self, leaf: LeafEntries) -> Comparison:
        """Compare a leaf of a peer with the leaf of this instance."""
        if leaf.kind not in self._indexes or not 0 <= leaf.leaf < LEAF_COUNT:
            raise MessageError("leaf of an unknown kind or number", step="compare leaf")
        self._refresh(leaf.kind, leaf.leaf)
        own_entries = self._indexes[leaf.kind].leaf(leaf.leaf)
        peer_entries = {
            int.from_bytes(leaf.entries[start : start + 8], "big"): int.from_bytes(
                leaf.entries[start + 8 : start + ENTRY_BYTES], "big"
            )
            for start in range(0, len(leaf.entries), ENTRY_BYTES)
        }
        keys = [
            entry.key
            for entry in own_entries.values()
            if peer_entries.get(entry.key_hash) != entry.version
        ]
        missing = b"".join(
            key_hash.to_bytes(8, "big")
            for key_hash, version in peer_entries.items()
            if key_hash not in own_entries or own_entries[key_hash].version != version
        )
        return Comparison(keys, RecordsWanted(kind=leaf.kind, key_hashes=missing))

    def keys_of(self, wanted: RecordsWanted) -> list[str]:
        """Return the keys of the records that a peer requests."""
        index = self._indexes[wanted.kind]
        hashes = wanted.key_hashes
        key_hashes = [
            int.from_bytes(hashes[start : start + 8], "big")
            for start in range(0, len(hashes), 8)
        ]
        entries = (index.leaf(leaf_of(each)).get(each) for each in key_hashes)
        return [entry.key for entry in entries if entry]

    def kinds(self, is_local: bool) -> list[str]:
        """Return the kinds in the order of a state transfer."""
        return sorted(root.kind for root in self.roots(is_local))

    def records_in(self, kind: str, leaf: int) -> list[object]:
        """Return the records of a leaf."""
        entries = self._indexes[kind].leaf(leaf).values()
        records = (self._registers[kind].get(entry.key) for entry in entries)
        return [record for record in records if record is not None]

    def _leaf_entries(self, kind: str, leaf: int) -> LeafEntries:
        self._refresh(kind, leaf)
        entries = b"".join(
            entry.key_hash.to_bytes(8, "big") + entry.version.to_bytes(8, "big")
            for entry in self._indexes[kind].leaf(leaf).values()
        )
        return LeafEntries(kind=kind, leaf=leaf, entries=entries)

    def _refresh(self, kind: str, leaf: int) -> None:
        """Update the index of a leaf, since a merge may change other records too."""
        index = self._indexes[kind]
        for entry in list(index.leaf(leaf).values()):
            record = self._registers[kind].get(entry.key)
            if record is None:
                index.remove(entry.key)
            else:
                index.put(entry.key, record_version(record))


def _checked(hashes: HashList) -> HashList:
    if len(hashes.hashes) != FANOUT * HASH_BYTES:
        raise MessageError("wrong number of hashes", step="compare hashes")
    return hashes
