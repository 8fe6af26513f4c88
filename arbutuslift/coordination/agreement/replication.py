"""Leader's side of log replication: a task for each peer, commit index, read rounds."""

from collections.abc import Callable, Mapping

import structlog
from attrs import define

from ...errors import MessageError, PeerFailure, TransportError
from ...protocol.agreement import AppendAnswer, AppendRequest, SnapshotChunk
from ...protocol.channel import Channel
from ...protocol.messages import Message
from ...state.logstore import EntryKind, LogEntry
from ...state.membership import MemberRecord, Membership
from ..concurrency import TaskSet
from .agreementtiming import AgreementTiming
from .memberstate import MemberState, Role, encode_membership

BATCH_BYTES = 256 * 1024
CHUNK_BYTES = 64 * 1024

_log = structlog.get_logger()


@define(kw_only=True)
class Peer:
    """Replication state of another member.

    Attributes:
        member: Its name and identity.
        next_index: Next entry to send.
        matched_index: Last entry known to be on its disk.
        acknowledged_commit_index: Last commit index that it acknowledged.
        elected_s: When this leader was elected, or the member added later.
        answered_s: When the newest request of this leader that it answered was sent;
            None before the first answer.
        last_heard_s: When the member was last heard of, also before the election.
        unanswered_since_s: When the oldest request since the last answer was sent;
            None if the last one was answered.
        read_round: Newest read round that it answered.
    """

    member: MemberRecord
    next_index: int
    matched_index: int = 0
    acknowledged_commit_index: int = 0
    elected_s: float
    answered_s: float | None = None
    last_heard_s: float
    unanswered_since_s: float | None = None
    read_round: int = 0

    @property
    def last_contact_s(self) -> float:
        """Return the time from which on it owes this leader an answer."""
        return self.elected_s if self.answered_s is None else self.answered_s

    def record_answer(self, sent_s: float) -> None:
        """Note that the member has answered a request sent at ``sent_s``."""
        self.answered_s = sent_s
        self.last_heard_s = max(self.last_heard_s, sent_s)
        self.unanswered_since_s = None


