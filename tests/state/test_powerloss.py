"""Guards against entries, terms and votes that are stored and lost with the power."""

from contextlib import suppress

import pytest
from attrs import evolve

from arbutuslift.state.logstore import EntryKind, LogEntry
from arbutuslift.state.storage import MemberStorage
from arbutuslift.state.termstore import TermRecord

from .storage_faults import PowerLost, VolatileDisk
from .test_storage import snapshot


class Stored:
    """A member's storage, with what has been acknowledged as stored.

    Attributes:
        entries: Terms of the acknowledged entries by index.
        attempted: The same, with the change under way.
        term: Newest acknowledged term.
    """

    def __init__(self, storage):
        self.storage = storage
        self.entries = {}
        self.attempted = {}
        self.term = 0

    def append(self, *indexes, term=1):
        self.attempted = self.entries | dict.fromkeys(indexes, term)
        self.storage.log.append(
            [LogEntry(index=i, term=term, kind=EntryKind.NO_OP) for i in indexes]
        )
        self.entries = self.attempted

    def truncate(self, first):
        self.attempted = {i: t for i, t in self.entries.items() if i < first}
        self.storage.log.truncate(first)
        self.entries = self.attempted

    def take_snapshot(self, index, previous):
        self.storage.snapshots.save(snapshot(index))
        self.storage.log.compact(index, previous)

    def install_snapshot(self, index):
        self.attempted = {}
        self.storage.snapshots.save(snapshot(index))
        self.storage.log.reset(index)
        self.entries = {}

    def vote(self, term):
        self.storage.terms.save(evolve(TermRecord(), term=term, voted_for=b"v" * 16))
        self.term = term


def write(stored):
    """Use every write path of a member."""
    stored.vote(1)
    stored.append(1, 2, 3)
    stored.append(4, 5)
    stored.take_snapshot(3, 0)
    stored.append(6)
    stored.truncate(5)
    stored.vote(2)
    stored.append(5, 6, 7, 8, term=2)
    stored.take_snapshot(6, 3)
    stored.append(9, term=2)
    stored.take_snapshot(9, 6)
    stored.vote(3)
    stored.append(10, 11, term=3)
    stored.install_snapshot(20)
    stored.append(21, 22, term=3)
    stored.take_snapshot(21, 20)


def count_of_operations(monkeypatch, folder):
    with monkeypatch.context() as patch:
        disk = VolatileDisk(patch, folder)
        MemberStorage.open(folder).close()
        storage = MemberStorage.open(folder)
        disk.calls = 0
        write(Stored(storage))
        storage.close()
        return disk.calls


@pytest.mark.parametrize("torn", [False, True])
def test_nothing_that_was_stored_is_lost_at_any_operation(tmp_path, monkeypatch, torn):
    total = count_of_operations(monkeypatch, folder_in(tmp_path, "count"))
    assert total > 50
    for fail_at in range(total + 1):
        check_loss(monkeypatch, folder_in(tmp_path, f"{fail_at}"), fail_at, torn)


def folder_in(tmp_path, name):
    folder = tmp_path / name
    folder.mkdir()
    return folder


def check_loss(monkeypatch, folder, fail_at, torn):
    with monkeypatch.context() as patch:
        disk = VolatileDisk(patch, folder, torn=torn)
        MemberStorage.open(folder).close()
        storage = MemberStorage.open(folder)
        disk.calls, disk._fail_at = 0, fail_at
        stored = Stored(storage)
        with suppress(PowerLost):
            write(stored)
        disk._fail_at = None
        storage.close()
        disk.lose_power()
    check(folder, stored, fail_at)


def check(folder, stored, fail_at):
    reopened = MemberStorage.open(folder)
    log, covered = reopened.log, reopened.snapshots.newest().index
    found = {i: log.term_at(i) for i in range(log.first_index, log.last_index + 1)}
    found = {i: term for i, term in found.items() if i > covered}
    expected = [
        {i: term for i, term in entries.items() if i > covered}
        for entries in (stored.entries, stored.attempted)
    ]
    assert found in expected, f"operation {fail_at}, snapshot {covered}"
    assert reopened.terms.load().term >= stored.term, f"operation {fail_at}"
    reopened.close()


@pytest.mark.parametrize("torn", [False, True])
def test_what_a_restart_reads_back_outlives_a_loss_of_power(
    tmp_path, monkeypatch, torn
):
    """Guards against entries and votes of a killed process that were never synced."""
    total = count_of_operations(monkeypatch, folder_in(tmp_path, "count"))
    for fail_at in range(total + 1):
        folder = folder_in(tmp_path, f"{fail_at}")
        with monkeypatch.context() as patch:
            disk = VolatileDisk(patch, folder, torn=torn)
            MemberStorage.open(folder).close()
            killed = MemberStorage.open(folder)
            disk.calls, disk._fail_at = 0, fail_at
            with suppress(PowerLost):
                write(Stored(killed))
            disk._fail_at = None
            killed.close()
            before = read_back(folder)
            disk.lose_power()
        assert read_back(folder) == before, f"operation {fail_at}"


def read_back(folder):
    """Return what a member that starts takes as stored."""
    storage = MemberStorage.open(folder)
    log = storage.log
    covered = storage.snapshots.newest().index
    terms = {i: log.term_at(i) for i in range(covered + 1, log.last_index + 1)}
    found = (storage.identity, storage.terms.load(), covered, terms)
    storage.close()
    return found
