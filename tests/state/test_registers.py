"""Registers and their hash tree: merging in any order gives the same result."""

import random

import pytest
from attrs import evolve

from arbutuslift.state.instances import (
    InstanceRecord,
    InstanceStatus,
    InstanceView,
    RevisionMark,
    RevisionView,
)
from arbutuslift.state.loads import LoadRegister, UpstreamLoad
from arbutuslift.state.recordindex import FANOUT, RecordIndex, differing_positions
from arbutuslift.state.registers import (
    DelegatingRegister,
    UpstreamRegister,
    record_key,
    record_version,
)
from arbutuslift.state.upstreams import UpstreamState, UpstreamView

from ..builders import upstream


def _instances(rng):
    return [
        InstanceRecord(
            name=f"entry-{rng.randrange(3)}",
            incarnation=rng.randrange(3),
            heartbeat=rng.randrange(3),
            status=rng.choice(list(InstanceStatus)),
            data_centre="dc-1",
            endpoint="",
        )
        for _ in range(40)
    ]


def _upstreams(rng):
    """Return announcements of three upstreams, and records that some are gone."""
    records = []
    for number in range(1, 4):
        record = upstream(number, state=UpstreamState.COLD)
        for sequence in range(1, 8):
            state = UpstreamState(min(UpstreamState.LEAVING, record.state + 1))
            record = evolve(
                record,
                sequence=sequence,
                state=rng.choice((record.state, state)),
                weight=rng.choice((50, 100)),
            )
            records.append(record)
        if number > 1:
            records.append(evolve(rng.choice(records), state=UpstreamState.GONE))
    return records


def _marks(rng):
    return [
        RevisionMark(name=f"entry-{rng.randrange(3)}", revision=rng.randrange(9))
        for _ in range(30)
    ]


def _loads(rng):
    return [
        UpstreamLoad(
            upstream_id=f"{sequence % 3}",
            sequence=sequence,
            open_connections=rng.randrange(2000),
            busy_slots=rng.randrange(3),
        )
        for sequence in range(30)
    ]


def _delegating_register():
    view = RevisionView()
    return DelegatingRegister("mark", RevisionMark, view.records, view.merge)


def test_delegating_register_finds_records_that_the_set_had_before():
    """Guards against a record of the set that the register treats as removed."""
    view = RevisionView()
    register = DelegatingRegister("mark", RevisionMark, view.records, view.merge)
    mark = RevisionMark(name="entry-1", revision=4)
    view.merge(mark)
    assert not register.merge(mark)
    assert register.get("entry-1") == mark
    assert not register.merge(evolve(mark, revision=3))
    assert register.get("entry-1") == mark


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize(
    ("make", "records"),
    [
        (InstanceView, _instances),
        (lambda: UpstreamRegister(UpstreamView()), _upstreams),
        (RevisionView, _marks),
        (lambda: LoadRegister(UpstreamView()), _loads),
        (_delegating_register, _marks),
    ],
    ids=["instances", "upstreams", "revisions", "loads", "delegating"],
)
def test_any_order_with_repeats_converges(make, records, seed):
    rng = random.Random(seed)
    items = records(rng)
    results = set()
    for _ in range(20):
        order = items + rng.choices(items, k=len(items))
        rng.shuffle(order)
        register = make()
        for record in order:
            register.merge(record)
        results.add(
            frozenset((record_key(r), record_version(r)) for r in register.records())
        )
    assert len(results) == 1


def test_older_instance_record_never_overrides():
    view = InstanceView()
    newest = InstanceRecord(
        name="a", incarnation=5, heartbeat=2, data_centre="", endpoint=""
    )
    assert view.merge(newest)
    for changes in (
        {"incarnation": 4, "heartbeat": 9, "status": InstanceStatus.DEAD},
        {"heartbeat": 1, "status": InstanceStatus.DEAD},
        {},
    ):
        assert not view.merge(evolve(newest, **changes))
    assert view.get("a") == newest


def test_index_finds_the_keys_that_differ():
    """Compare the hash tree with plain dictionaries."""
    rng = random.Random(1)
    for _ in range(20):
        left, right = RecordIndex(), RecordIndex()
        contents = [{}, {}]
        for number in range(300):
            key = f"key-{number}"
            version = rng.randrange(3)
            for index, plain in zip((left, right), contents, strict=True):
                chosen = version if rng.random() < 0.98 else 3
                index.put(key, rng.randrange(4))
                index.put(key, chosen)
                plain[key] = chosen
        assert (left.root == right.root) == (contents[0] == contents[1])
        found = set()
        for node in differing_positions(left.top_hashes(), right.top_hashes()):
            for leaf in differing_positions(
                left.node_hashes(node), right.node_hashes(node)
            ):
                mine = left.leaf(node * FANOUT + leaf)
                theirs = right.leaf(node * FANOUT + leaf)
                found |= {
                    entry.key
                    for key_hash, entry in mine.items()
                    if theirs[key_hash].version != entry.version
                }
        assert found == {k for k in contents[0] if contents[0][k] != contents[1][k]}
        for key in contents[0]:
            left.remove(key)
        assert left.root == 0
