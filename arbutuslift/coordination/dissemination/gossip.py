"""Gossip protocol that synchronizes the registers of all instances."""

import asyncio
from typing import Any

import structlog
from attrs import define

from ...clock import Clock
from ...errors import ArbutusliftError, MessageError
from ...protocol.channel import Channel
from ...protocol.gossip import (
    GossipDifference,
    GossipDigest,
    GossipRecords,
    LeavesAnswer,
    LeavesWanted,
    RecordItem,
    RecordsWanted,
)
from ...protocol.messages import encode
from ...protocol.records import decode_record, encode_record
from ...state.instances import InstanceRecord, InstanceStatus, RevisionMark
from ...state.registers import Register, record_key, record_priority
from ..bandwidth import BandwidthLimiter
from .changes import ChangedRecord, ChangeQueue
from .peers import PeerSelector
from .reconciler import Reconciler
from .revisions import RevisionDistributor

ROUND_S = 1.0
TIMEOUT_S = 1.0
MAX_DELTA_BYTES = 1200
# Encoded name of the message class and of its field, and the length of the list.
DELTA_OVERHEAD_BYTES = 40
ITEM_OVERHEAD_BYTES = 24
PUSH_PEERS = 3
# Number of peers to which an instance forwards a withdrawal that is new to it. With 6,
# one instance in 400 (e**-6) receives no push; with 3 it is one in 20. Comparison takes
# over 10 s to repair a missed push while many other changes are propagating.
WITHDRAWAL_PEERS = 6
# Every so many rounds a dead instance is contacted too, so that the two sides of a
# healed partition find each other again.
DEAD_CONTACT_ROUNDS = 5
# Instances that start together have only the seeds as peers, so they contact a seed in
# each of the first rounds.
EARLY_ROUNDS = 5
# Rounds in which all records are checked once for changes that were not reported.
SWEEP_ROUNDS = 64

_log = structlog.get_logger()


@define
class GossipCounters:
    """Counters of received records that were ignored.

    Attributes:
        unknown_kinds: Records of kinds that this version doesn't support.
        malformed: Records that couldn't be decoded.
    """

    unknown_kinds: int = 0
    malformed: int = 0