class Replicator:
    """Replicates the log to all members while this member leads.

    Args:
        state: State of the member.
        channel: Reaches the other members.
        timing: Intervals.
        tasks: Owns the tasks of the peers.
    """

    def __init__(
        self,
        state: MemberState,
        channel: Channel,
        timing: AgreementTiming,
        tasks: TaskSet,
    ) -> None:
        self._state = state
        self._channel = channel
        self._timing = timing
        self._tasks = tasks
        self._peers: dict[bytes, Peer] = {}
        self._read_round = 0
        self._term_start_index = 0

    @property
    def peers(self) -> list[Peer]:
        """Return the other members."""
        return list(self._peers.values())

    @property
    def term_start_index(self) -> int:
        """Return the index of the first entry of the leader's term.

        Until this entry is committed, the commit index may be lower than that of an
        earlier leader.
        """
        return self._term_start_index

    def become_leader(self) -> None:
        """Become leader of the current term and append its first entry, a no-op."""
        state = self._state
        state.role = Role.LEADER
        state.leader_name = state.name
        identities = [member.identity for member in state.membership.members]
        state.contacts.retain(identities)
        # What was heard of the members before counts, a silence isn't counted anew.
        heard_s = {i: state.contacts.last_contact_s(i) for i in identities}
        self._peers = {}
        _log.info("leader_elected", member=state.name, term=state.term)
        self._term_start_index = self._append(EntryKind.NO_OP, b"")
        self._update_peers(heard_s)
        self._advance_commit_index()

    def propose(self, kind: EntryKind, body: bytes) -> int:
        """Append an entry and return its index."""
        index = self._append(kind, body)
        self._update_peers({})
        self._advance_commit_index()
        return index

    def _append(self, kind: EntryKind, body: bytes) -> int:
        state = self._state
        index = state.last_index + 1
        entry = LogEntry(index=index, term=state.term, kind=kind, body=body)
        state.append((entry,))
        return index

    def propose_membership(self, membership: Membership) -> int:
        """Append an entry that changes the members; it takes effect when appended."""
        return self.propose(EntryKind.MEMBERSHIP, encode_membership(membership))

    def quorum_last_contact_s(self) -> float:
        """Return the latest time at which a quorum is known to have followed."""
        now_s = self._state.clock.monotonic_s()
        return self._quorum_value(lambda peer: peer.last_contact_s, now_s)

    async def confirm_leadership(self, timeout_s: float) -> bool:
        """Return whether a quorum answers a request sent after this call in time."""
        term = self._state.term
        self._read_round += 1
        round_number = self._read_round

        def is_confirmed() -> bool:
            return (
                self._quorum_value(lambda p: p.read_round, round_number) >= round_number
            )

        def is_decided() -> bool:
            return not self._state.is_leader_in(term) or is_confirmed()

        self._state.changed.notify()
        await self._state.changed.wait_for(is_decided, timeout_s)
        return self._state.is_leader_in(term) and is_confirmed()

    def _quorum_value(
        self, value_of: Callable[[Peer], float], own_value: float
    ) -> float:
        """Return the highest value that a quorum of voters has reached or exceeded."""
        membership = self._state.membership
        values = []
        for voter in membership.voters:
            if voter.identity == self._state.identity:
                values.append(own_value)
            elif voter.identity in self._peers:
                values.append(value_of(self._peers[voter.identity]))
        values.sort(reverse=True)
        return values[membership.quorum - 1]

    def _update_peers(self, heard_s: Mapping[bytes, float]) -> None:
        """Replicate to the members of the newest membership.

        Args:
            heard_s: When members were last heard of, by identity; those that aren't
                in it count as heard now.
        """
        state = self._state
        now_s = state.clock.monotonic_s()
        members = state.membership.members
        others = {m.identity: m for m in members if m.identity != state.identity}
        for identity in set(self._peers) - set(others):
            del self._peers[identity]
        for identity, member in others.items():
            if identity in self._peers:
                self._peers[identity].member = member
                continue
            peer = Peer(
                member=member,
                next_index=state.last_index,
                elected_s=now_s,
                last_heard_s=heard_s.get(identity, now_s),
                read_round=self._read_round - 1,
            )
            self._peers[identity] = peer
            self._tasks.spawn(self._replicate_to(peer, state.term))

    async def _replicate_to(self, peer: Peer, term: int) -> None:
        """Replicate to one peer until the leadership or its membership ends."""
        state = self._state

        def has_ended() -> bool:
            is_current_peer = self._peers.get(peer.member.identity) is peer
            return not state.is_leader_in(term) or not is_current_peer

        def is_due() -> bool:
            return has_ended() or self._has_updates(peer)

        while not has_ended():
            try:
                await self._send_next(peer, term)
            except (TransportError, PeerFailure, MessageError):
                await state.changed.wait_for(
                    has_ended, self._timing.heartbeat_interval_s
                )
                continue
            await state.changed.wait_for(is_due, self._timing.heartbeat_interval_s)

    def _has_updates(self, peer: Peer) -> bool:
        return (
            peer.next_index <= self._state.last_index
            or peer.acknowledged_commit_index < self._state.commit_index
            or peer.read_round < self._read_round
        )

    async def _send_next(self, peer: Peer, term: int) -> None:
        """Send the next entries, a snapshot or a heartbeat, and process the answer."""
        log = self._state.log
        if peer.next_index < max(log.first_index, 1):
            await self._send_snapshot(peer, term)
            return
        request = self._append_request(peer, term)
        answer = await self._request(peer, request)
        if not self._state.is_leader_in(term) or answer is None:
            return
        if answer.success:
            peer.next_index = answer.matched_index + 1
            peer.acknowledged_commit_index = request.commit_index
            peer.matched_index = max(peer.matched_index, answer.matched_index)
            self._advance_commit_index()
        else:
            peer.next_index = min(peer.next_index - 1, answer.matched_index + 1)

    def _append_request(self, peer: Peer, term: int) -> AppendRequest:
        state = self._state
        previous = peer.next_index - 1
        return AppendRequest(
            target=peer.member.identity,
            cluster=state.cluster,
            term=term,
            previous_index=previous,
            previous_term=self._previous_term(previous),
            commit_index=state.commit_index,
            entries=state.log.read(peer.next_index, BATCH_BYTES),
        )

    def _previous_term(self, index: int) -> int:
        """Return the term of an entry, or -1 if only an older snapshot covers it."""
        if index == 0:
            return 0
        is_in_log = index >= self._state.log.first_index
        return (
            self._state.term_at(index)
            if is_in_log or self._is_snapshot_index(index)
            else -1
        )

    def _is_snapshot_index(self, index: int) -> bool:
        return index == self._state.snapshot_index

    async def _send_snapshot(self, peer: Peer, term: int) -> None:
        state = self._state
        index = state.snapshot_index
        content = state.snapshots.read(index)
        for offset in range(0, len(content), CHUNK_BYTES):
            data = content[offset : offset + CHUNK_BYTES]
            chunk = SnapshotChunk(
                target=peer.member.identity,
                cluster=state.cluster,
                term=term,
                index=index,
                offset=offset,
                data=data,
                done=offset + len(data) == len(content),
            )
            answer = await self._request(peer, chunk)
            if not state.is_leader_in(term) or answer is None or not answer.success:
                return
        _log.info("snapshot_sent", peer=peer.member.name, index=index)
        peer.next_index = answer.matched_index + 1
        peer.matched_index = max(peer.matched_index, answer.matched_index)
        self._advance_commit_index()

    async def _request(self, peer: Peer, message: Message) -> AppendAnswer | None:
        """Return the answer, or None if this member no longer leads the term."""
        state = self._state
        term = state.term
        sent_s = state.clock.monotonic_s()
        if peer.unanswered_since_s is None:
            peer.unanswered_since_s = sent_s
        read_round = self._read_round
        answer = await self._channel.request(
            peer.member.name, message, self._timing.request_timeout_s
        )
        if not isinstance(answer, AppendAnswer):
            raise MessageError("not an AppendAnswer", step="replicate")
        if answer.member != peer.member.identity:
            raise MessageError("answered by another identity", step="replicate")
        state.observe_term(answer.term)
        if not state.is_leader_in(term) or answer.term != term:
            return None
        peer.record_answer(sent_s)
        state.contacts.record_answer(peer.member.identity, sent_s)
        peer.read_round = max(peer.read_round, read_round)
        state.changed.notify()
        return answer

    def _advance_commit_index(self) -> None:
        """Commit the entries that a quorum has stored, if the last is of this term.

        An entry of an earlier term can still be replaced although a quorum has
        stored it (Raft, section 5.4.2). It is therefore committed only together
        with a later entry of the leader's own term.
        """
        state = self._state
        index = self._quorum_value(lambda p: p.matched_index, state.last_index)
        if index > state.commit_index and state.term_at(index) == state.term:
            state.commit(index)
