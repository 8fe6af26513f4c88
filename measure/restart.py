"""Cost of the replicated log: restarts, changes and idle traffic."""

import asyncio
import json
import os
import random
import tempfile
import time
from collections import Counter
from pathlib import Path

from arbutuslift.clock import Clock, ManualClock, SystemClock
from arbutuslift.coordination.agreement.agreementtiming import AgreementTiming
from arbutuslift.coordination.agreement.member import Member
from arbutuslift.coordination.agreement.memberstate import MemberState
from arbutuslift.protocol.channel import Channel
from arbutuslift.state.configuration import Submission
from arbutuslift.state.storage import MemberStorage
from arbutuslift.transport.bus import MemoryNetwork

from .result import Measure

CHANGES = (10, 100, 1000, 5000)
LARGE_CHANGES = (10, 300)
MEMBERS = (3, 5, 13)
IDLE_S = 60
CONTROL_BYTES_PER_S = 5000
SNAPSHOT_ENTRIES = 256
FAST_TIMING = AgreementTiming(
    heartbeat_interval_s=0.2, election_timeout_s=0.4, retry_interval_s=0.01
)


class CountingNetwork(MemoryNetwork):
    """Counts the bytes of message bodies that each member sends and receives."""

    def __init__(self, clock: Clock, delay_s: float) -> None:
        super().__init__(clock, delay_s)
        self.bytes_of: Counter[str] = Counter()

    async def deliver(self, sender: str, peer: str, body: bytes) -> bytes | None:
        """Deliver a message and count it and its answer at both ends."""
        answer = await super().deliver(sender, peer, body)
        for name in (sender, peer):
            self.bytes_of[name] += len(body) + len(answer or b"")
        return answer


def measure() -> list[Measure]:
    """Measure with all members in one process."""
    results: list[Measure] = []
    for services, label in ((2, "today"), (2100, "target scale")):
        results += asyncio.run(_changes_and_restarts(services, label))
    for count in MEMBERS:
        results.append(asyncio.run(_idle(count)))
    return results