class Gossip:
    """Compares records with random peers every second and pushes changes at once.

    Args:
        clock: Source of time.
        channel: Connection to the peers.
        peers: Selects random peers.
        registers: Record sets to synchronize; one holds the instances.
        revision_distributor: Fetches newer revisions that peers report.
        bandwidth: Limit on control traffic.
        incarnation: Incarnation of this process.
        seeds: Names of peers from the settings, which may have no record yet.
    """

    def __init__(
        self,
        clock: Clock,
        channel: Channel,
        peers: PeerSelector,
        registers: list[Register],
        revision_distributor: RevisionDistributor,
        bandwidth: BandwidthLimiter,
        incarnation: int,
        seeds: tuple[str, ...] = (),
    ) -> None:
        self.counters = GossipCounters()
        self.incarnation = incarnation
        self._clock = clock
        self._channel = channel
        self._peers = peers
        self._registers = {register.kind: register for register in registers}
        self.reconciler = Reconciler(registers)
        self._revision_distributor = revision_distributor
        self._bandwidth = bandwidth
        self._seeds = seeds
        self._changes = ChangeQueue()
        self._sweep_queues: dict[str, list[Any]] = {}
        self._connected_endpoints: dict[str, str] = {}
        channel.register_handler(GossipDigest, self._answer_digest)
        channel.register_handler(LeavesWanted, self._answer_leaves)
        channel.register_handler(RecordsWanted, self._answer_records)
        channel.register_handler(GossipRecords, self._on_records)
        peers.instances.on_change(self._connect)
        for record in peers.instances.records():
            self._connect(record)
        for register in registers:
            for record in register.records():
                self.reconciler.put(register.kind, record)

    async def run(self) -> None:
        """Run gossip rounds and send changes until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._send_changes())
            group.create_task(self._run_rounds())

    def publish(self, kind: str, record: Any) -> bool:
        """Merge a record that was created on this instance and propagate it.

        Returns:
            Whether the register changed.
        """
        changed = self._registers[kind].merge(record)
        self.record_changed(kind, record_key(record))
        return changed

    def record_changed(
        self, kind: str, key: str, *, is_unknown_to_peers: bool = True
    ) -> None:
        """Propagate a record that has been merged into its register.

        Args:
            kind: Kind of the record.
            key: Its key.
            is_unknown_to_peers: Whether peers may not have the record yet, so that it
                is pushed.
        """
        register = self._registers[kind]
        record = register.get(key)
        if record is None:
            self.reconciler.remove(kind, key)
            return
        if not self.reconciler.put(kind, record):
            return
        if register.is_pushed and is_unknown_to_peers:
            self._changes.put(ChangedRecord(kind, key), record_priority(record))

    def merge_item(self, item: RecordItem, *, is_unknown_to_peers: bool = True) -> None:
        """Merge a record that a peer sent and propagate it if it is new."""
        register = self._registers.get(item.kind)
        if register is None:
            self.counters.unknown_kinds += 1
            return
        try:
            record = decode_record(item.body, register.record_class)
        except MessageError:
            self.counters.malformed += 1
            return
        if register.merge(record):
            self.record_changed(
                item.kind, record_key(record), is_unknown_to_peers=is_unknown_to_peers
            )

    async def exchange(self, peer: str, *, is_full: bool = True) -> None:
        """Compare state with a peer and transfer the differences.

        Args:
            peer: Name of the peer.
            is_full: Whether all registers are compared, or only the revisions.
        """
        digest = self._digest(peer, is_full)
        self._bandwidth.charge(len(encode(digest)))
        answer = await self._channel.request(peer, digest, TIMEOUT_S)
        if not isinstance(answer, GossipDifference):
            raise MessageError(
                "answer is not a GossipDifference", step="gossip", peer=peer
            )
        for item in answer.items:
            self.merge_item(item)
        self._revision_distributor.fetch_if_newer(peer, answer.revision)
        wanted = self.reconciler.leaves_wanted(answer.tops, self._peers.rng)
        if not wanted.nodes or not self._bandwidth.try_charge(len(encode(wanted))):
            return
        leaves = await self._channel.request(peer, wanted, TIMEOUT_S)
        if not isinstance(leaves, LeavesAnswer):
            raise MessageError("answer is not a LeavesAnswer", step="gossip", peer=peer)
        for leaf in leaves.leaves:
            comparison = self.reconciler.compare(leaf)
            missing = comparison.missing
            if missing.key_hashes and self._bandwidth.try_charge(len(encode(missing))):
                await self._channel.send(peer, missing)
            await self._send_records(peer, leaf.kind, comparison.keys)

    async def _run_rounds(self) -> None:
        # A random delay staggers the rounds of instances that start together.
        await self._clock.sleep(self._peers.rng.uniform(0, ROUND_S))
        number = 0
        while True:
            number += 1
            is_early = number <= EARLY_ROUNDS
            is_extended = is_early or number % DEAD_CONTACT_ROUNDS == 0
            selected = self._select_round_peers(is_extended=is_extended)
            started_s = self._clock.monotonic_s()
            self._sweep()
            await self._exchange_all(selected)
            elapsed_s = self._clock.monotonic_s() - started_s
            await self._clock.sleep(max(0.0, ROUND_S - elapsed_s))

    def _select_round_peers(self, *, is_extended: bool) -> list[str]:
        selected = {record.name for record in self._peers.round_peers()}
        if is_extended:
            selected |= {record.name for record in self._peers.sample_dead()}
        if self._seeds and (is_extended or not selected):
            selected.add(self._peers.rng.choice(self._seeds))
        return sorted(selected)

    async def _exchange_all(self, selected: list[str]) -> None:
        # While a change propagates, most comparisons find differences. Comparing the
        # registers with all peers of a round took half of the control bandwidth.
        full_exchange_peer = self._peers.rng.choice(selected) if selected else None
        await asyncio.gather(
            *(
                self._try_exchange(peer, is_full=peer == full_exchange_peer)
                for peer in selected
            )
        )

    async def _try_exchange(self, peer: str, *, is_full: bool) -> None:
        try:
            await self.exchange(peer, is_full=is_full)
        except ArbutusliftError as error:
            _log.debug("gossip_failed", peer=peer, error=str(error))

    async def _send_changes(self) -> None:
        while True:
            await self._changes.wait()
            is_withdrawal = self._changes.has_withdrawal
            count = WITHDRAWAL_PEERS if is_withdrawal else PUSH_PEERS
            for is_local, items in self._pop_batches(is_withdrawal).items():
                message = GossipRecords(items=tuple(items))
                size_bytes = len(encode(message))
                for peer in self._peers.sample_alive(count, is_local=is_local):
                    await self._bandwidth.wait_and_charge(size_bytes)
                    await self._channel.send(peer.name, message)

    def _pop_batches(self, only_withdrawals: bool) -> dict[bool, list[RecordItem]]:
        """Return the records of the next messages, grouped by ``is_local``."""
        batches: dict[bool, list[RecordItem]] = {}
        size_bytes = DELTA_OVERHEAD_BYTES
        while (change := self._changes.pop()) is not None:
            register = self._registers[change.kind]
            record = register.get(change.key)
            if record is None:
                continue
            item = _item(register, record)
            size_bytes += len(item.body) + ITEM_OVERHEAD_BYTES
            batches.setdefault(register.is_local, []).append(item)
            # Assume that the next record is as large as this one.
            if size_bytes + len(item.body) + ITEM_OVERHEAD_BYTES > MAX_DELTA_BYTES:
                break
            if only_withdrawals and not self._changes.has_withdrawal:
                break
        return batches

    async def _send_records(self, peer: str, kind: str, keys: list[str]) -> None:
        register = self._registers[kind]
        records = (register.get(key) for key in keys)
        items = [_item(register, record) for record in records if record is not None]
        while items:
            batch = [items.pop()]
            size_bytes = DELTA_OVERHEAD_BYTES + _size(batch[0])
            while items and size_bytes + _size(items[-1]) <= MAX_DELTA_BYTES:
                size_bytes += _size(items[-1])
                batch.append(items.pop())
            if not self._bandwidth.try_charge(size_bytes):
                return
            await self._channel.send(peer, GossipRecords(items=tuple(batch)))

    def _digest(self, peer: str, is_full: bool) -> GossipDigest:
        record = self._peers.instances.get(peer)
        is_local = record is not None and record.data_centre == self._peers.data_centre
        return GossipDigest(
            incarnation=self.incarnation,
            data_centre=self._peers.data_centre,
            revision=self._revision_distributor.revision,
            roots=self.reconciler.roots(is_local) if is_full else (),
        )

    async def _answer_digest(self, peer: str, digest: GossipDigest) -> GossipDifference:
        known = self._peers.instances.get(peer)
        self._revision_distributor.fetch_if_newer(peer, digest.revision)
        is_local = digest.data_centre == self._peers.data_centre
        if is_local and digest.revision and "revision" in self._registers:
            mark = RevisionMark(name=peer, revision=digest.revision)
            self.publish("revision", mark)
        items: tuple[RecordItem, ...] = ()
        if known and _needs_own_record(known, digest.incarnation):
            items = (_item(self._registers["instance"], known),)
        answer = GossipDifference(
            revision=self._revision_distributor.revision,
            tops=self.reconciler.tops(digest.roots, is_local),
            items=items,
        )
        self._bandwidth.charge(len(encode(answer)))
        return answer

    async def _answer_leaves(self, peer: str, wanted: LeavesWanted) -> LeavesAnswer:
        answer = self.reconciler.leaves(wanted, MAX_DELTA_BYTES)
        if not self._bandwidth.try_charge(len(encode(answer))):
            return LeavesAnswer(leaves=())
        return answer

    async def _answer_records(self, peer: str, wanted: RecordsWanted) -> None:
        if wanted.kind in self._registers:
            keys = self.reconciler.keys_of(wanted)
            await self._send_records(peer, wanted.kind, keys)

    async def _on_records(self, peer: str, message: GossipRecords) -> None:
        for item in message.items:
            self.merge_item(item)

    def _connect(self, record: InstanceRecord) -> None:
        if record.name != self._peers.name and record.endpoint:
            if self._connected_endpoints.get(record.name) == record.endpoint:
                return
            self._connected_endpoints[record.name] = record.endpoint
            self._channel.connect(record.name, record.endpoint)

    def _sweep(self) -> None:
        for kind, register in self._registers.items():
            remaining = self._sweep_queues.get(kind)
            if not remaining:
                remaining = self._sweep_queues[kind] = list(register.records())
            for _ in range(min(len(remaining), 1 + len(remaining) // SWEEP_ROUNDS)):
                self.record_changed(kind, record_key(remaining.pop()))


def _needs_own_record(known: InstanceRecord, incarnation: int) -> bool:
    """Return whether the sender is superseded, or listed as dead or suspect."""
    return known.incarnation > incarnation or (
        known.incarnation == incarnation and known.status != InstanceStatus.ALIVE
    )


def _item(register: Register, record: Any) -> RecordItem:
    return RecordItem(kind=register.kind, body=encode_record(record))


def _size(item: RecordItem) -> int:
    return len(item.body) + ITEM_OVERHEAD_BYTES
