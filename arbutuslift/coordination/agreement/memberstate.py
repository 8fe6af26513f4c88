"""State that the tasks of one member share: role, term, log, members, applied state."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import Enum

from attrs import evolve, frozen

from ...clock import Clock
from ...errors import MessageError, StorageError
from ...state.codec import decode_value, encode_value
from ...state.configuration import (
    ConfigurationState,
    Decision,
    StoredRevision,
)
from ...state.logstore import EntryKind, LogEntry
from ...state.membership import Membership
from ...state.snapshots import Snapshot
from ...state.storage import MemberStorage
from ...state.termstore import TermRecord
from ..concurrency import ChangeNotifier
from .lastcontacts import LastContacts

SNAPSHOT_ENTRIES = 256
APPLY_BATCH_BYTES = 1024 * 1024

CommitCallback = Callable[[StoredRevision], None]


class Role(Enum):
    """Role of a member in its current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@frozen(kw_only=True)
class _PendingDecision:
    term: int
    decision_future: "asyncio.Future[Decision | None]"


@frozen(kw_only=True)
class _IndexedMembership:
    index: int
    membership: Membership


class MemberState:
    """State of one member; persistent changes are stored before they become visible.

    Args:
        name: Name of the instance.
        storage: State of the member that persists over restarts.
        clock: Source of time.

    Attributes:
        changed: Notified after every change.
        role: Role of the member in its current term.
        is_transferring: Whether the leader has offered the leadership to another
            member, and so proposes nothing.
        leader_name: Leader of the term, if known.
        leader_last_contact_s: When the last request of a leader was received.
        contacts: When the other members were last heard of.
        commit_index: Last entry known to be committed; all up to it are applied.
        configuration: Result of the applied entries.
        failure: Error that ended the member's participation; None without one.
        on_failure: Called when ``failure`` is set.

    Raises:
        StorageError: The stored state can't be read.
    """

    def __init__(self, name: str, storage: MemberStorage, clock: Clock) -> None:
        self.name = name
        self.identity = storage.identity
        self.log = storage.log
        self.snapshots = storage.snapshots
        self.clock = clock
        self.changed = ChangeNotifier(clock)
        self.role = Role.FOLLOWER
        self.is_transferring = False
        self.leader_name: str | None = None
        self.leader_last_contact_s = float("-inf")
        self.contacts = LastContacts(clock)
        self.failure: Exception | None = None
        self.on_failure: Callable[[], None] = lambda: None
        self._terms = storage.terms
        self._record = storage.terms.load()
        self._pending: dict[int, _PendingDecision] = {}
        self._callbacks: list[CommitCallback] = []
        self._restore(storage.snapshots.newest())
        self._complete_snapshot_installation()
        self._read_memberships()

    @property
    def term(self) -> int:
        """Return the highest term seen."""
        return self._record.term

    @property
    def voted_for(self) -> bytes:
        """Return the identity that got this member's vote of the term."""
        return self._record.voted_for

    @property
    def cluster(self) -> bytes:
        """Return the cluster to which the member belongs, empty for none."""
        return self._record.cluster

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.log.last_index

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self.term_at(self.log.last_index)

    @property
    def snapshot_index(self) -> int:
        """Return the index of the last entry that the newest snapshot covers."""
        return self._snapshot.index

    @property
    def membership(self) -> Membership:
        """Return the members according to the newest membership entry."""
        return self._memberships[-1].membership

    @property
    def membership_index(self) -> int:
        """Return the index of the newest membership entry."""
        return self._memberships[-1].index

    def is_leader_in(self, term: int) -> bool:
        """Return whether the member is the leader of ``term`` and still in it."""
        return self.role is Role.LEADER and self.term == term

    def term_at(self, index: int) -> int:
        """Return the term of an entry that the log or the snapshot holds."""
        if index == self._snapshot.index:
            return self._snapshot.term
        return self.log.term_at(index)

    def check_target(self, target: bytes, cluster: bytes) -> None:
        """Refuse a request for another identity or from another cluster.

        Raises:
            MessageError: The request is for another member, or this one has stopped.
        """
        if self.failure is not None:
            raise MessageError("the member has stopped", step="check target")
        if target != self.identity:
            raise MessageError("sent to another identity", step="check target")
        if self.cluster and cluster != self.cluster:
            raise MessageError("sent from another cluster", step="check target")

    def join_cluster(self, cluster: bytes, former_cluster: bytes = b"") -> None:
        """Store the cluster to which the member belongs, unless it has one.

        Args:
            cluster: Identity of the cluster.
            former_cluster: A cluster without entries that this one replaces; empty for
                none.
        """
        is_replaced = self.cluster == former_cluster and self.last_index == 0
        if not self.cluster or is_replaced:
            self._save(evolve(self._record, cluster=cluster))

    def observe_term(self, term: int) -> None:
        """Become a follower in ``term`` if it is newer than the current one."""
        if term > self.term:
            self._save(evolve(self._record, term=term, voted_for=b""))
            self.step_down()

    def step_down(self) -> None:
        """Become a follower without a known leader."""
        self.role = Role.FOLLOWER
        self.leader_name = None
        self.changed.notify()

    def follow_leader(self, term: int, leader_name: str) -> None:
        """Follow the leader of a term that is not older than the current one."""
        self.observe_term(term)
        if self.leader_name != leader_name:
            self.role = Role.FOLLOWER
            self.leader_name = leader_name
            self.changed.notify()
        self.leader_last_contact_s = self.clock.monotonic_s()
        members = self.membership.members
        self.contacts.record_leader(
            m.identity for m in members if m.name == leader_name
        )

    def record_vote(self, term: int, identity: bytes) -> None:
        """Store the vote in a term, and become a follower in it if it is newer."""
        is_newer = term > self.term
        self._save(evolve(self._record, term=term, voted_for=identity))
        if is_newer:
            self.step_down()

    def become_candidate(self, term: int) -> None:
        """Become a candidate in a new term and store the vote for itself."""
        self._save(evolve(self._record, term=term, voted_for=self.identity))
        self.role = Role.CANDIDATE
        self.leader_name = None

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Store entries after the last one."""
        with self._stop_on_storage_error():
            self.log.append(entries)
        for entry in entries:
            self._track_membership(entry)
        self.changed.notify()

    def truncate(self, first: int) -> None:
        """Remove the entries from ``first`` on, which a newer leader doesn't have."""
        with self._stop_on_storage_error():
            if first <= self.commit_index:
                message = f"entry {first} is already committed"
                raise StorageError(message, step="truncate log")
            self.log.truncate(first)
        while self._memberships[-1].index >= first:
            self._memberships.pop()

    def expect_decision(self, index: int) -> "asyncio.Future[Decision | None]":
        """Return a future for the decision on an entry just appended.

        Its result is None if an entry of another term is committed at the index.
        """
        decision_future = asyncio.get_running_loop().create_future()
        self._pending[index] = _PendingDecision(
            term=self.term, decision_future=decision_future
        )
        return decision_future

    def commit(self, index: int) -> None:
        """Set the commit index and apply all entries up to it."""
        with self._stop_on_storage_error():
            if index > self.log.last_index:
                message = f"entry {index} is after the last one, {self.log.last_index}"
                raise StorageError(message, step="apply log")
            while self.commit_index < index:
                batch = self.log.read(self.commit_index + 1, APPLY_BATCH_BYTES)
                for entry in batch[: index - self.commit_index]:
                    self._apply(entry)
            if self.commit_index - self._snapshot.index >= SNAPSHOT_ENTRIES:
                self._take_snapshot()
        self.changed.notify()

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the applied state by a newer snapshot of the leader.

        The member may have acknowledged entries after the snapshot. They are
        therefore retained if the log holds the last entry that the snapshot covers.
        """
        index = snapshot.index
        is_in_log = self.log.first_index <= index <= self.log.last_index
        is_matching = is_in_log and self.log.term_at(index) == snapshot.term
        with self._stop_on_storage_error():
            self.snapshots.save(snapshot)
            if is_matching:
                self.log.compact(index, index)
            else:
                self.log.reset(index)
        self._restore(snapshot)
        self._read_memberships()
        self._notify_callbacks()
        self.changed.notify()

    def fail(self, error: Exception) -> None:
        """Stop taking part: step down and refuse requests of other members."""
        self.failure = self.failure or error
        self.step_down()
        self.on_failure()

    def on_commit(self, callback: CommitCallback) -> None:
        """Call ``callback`` with the newest revision, if any, and each later one."""
        self._callbacks.append(callback)
        if self.configuration.newest is not None:
            callback(self.configuration.newest)

    @contextmanager
    def _stop_on_storage_error(self) -> Iterator[None]:
        """Stop the member if its storage fails."""
        try:
            yield
        except StorageError as error:
            self.fail(error)
            raise

    def _save(self, record: TermRecord) -> None:
        with self._stop_on_storage_error():
            self._terms.save(record)
        self._record = record

    def _restore(self, snapshot: Snapshot) -> None:
        self._snapshot = evolve(snapshot, state=b"")
        self.configuration = ConfigurationState.decode(snapshot.state)
        self.commit_index = snapshot.index
        if not hasattr(self, "_reported"):
            self._reported = self.configuration.revision

    def _complete_snapshot_installation(self) -> None:
        """Complete the installation of a snapshot that a crash interrupted."""
        index = self._snapshot.index
        is_in_log = self.log.first_index <= index <= self.log.last_index
        is_stale = is_in_log and self.log.term_at(index) != self._snapshot.term
        if self.log.last_index < index or is_stale:
            self.log.reset(index)

    def _read_memberships(self) -> None:
        start = self._snapshot.index
        base = _IndexedMembership(index=start, membership=self._snapshot.membership)
        self._memberships = [base]
        for index in range(start + 1, self.log.last_index + 1):
            if self.log.kind_at(index) is EntryKind.MEMBERSHIP:
                self._track_membership(self.log.read(index, 0)[0])

    def _track_membership(self, entry: LogEntry) -> None:
        if entry.kind is EntryKind.MEMBERSHIP:
            membership = decode_value(entry.body, Membership)
            indexed = _IndexedMembership(index=entry.index, membership=membership)
            self._memberships.append(indexed)

    def _apply(self, entry: LogEntry) -> None:
        decision = None
        if entry.kind is EntryKind.SUBMISSION:
            decision = self.configuration.apply_encoded(entry.body)
        self.commit_index = entry.index
        pending = self._pending.pop(entry.index, None)
        if pending is not None and not pending.decision_future.done():
            is_same_term = pending.term == entry.term
            pending.decision_future.set_result(decision if is_same_term else None)
        self._notify_callbacks()

    def _notify_callbacks(self) -> None:
        for stored in self.configuration.revisions_since(self._reported):
            self._reported = stored.revision
            for callback in self._callbacks:
                callback(stored)

    def _take_snapshot(self) -> None:
        committed = [m for m in self._memberships if m.index <= self.commit_index]
        snapshot = Snapshot(
            index=self.commit_index,
            term=self.log.term_at(self.commit_index),
            membership=committed[-1].membership,
            state=self.configuration.encode(),
        )
        previous = self._snapshot.index
        self.snapshots.save(snapshot)
        self._snapshot = evolve(snapshot, state=b"")
        self.log.compact(snapshot.index, previous)
        self._memberships = self._memberships[len(committed) - 1 :]


def encode_membership(membership: Membership) -> bytes:
    """Return the body of a log entry that sets the members."""
    return encode_value(membership)