def _document(services: int, revision: int) -> bytes:
    """Return a document with the given number of services, as deployments have them."""
    rng = random.Random(revision)
    content = {
        "services": [
            {
                "name": f"service-{number}",
                "address": f"10.{number // 250}.{number % 250}.1",
                "port": 8443,
                "protocol": "tcp",
                "kind": f"kind-{number % 20}",
                "priority": rng.choice(("urgent", "high", "ordinary")),
                "idempotent": rng.random() < 0.5,
                "max_connections": 2000,
                "slots": 2,
                "cold_new_flows_per_s": rng.randrange(5, 50),
                "warm_up_s": 30.0,
            }
            for number in range(services)
        ],
        "data_centres": [
            {
                "name": f"dc-{number}",
                "region": f"region-{number % 5}",
                "in_service": True,
                "instances": [f"dc-{number}-{i}" for i in range(3 + services // 17)],
            }
            for number in range(3 if services < 100 else 12)
        ],
    }
    return json.dumps(content).encode()


async def _changes_and_restarts(services: int, label: str) -> list[Measure]:
    change_counts = CHANGES if services < 100 else LARGE_CHANGES
    results: list[Measure] = []
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        done = 0
        for count in change_counts:
            results += await _change(folder, services, done, count, label)
            results += _restart(folder, count, label)
            done = count
    return results


def _open_members(
    network: MemoryNetwork, storages: dict[str, MemberStorage], timing: AgreementTiming
) -> list[Member]:
    """Start members; the first one forms the cluster."""
    members = [
        Member(
            name=name,
            storage=storage,
            channel=Channel(network.bus(name)),
            clock=network.clock,
            rng=random.Random(name),
            initial_member_names=tuple(storages),
            timing=timing,
        )
        for name, storage in storages.items()
    ]
    for member in members:
        member.start()
    return members


async def _change(
    folder: Path, services: int, done: int, count: int, label: str
) -> list[Measure]:
    """Submit changes ``done`` to ``count`` to three members that store on disk."""
    network = CountingNetwork(SystemClock(), 0.0)
    storages = {name: MemberStorage.open(folder / name) for name in "abc"}
    members = _open_members(network, storages, FAST_TIMING)
    await members[0].current()
    leader = next(member for member in members if member.is_leader)
    document = _document(services, done)
    synced = _SyncCounter()
    before = Counter(network.bytes_of)
    started_s = time.perf_counter()
    with synced:
        for revision in range(done, count):
            submission = Submission(
                document=_document(services, revision),
                expected_revision=revision,
                request_id=f"request-{revision}",
                author="operator",
                submitted_at_s=0.0,
            )
            await leader.submit(submission)
    changes = count - done
    change_s = (time.perf_counter() - started_s) / changes
    sent = network.bytes_of - before
    for member in members:
        await member.close()
    for storage in storages.values():
        storage.close()
    follower = min(sent.values()) / changes
    note = f"{label}: document of {len(document)} bytes, changes {done} to {count}"
    syncs = synced.count / changes / len(members)
    size = f"{label}, {count} changes"
    return [
        Measure(
            name=f"time per change, {size}", figure=change_s * 1e3, unit="ms", note=note
        ),
        Measure(
            name=f"syncs per change and member, {size}",
            figure=syncs,
            unit="",
            note=note,
        ),
        Measure(
            name=f"bytes per change and follower, {size}",
            figure=follower,
            unit="B",
            note=note,
        ),
    ]


class _SyncCounter:
    """Counts calls of ``os.fsync`` while the context is entered."""

    def __init__(self) -> None:
        self.count = 0

    def __enter__(self) -> None:
        self._fsync = os.fsync
        os.fsync = self._counted

    def __exit__(self, kind: object, error: object, trace: object) -> None:
        os.fsync = self._fsync

    def _counted(self, descriptor: int) -> None:
        self.count += 1
        self._fsync(descriptor)


def _restart(folder: Path, count: int, label: str) -> list[Measure]:
    """Open one member's folder and apply its whole log."""
    started_s = time.perf_counter()
    storage = MemberStorage.open(folder / "a")
    state = MemberState("a", storage, SystemClock())
    entries = state.last_index - state.snapshot_index
    state.commit(state.last_index)
    restart_s = time.perf_counter() - started_s
    indexes = storage.snapshots.indexes()
    snapshot_bytes = len(storage.snapshots.read(indexes[-1])) if indexes else 0
    log_bytes = storage.log.bytes_read
    storage.close()
    note = f"{label}: after {count} changes"
    size = f"{label}, {count} changes"
    return [
        Measure(
            name=f"restart time, {size}", figure=restart_s * 1e3, unit="ms", note=note
        ),
        Measure(
            name=f"restart bytes read, {size}",
            figure=snapshot_bytes + log_bytes,
            unit="B",
            note=f"{note}, snapshot {snapshot_bytes}, log {log_bytes}",
        ),
        Measure(
            name=f"restart entries read, {size}",
            figure=entries,
            unit="",
            target=SNAPSHOT_ENTRIES,
            passes=entries <= SNAPSHOT_ENTRIES,
            note=note,
        ),
    ]


async def _idle(count: int) -> Measure:
    """Return the traffic of the busiest member while no change is submitted."""
    clock = ManualClock()
    network = CountingNetwork(clock, 0.001)
    names = tuple(f"member-{number}" for number in range(count))
    storages = {name: MemberStorage.in_memory() for name in names}
    members = _open_members(network, storages, AgreementTiming())
    await clock.advance(30)
    network.bytes_of.clear()
    await clock.advance(IDLE_S)
    for member in members:
        await member.close()
    busiest = max(network.bytes_of.values()) / IDLE_S
    lowest = min(network.bytes_of.values()) / IDLE_S
    heartbeat_s = AgreementTiming().heartbeat_interval_s
    return Measure(
        name=f"idle bytes, leader of {count} members",
        figure=busiest,
        unit="B/s",
        target=CONTROL_BYTES_PER_S,
        passes=busiest <= CONTROL_BYTES_PER_S,
        note=f"follower {lowest:.0f} B/s, heartbeat {heartbeat_s} s, both directions",
    )


if __name__ == "__main__":
    for result in measure():
        print(f"{result.name}: {result.figure:.1f} {result.unit} ({result.note})")
