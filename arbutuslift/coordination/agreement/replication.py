"""Leader's side of the log: one task per peer, commit index, confirmed reads."""

from collections.abc import Callable

import structlog
from attrs import define

from ...errors import MessageError, PeerFailure, TransportError
from ...protocol.agreement import AppendAnswer, AppendRequest, SnapshotChunk
from ...protocol.channel import Channel
from ...protocol.messages import Message
from ...state.logstore import EntryKind, LogEntry
from ...state.membership import MemberRecord, Membership
from ..concurrency import TaskSet
from .memberstate import AgreementTiming, MemberState, Role, encode_membership

BATCH_BYTES = 256 * 1024
CHUNK_BYTES = 64 * 1024

_log = structlog.get_logger()


@define(kw_only=True)
class Peer:
    """Another member as the leader sees it.

    Attributes:
        member: Its name and identity.
        next_index: Next entry to send.
        matched_index: Last entry known to be on its disk.
        commit_sent: Last commit index that it acknowledged.
        last_contact_s: When the newest answered request was sent.
        read_round: Newest round of reads that it confirmed.
    """

    member: MemberRecord
    next_index: int
    matched_index: int = 0
    commit_sent: int = 0
    last_contact_s: float
    read_round: int = 0


class Replicator:
    """Sends the log to all members while this member leads.

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
        self._term_start = 0

    @property
    def peers(self) -> list[Peer]:
        """Return the other members."""
        return list(self._peers.values())

    @property
    def term_start_index(self) -> int:
        """Return the first entry of the leader's term.

        Until it is committed, the commit index may lag behind what an earlier
        leader committed.
        """
        return self._term_start

    def become_leader(self) -> None:
        """Begin the leadership of the current term with a no-op entry."""
        state = self._state
        state.role = Role.LEADER
        state.leader_name = state.name
        self._peers = {}
        _log.info("leader_elected", member=state.name, term=state.term)
        self._term_start = self.propose(EntryKind.NO_OP, b"")

    def propose(self, kind: EntryKind, body: bytes) -> int:
        """Append an entry and return its index."""
        state = self._state
        index = state.last_index + 1
        entry = LogEntry(index=index, term=state.term, kind=kind, body=body)
        state.append((entry,))
        self._update_peers()
        self._advance()
        return index

    def propose_membership(self, membership: Membership) -> int:
        """Append an entry that changes the members; it is in effect at once."""
        return self.propose(EntryKind.MEMBERSHIP, encode_membership(membership))

    def quorum_last_contact_s(self) -> float:
        """Return the time up to which a quorum is known to have followed."""
        now_s = self._state.clock.monotonic_s()
        return self._reached_by_quorum(lambda peer: peer.last_contact_s, now_s)

    async def confirm_leadership(self, timeout_s: float) -> bool:
        """Return whether a quorum confirms the leadership after this call."""
        term = self._state.term
        self._read_round += 1
        wanted = self._read_round

        def confirmed() -> bool:
            return self._reached_by_quorum(lambda p: p.read_round, wanted) >= wanted

        def decided() -> bool:
            return not self._state.is_leader_in(term) or confirmed()

        self._state.changed.notify()
        await self._state.changed.wait_for(decided, timeout_s)
        return self._state.is_leader_in(term) and confirmed()

    def _reached_by_quorum(
        self, value_of: Callable[[Peer], float], own_value: float
    ) -> float:
        """Return the highest value that a quorum of voters has reached."""
        membership = self._state.membership
        values = []
        for voter in membership.voters:
            if voter.identity == self._state.identity:
                values.append(own_value)
            elif voter.identity in self._peers:
                values.append(value_of(self._peers[voter.identity]))
        values.sort(reverse=True)
        return values[membership.quorum - 1]

    def _update_peers(self) -> None:
        state = self._state
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
                last_contact_s=state.clock.monotonic_s(),
                read_round=self._read_round - 1,
            )
            self._peers[identity] = peer
            self._tasks.spawn(self._serve(peer, state.term))

    async def _serve(self, peer: Peer, term: int) -> None:
        """Keep one peer up to date until the leadership or its membership ends."""
        state = self._state

        def ended() -> bool:
            known = self._peers.get(peer.member.identity) is peer
            return not state.is_leader_in(term) or not known

        def due() -> bool:
            return ended() or self._has_work(peer)

        while not ended():
            try:
                await self._exchange(peer, term)
            except (TransportError, PeerFailure, MessageError):
                await state.changed.wait_for(ended, self._timing.heartbeat_interval_s)
                continue
            await state.changed.wait_for(due, self._timing.heartbeat_interval_s)

    def _has_work(self, peer: Peer) -> bool:
        return (
            peer.next_index <= self._state.last_index
            or peer.commit_sent < self._state.commit_index
            or peer.read_round < self._read_round
        )

    async def _exchange(self, peer: Peer, term: int) -> None:
        """Send what the peer lacks, or a heartbeat, and take the answer in."""
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
            peer.commit_sent = request.commit_index
            peer.matched_index = max(peer.matched_index, answer.matched_index)
            self._advance()
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
        """Return the term of an entry, or -1 if it is only in an old snapshot."""
        if index == 0:
            return 0
        held = index >= self._state.log.first_index
        return self._state.term_at(index) if held or self._is_base(index) else -1

    def _is_base(self, index: int) -> bool:
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
        self._advance()

    async def _request(self, peer: Peer, message: Message) -> AppendAnswer | None:
        """Return the answer if the peer follows this leader in its term."""
        state = self._state
        term = state.term
        sent_s = state.clock.monotonic_s()
        read_round = self._read_round
        answer = await self._channel.request(
            peer.member.name, message, self._timing.request_timeout_s
        )
        if not isinstance(answer, AppendAnswer):
            raise MessageError("not an AppendAnswer", step="replicate")
        if answer.member != peer.member.identity:
            raise MessageError("another identity", step="replicate")
        state.observe_term(answer.term)
        if not state.is_leader_in(term) or answer.term != term:
            return None
        peer.last_contact_s = sent_s
        peer.read_round = max(peer.read_round, read_round)
        state.changed.notify()
        return answer

    def _advance(self) -> None:
        """Commit what a quorum holds, if it ends with an entry of this term.

        An entry of an earlier term can still be replaced although a quorum holds
        it (Raft, section 5.4.2), so it is committed only along with a newer one.
        """
        state = self._state
        index = self._reached_by_quorum(lambda p: p.matched_index, state.last_index)
        if index > state.commit_index and state.term_at(index) == state.term:
            state.commit(index)
