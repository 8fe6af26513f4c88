"""Rounds of gossip: keeps the registers of all instances alike."""

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
# Name of the message class and of its field, and the length of the list.
DELTA_OVERHEAD_BYTES = 40
ITEM_OVERHEAD_BYTES = 24
PUSH_PEERS = 3
# Every instance that hears of a withdrawal for the first time tells so many others.
# One in 400 then isn't told by anyone (e**-6); with 3 it is one in 20, and comparison
# takes over 10 s to repair that while many other changes are under way.
WITHDRAWAL_PEERS = 6
# Contact with the dead brings a healed partition together again.
DEAD_CONTACT_ROUNDS = 5
# Instances that start together know nobody but the seeds.
EARLY_ROUNDS = 5
# A full pass over all records finds changes that nobody reported.
SWEEP_ROUNDS = 64

_log = structlog.get_logger()


@define
class GossipCounters:
    """What gossip ignored.

    Attributes:
        unknown_kinds: Records of kinds that this version doesn't know.
        malformed: Records that couldn't be decoded.
    """

    unknown_kinds: int = 0
    malformed: int = 0


class Gossip:
    """Exchanges records with random peers every second and sends changes at once.

    Args:
        clock: Source of time.
        channel: Reaches the peers.
        peers: Chooses them.
        registers: The sets to keep alike; one holds the instances.
        revision_distributor: Fetches revisions that peers mention.
        bandwidth: Limit on control traffic.
        incarnation: Incarnation of this process.
        seeds: Names of peers known from settings, which needn't have records yet.
    """

    def __init__(
        self,
        clock: Clock,
        channel: Channel,
        peers: PeerSelector,
        registers: list[Register],
        spread: RevisionDistributor,
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
        self._spread = spread
        self._bandwidth = bandwidth
        self._seeds = seeds
        self._changes = ChangeQueue()
        self._sweeps: dict[str, list[Any]] = {}
        self._connected: dict[str, str] = {}
        channel.on(GossipDigest, self._answer_digest)
        channel.on(LeavesWanted, self._answer_leaves)
        channel.on(RecordsWanted, self._answer_records)
        channel.on(GossipRecords, self._take_records)
        peers.instances.on_change(self._connect)
        for record in peers.instances.records():
            self._connect(record)
        for register in registers:
            for record in register.records():
                self.reconciler.put(register.kind, record)

    async def run(self) -> None:
        """Gossip until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._send_changes())
            group.create_task(self._run_rounds())

    def publish(self, kind: str, record: Any) -> bool:
        """Merge a record that arose here and spread it.

        Returns:
            Whether the register changed.
        """
        changed = self._registers[kind].merge(record)
        self.record_changed(kind, record_key(record))
        return changed

    def record_changed(
        self, kind: str, key: str, *, is_unknown_to_peers: bool = True
    ) -> None:
        """Spread the record of a key that has been merged into its register.

        Args:
            kind: Kind of the record.
            key: Its key.
            is_unknown_to_peers: Whether others may not have it yet, so that it is
                pushed.
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

    def take(self, item: RecordItem, *, is_unknown_to_peers: bool = True) -> None:
        """Merge a record that a peer sent; spread it if it is new."""
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
        """Compare revisions, and all registers if the exchange is full."""
        digest = self._digest(peer, is_full)
        self._bandwidth.charge(len(encode(digest)))
        answer = await self._channel.request(peer, digest, TIMEOUT_S)
        if not isinstance(answer, GossipDifference):
            raise MessageError("not a difference", step="gossip", peer=peer)
        for item in answer.items:
            self.take(item)
        self._spread.fetch_if_newer(peer, answer.revision)
        wanted = self.reconciler.leaves_wanted(answer.tops, self._peers.rng)
        if not wanted.nodes or not self._bandwidth.take(len(encode(wanted))):
            return
        leaves = await self._channel.request(peer, wanted, TIMEOUT_S)
        if not isinstance(leaves, LeavesAnswer):
            raise MessageError("not leaves", step="gossip", peer=peer)
        for leaf in leaves.leaves:
            found = self.reconciler.compare(leaf)
            missing = found.missing
            if missing.key_hashes and self._bandwidth.take(len(encode(missing))):
                await self._channel.send(peer, missing)
            await self._send_records(peer, leaf.kind, found.keys)

    async def _run_rounds(self) -> None:
        # Spreads the rounds of instances that start together.
        await self._clock.sleep(self._peers.rng.uniform(0, ROUND_S))
        number = 0
        while True:
            number += 1
            is_early = number <= EARLY_ROUNDS
            is_wide = is_early or number % DEAD_CONTACT_ROUNDS == 0
            chosen = self._choose(is_wide=is_wide)
            started_s = self._clock.monotonic_s()
            self._sweep()
            await self._exchange_all(chosen)
            elapsed_s = self._clock.monotonic_s() - started_s
            await self._clock.sleep(max(0.0, ROUND_S - elapsed_s))

    def _choose(self, *, is_wide: bool) -> list[str]:
        chosen = {record.name for record in self._peers.round_peers()}
        if is_wide:
            chosen |= {record.name for record in self._peers.sample_dead()}
        if self._seeds and (is_wide or not chosen):
            chosen.add(self._peers.rng.choice(self._seeds))
        return sorted(chosen)

    async def _exchange_all(self, chosen: list[str]) -> None:
        # While a change is under way most comparisons differ. Comparing the
        # registers with all peers of a round took half of the control budget.
        full = self._peers.rng.choice(chosen) if chosen else None
        await asyncio.gather(
            *(self._try_exchange(peer, is_full=peer == full) for peer in chosen)
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
                    await self._bandwidth.wait(size_bytes)
                    await self._channel.send(peer.name, message)

    def _pop_batches(self, only_withdrawals: bool) -> dict[bool, list[RecordItem]]:
        """Return what goes into the next messages, by whether it stays local."""
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
            # The next record may be as large as this one.
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
            if not self._bandwidth.take(size_bytes):
                return
            await self._channel.send(peer, GossipRecords(items=tuple(batch)))

    def _digest(self, peer: str, is_full: bool) -> GossipDigest:
        record = self._peers.instances.get(peer)
        is_local = record is not None and record.data_centre == self._peers.data_centre
        return GossipDigest(
            incarnation=self.incarnation,
            data_centre=self._peers.data_centre,
            revision=self._spread.revision,
            roots=self.reconciler.roots(is_local) if is_full else (),
        )

    async def _answer_digest(self, peer: str, digest: GossipDigest) -> GossipDifference:
        known = self._peers.instances.get(peer)
        self._spread.fetch_if_newer(peer, digest.revision)
        is_local = digest.data_centre == self._peers.data_centre
        if is_local and digest.revision and "revision" in self._registers:
            mark = RevisionMark(name=peer, revision=digest.revision)
            self.publish("revision", mark)
        items: tuple[RecordItem, ...] = ()
        if known and _must_hear(known, digest.incarnation):
            items = (_item(self._registers["instance"], known),)
        answer = GossipDifference(
            revision=self._spread.revision,
            tops=self.reconciler.tops(digest.roots, is_local),
            items=items,
        )
        self._bandwidth.charge(len(encode(answer)))
        return answer

    async def _answer_leaves(self, peer: str, wanted: LeavesWanted) -> LeavesAnswer:
        answer = self.reconciler.leaves(wanted, MAX_DELTA_BYTES)
        if not self._bandwidth.take(len(encode(answer))):
            return LeavesAnswer(leaves=())
        return answer

    async def _answer_records(self, peer: str, wanted: RecordsWanted) -> None:
        if wanted.kind in self._registers:
            keys = self.reconciler.keys_of(wanted)
            await self._send_records(peer, wanted.kind, keys)

    async def _take_records(self, peer: str, message: GossipRecords) -> None:
        for item in message.items:
            self.take(item)

    def _connect(self, record: InstanceRecord) -> None:
        if record.name != self._peers.name and record.endpoint:
            if self._connected.get(record.name) == record.endpoint:
                return
            self._connected[record.name] = record.endpoint
            self._channel.connect(record.name, record.endpoint)

    def _sweep(self) -> None:
        for kind, register in self._registers.items():
            waiting = self._sweeps.get(kind)
            if not waiting:
                waiting = self._sweeps[kind] = list(register.records())
            for _ in range(min(len(waiting), 1 + len(waiting) // SWEEP_ROUNDS)):
                self.record_changed(kind, record_key(waiting.pop()))


def _must_hear(known: InstanceRecord, incarnation: int) -> bool:
    """Whether the sender has been superseded or is held to be dead or suspect."""
    return known.incarnation > incarnation or (
        known.incarnation == incarnation and known.status != InstanceStatus.ALIVE
    )


def _item(register: Register, record: Any) -> RecordItem:
    return RecordItem(kind=register.kind, body=encode_record(record))


def _size(item: RecordItem) -> int:
    return len(item.body) + ITEM_OVERHEAD_BYTES
