"""Guards against late records that revive a start that is gone or replaced."""

import itertools

import pytest
from attrs import evolve
from hypothesis import given, strategies as st

from arbutuslift.state.starts import Phase, StartTable

from ..builders import start


def phases(table):
    return {record.key: record.phase for record in table}


def test_start_that_is_gone_stays_gone_after_a_late_announcement():
    table = StartTable()
    table.merge(start(1))
    table.merge(start(1, phase=Phase.GONE))
    assert table.merge(start(1, sequence=9)) == []
    assert table.get(start(1).upstream_id).phase is Phase.GONE


def test_late_announcement_of_an_earlier_start_is_ignored():
    table = StartTable()
    table.merge(start(1, born_ms=20))
    assert table.merge(start(1, born_ms=10, sequence=99)) == []


def test_restart_under_the_same_identity_ends_the_earlier_start():
    table = StartTable()
    table.merge(start(1, born_ms=10, sequence=50))
    changed = table.merge(start(1, born_ms=20, sequence=1))
    assert [(s.born_ms, s.phase) for s in changed] == [
        (10, Phase.GONE),
        (20, Phase.READY),
    ]


def test_announcements_of_one_start_are_ordered_by_their_number():
    table = StartTable()
    table.merge(start(1, phase=Phase.DRAINING, sequence=5))
    assert table.merge(start(1, sequence=4)) == []


def test_an_address_belongs_to_the_process_that_started_last():
    old, new = start(1, born_ms=10), start(2, born_ms=20, ip=start(1).ip, service="x")
    for order in itertools.permutations((old, new)):
        table = StartTable()
        for record in order:
            table.merge(record)
        assert phases(table) == {old.key: Phase.GONE, new.key: Phase.READY}


records = st.builds(
    start,
    st.integers(1, 3),
    born_ms=st.integers(1, 3),
    sequence=st.integers(1, 3),
    phase=st.sampled_from(Phase),
    ip=st.sampled_from(["127.20.0.1", "127.20.0.2"]),
)


@given(st.lists(records, max_size=8), st.randoms())
def test_no_merge_revives_a_start_that_is_gone(updates, rng):
    table = StartTable()
    gone = set()
    for record in updates * 2:
        for changed in table.merge(record):
            assert changed.key not in gone or changed.phase is Phase.GONE
            if changed.phase is Phase.GONE:
                gone.add(changed.key)


def test_full_table_ignores_further_upstreams(monkeypatch):
    monkeypatch.setattr("arbutuslift.state.starts.MAX_STARTS", 1)
    table = StartTable()
    table.merge(start(1))
    assert table.merge(start(2)) == []


@pytest.mark.parametrize("phase", [Phase.READY, Phase.DRAINING])
def test_remove_releases_the_address(phase):
    table = StartTable()
    table.merge(start(1, phase=phase))
    table.remove(start(1).upstream_id)
    younger = evolve(start(2), ip=start(1).ip, born_ms=1)
    assert table.merge(younger) == [younger]
