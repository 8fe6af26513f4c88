"""Seeded trace of changes of upstreams and instances."""

import itertools
import random

from attrs import evolve, field, frozen

from arbutuslift.state.upstreams import UpstreamRecord, UpstreamState
from tests import builders

DURATION_S = 3600.0
INSTANCES = 9
UPSTREAMS = 7
MAX_DELAY_S = 3.0
CHANGE_INTERVAL_S = 60.0
DRAIN_S = 600.0


@frozen
class RecordChange:
    """A change of an upstream's record, which each instance learns after its delay."""

    record: UpstreamRecord
    delays_s: tuple[float, ...]


@frozen
class InstanceRestart:
    """A restart of an instance, which learns a peer's generations after a delay."""

    number: int
    delay_s: float


@frozen(order=True)
class Scheduled:
    """A change and the time at which it happens."""

    at_s: float
    order: int
    change: RecordChange | InstanceRestart = field(order=False)


def build_trace(seed: int) -> list[Scheduled]:
    """Return the seeded trace of changes."""
    rng = random.Random(seed)
    order = itertools.count()
    trace: list[Scheduled] = []
    ready: dict[str, UpstreamRecord] = {}

    def add(at_s: float, change: RecordChange | InstanceRestart) -> None:
        trace.append(Scheduled(at_s, next(order), change))

    def change_record(
        at_s: float, record: UpstreamRecord, **changes: object
    ) -> UpstreamRecord:
        record = evolve(record, sequence=record.sequence + 1, **changes)
        delays_s = tuple(rng.uniform(0, MAX_DELAY_S) for _ in range(INSTANCES))
        add(at_s, RecordChange(record, delays_s))
        return record

    def start(at_s: float, number: int, address: int) -> None:
        record = builders.upstream(number, address=f"127.20.0.{address}")
        ready[record.upstream_id] = change_record(
            at_s, record, started_at_s=1000.0 + at_s
        )

    def drain(at_s: float) -> UpstreamRecord:
        record = ready.pop(rng.choice(sorted(ready)))
        record = change_record(at_s, record, state=UpstreamState.DRAINING)
        change_record(at_s + DRAIN_S, record, state=UpstreamState.GONE)
        return record

    for number in range(1, UPSTREAMS + 1):
        start(0.0, number, number)
    for number in range(100, 100 + int(DURATION_S / CHANGE_INTERVAL_S) - 1):
        at_s = (number - 99) * CHANGE_INTERVAL_S
        kinds = ["weight", "weight", "instance"]
        kinds += ["return", "remove"] if len(ready) > 3 else []
        kinds += ["add"] if len(ready) < 9 else []
        match rng.choice(kinds):
            case "weight":
                upstream_id = rng.choice(sorted(ready))
                weight = rng.choice([50, 100, 200])
                ready[upstream_id] = change_record(
                    at_s, ready[upstream_id], weight=weight
                )
            case "instance":
                restart = InstanceRestart(rng.randrange(INSTANCES), rng.uniform(0, 3))
                add(at_s, restart)
            case "return":
                record = drain(at_s)
                address = int(record.address.rpartition(".")[2])
                start(at_s + DRAIN_S + 10.0, number, address)
            case "remove":
                drain(at_s)
            case "add":
                start(at_s, number, number)
    return sorted(trace)
