"""Elections with pre-vote, leadership transfer and step-down without a quorum."""

import asyncio
import random
from collections.abc import Iterable

import structlog

from ...clock import Clock
from ...errors import MessageError, PeerFailure, TransportError
from ...protocol.agreement import TakeOver, VoteAnswer, VoteRequest
from ...protocol.channel import Channel
from ...state.membership import MemberRecord
from .agreementtiming import AgreementTiming
from .leavingmembers import LeavingMembers
from .memberstate import MemberState, Role
from .replication import Replicator

# Longest election time-out as a multiple of the shortest.
ELECTION_SPREAD = 2.0

_log = structlog.get_logger()


class Elector:
    """Runs elections when the leader times out, and answers requests for votes.

    Args:
        state: State of the member.
        replicator: Starts to lead after a won election.
        channel: Reaches the other members.
        timing: Intervals.
        rng: Chooses election timeouts.
        leaving: Members that are about to end.
    """

    def __init__(
        self,
        state: MemberState,
        replicator: Replicator,
        channel: Channel,
        timing: AgreementTiming,
        rng: random.Random,
        leaving: LeavingMembers,
    ) -> None:
        self._state = state
        self._replicator = replicator
        self._channel = channel
        self._timing = timing
        self._rng = rng
        self._leaving = leaving
        self._clock: Clock = state.clock
        self._last_voted_s = float("-inf")
        channel.register_handler(VoteRequest, self._on_vote_request)
        channel.register_handler(TakeOver, self._on_take_over)

    async def run(self) -> None:
        """Monitor the leader, or as leader the quorum, until cancelled."""
        while True:
            if self._state.role is Role.LEADER:
                await self._check_quorum()
            elif await self._wait_for_election_timeout():
                await self._campaign()

    async def transfer_leadership(self, timeout_s: float) -> bool:
        """Ask a voter that has the whole log to become leader.

        Without the transfer, the other members start an election only after their
        election timeouts. A member that is about to end isn't asked.

        Returns:
            Whether this member was the leader and no longer is.
        """
        state = self._state
        if state.role is not Role.LEADER:
            return False
        candidates = [
            peer
            for peer in self._replicator.peers
            if state.membership.is_voter(peer.member.identity)
            and peer.matched_index == state.last_index
            and peer.member.identity not in self._leaving
        ]
        if not candidates:
            return False
        successor = max(candidates, key=lambda peer: peer.last_contact_s)
        offer = TakeOver(
            target=successor.member.identity, cluster=state.cluster, term=state.term
        )
        _log.info("leadership_offered", member=successor.member.name, term=state.term)
        state.is_transferring = True
        try:
            await self._channel.send(successor.member.name, offer)
            return await state.changed.wait_for(
                lambda: state.role is not Role.LEADER, timeout_s
            )
        finally:
            state.is_transferring = False

    async def _on_take_over(self, peer: str, offer: TakeOver) -> None:
        state = self._state
        state.check_target(offer.target, offer.cluster)
        is_voter = state.membership.is_voter(state.identity)
        if offer.term != state.term or not is_voter or state.role is Role.LEADER:
            return
        _log.info("leadership_taken_over", peer=peer, term=offer.term + 1)
        former = [voter for voter in state.membership.voters if voter.name == peer]
        await self._start_election(offer.term + 1, leaving=former)

    async def _check_quorum(self) -> None:
        await self._clock.sleep(self._timing.heartbeat_interval_s)
        if self._state.role is not Role.LEADER:
            return
        silence_s = self._clock.monotonic_s() - self._replicator.quorum_last_contact_s()
        if silence_s > self._timing.election_timeout_s:
            _log.warning("quorum_lost", silence_s=silence_s)
            self._state.step_down()

    async def _wait_for_election_timeout(self) -> bool:
        """Wait until a random timeout expires without contact from a leader.

        Returns:
            Whether it expired; false if this member became leader.
        """
        base_s, spread = self._timing.election_timeout_s, ELECTION_SPREAD
        if self._state.leader_last_contact_s == float("-inf"):
            base_s = self._timing.first_election_timeout_s
            spread = self._timing.first_election_spread
        timeout_s = self._rng.uniform(base_s, spread * base_s)
        started_s = self._clock.monotonic_s()
        while self._state.role is not Role.LEADER:
            last_activity_s = max(
                started_s, self._state.leader_last_contact_s, self._last_voted_s
            )
            remaining_s = last_activity_s + timeout_s - self._clock.monotonic_s()
            if remaining_s <= 0:
                return True
            await self._clock.sleep(remaining_s)
        return False

    async def _campaign(self) -> None:
        state = self._state
        if not state.membership.is_voter(state.identity):
            return
        term = state.term + 1
        if not await self._request_votes(term, pre_vote=True):
            return
        if state.term == term - 1 and not self._has_recent_leader():
            await self._start_election(term)

    async def _start_election(
        self, term: int, leaving: Iterable[MemberRecord] = ()
    ) -> None:
        state = self._state
        state.become_candidate(term)
        for member in leaving:
            self._leaving.add(member.identity)
        won = await self._request_votes(term, pre_vote=False)
        if won and state.term == term and state.role is Role.CANDIDATE:
            self._replicator.become_leader()

    async def _request_votes(self, term: int, *, pre_vote: bool) -> bool:
        """Return whether a quorum grants its votes, this member's own included."""
        state = self._state
        membership = state.membership
        others = [voter for voter in membership.voters if not self._is_self(voter)]
        pending = {
            asyncio.create_task(self._request_vote(voter, term, pre_vote))
            for voter in others
        }
        granted = 1
        try:
            while pending and granted < membership.quorum:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                granted += sum(task.result() for task in done)
        finally:
            for task in pending:
                task.cancel()
        return granted >= membership.quorum

    async def _request_vote(
        self, voter: MemberRecord, term: int, pre_vote: bool
    ) -> bool:
        state = self._state
        request = VoteRequest(
            target=voter.identity,
            candidate=state.identity,
            cluster=state.cluster,
            term=term,
            last_index=state.last_index,
            last_term=state.last_term,
            pre_vote=pre_vote,
        )
        sent_s = self._clock.monotonic_s()
        try:
            answer = await self._channel.request(
                voter.name, request, self._timing.request_timeout_s
            )
        except (TransportError, PeerFailure, MessageError):
            return False
        if not isinstance(answer, VoteAnswer) or answer.voter != voter.identity:
            return False
        state.contacts.record_answer(voter.identity, sent_s)
        state.observe_term(answer.term)
        return answer.granted

    async def _on_vote_request(self, peer: str, request: VoteRequest) -> VoteAnswer:
        del peer
        state = self._state
        state.check_target(request.target, request.cluster)
        if request.pre_vote:
            granted = request.term > state.term and not self._has_recent_leader()
            granted = granted and self._is_up_to_date(request)
        else:
            granted = self._grant_vote(request)
        return VoteAnswer(voter=state.identity, term=state.term, granted=granted)

    def _grant_vote(self, request: VoteRequest) -> bool:
        """Observe the term of a request and return whether it gets the vote.

        A newer term and the vote in it are stored together, since each write waits for
        the disk, and after a loss of power everywhere callers wait for the election.
        """
        state = self._state
        is_newer = request.term > state.term
        if request.term < state.term or not self._is_up_to_date(request):
            state.observe_term(request.term)
            return False
        if not is_newer and state.voted_for not in (b"", request.candidate):
            return False
        if is_newer or not state.voted_for:
            state.record_vote(request.term, request.candidate)
        self._last_voted_s = self._clock.monotonic_s()
        return True

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        state = self._state
        if request.last_term != state.last_term:
            return request.last_term > state.last_term
        return request.last_index >= state.last_index

    def _has_recent_leader(self) -> bool:
        """Return whether this member leads or had contact with a leader recently."""
        if self._state.role is Role.LEADER:
            return True
        silence_s = self._clock.monotonic_s() - self._state.leader_last_contact_s
        return silence_s < self._timing.election_timeout_s

    def _is_self(self, member: MemberRecord) -> bool:
        return member.identity == self._state.identity
