"""Answers of the leader: submissions, reads, the list of members, replacements."""

from ...errors import MembershipChangeError, NoQuorum
from ...protocol.agreement import (
    MemberReport,
    MembersAnswer,
    MembersRequest,
    NotLeader,
    ReadAnswer,
    ReadRequest,
    ReplaceAnswer,
    ReplaceRequest,
    SubmitAnswer,
    SubmitRequest,
)
from ...protocol.channel import Channel
from ...protocol.messages import Message
from ...state.configuration import Submission, encode_submission
from ...state.logstore import EntryKind
from ...tracer import REPLICATE, Tracer
from .agreementtiming import AgreementTiming
from .memberreplacement import MemberReplacer
from .memberstate import MemberState, Role
from .replication import Replicator


class LeaderService:
    """Answers what only the leader can; a member that doesn't lead says so.

    Args:
        state: State of the member.
        replicator: Replicates what is submitted.
        channel: Receives the requests of other members.
        timing: Intervals.
        tracer: Records the replication of changes.
    """

    def __init__(
        self,
        state: MemberState,
        replicator: Replicator,
        channel: Channel,
        timing: AgreementTiming,
        tracer: Tracer,
    ) -> None:
        self._state = state
        self._replicator = replicator
        self._timing = timing
        self._tracer = tracer
        self._replacer = MemberReplacer(state, replicator, channel, timing)
        channel.register_handler(SubmitRequest, self._on_submit)
        channel.register_handler(ReadRequest, self._on_read)
        channel.register_handler(MembersRequest, self._on_members)
        channel.register_handler(ReplaceRequest, self._on_replace)

    async def submit(self, submission: Submission, timeout_s: float) -> Message:
        """Append a submission and return the decision on it.

        Returns:
            A SubmitAnswer, or NotLeader if nothing was decided in time.
        """
        state = self._state
        # An entry that the successor doesn't have would keep it from being elected.
        if state.role is not Role.LEADER or state.is_transferring:
            return NotLeader()
        decision = state.configuration.first_decision(submission)
        if decision is not None:
            return SubmitAnswer(decision=decision)
        term = state.term
        body = encode_submission(submission)
        index = state.last_index + 1
        decision_future = state.expect_decision(index)
        with self._tracer.change_span(REPLICATE, submission.request_id):
            self._replicator.propose(EntryKind.SUBMISSION, body)
            await state.changed.wait_for(
                lambda: decision_future.done() or not state.is_leader_in(term),
                timeout_s,
            )
        if not decision_future.done() or decision_future.result() is None:
            return NotLeader()
        return SubmitAnswer(decision=decision_future.result())

    async def read(self, timeout_s: float) -> Message:
        """Return the commit index, once a quorum has confirmed the leadership.

        Returns:
            A ReadAnswer, or NotLeader if it wasn't confirmed in time.
        """
        state = self._state
        term = state.term
        if state.role is not Role.LEADER:
            return NotLeader()
        start = self._replicator.term_start_index
        is_settled = await state.changed.wait_for(
            lambda: state.commit_index >= start or not state.is_leader_in(term),
            timeout_s,
        )
        if not is_settled or not state.is_leader_in(term):
            return NotLeader()
        index = state.commit_index
        if not await self._replicator.confirm_leadership(timeout_s):
            return NotLeader()
        return ReadAnswer(index=index)

    async def report(self, timeout_s: float) -> Message:
        """Return all members, once a quorum has confirmed the leadership.

        Returns:
            A MembersAnswer, or NotLeader if it wasn't confirmed in time.
        """
        if not await self._replicator.confirm_leadership(timeout_s):
            return NotLeader()
        return MembersAnswer(members=self.reports())

    def reports(self) -> tuple[MemberReport, ...]:
        """Return all members as this one knows them."""
        state = self._state
        matched_indexes = {
            p.member.identity: p.matched_index for p in self._replicator.peers
        }
        matched_indexes[state.identity] = state.last_index
        reports = []
        for member in state.membership.members:
            role = "voter" if member.voter else "learner"
            if member.identity == state.identity and state.role is Role.LEADER:
                role = "leader"
            report = MemberReport(
                name=member.name,
                identity=member.identity,
                role=role,
                matched_index=matched_indexes.get(member.identity, 0),
            )
            reports.append(report)
        return tuple(reports)

    async def replace(self, old_name: str, new_name: str) -> Message:
        """Replace a member; see ``MemberReplacer.replace``.

        Returns:
            A ReplaceAnswer, or NotLeader if no quorum confirmed a step.
        """
        if self._state.role is not Role.LEADER:
            return NotLeader()
        try:
            await self._replacer.replace(old_name, new_name)
        except MembershipChangeError as error:
            return ReplaceAnswer(reason=error.message)
        except NoQuorum:
            return NotLeader()
        return ReplaceAnswer()

    async def _on_submit(self, peer: str, request: SubmitRequest) -> Message:
        del peer
        timeout_s = self._timing.election_timeout_s
        return await self.submit(request.submission, timeout_s)

    async def _on_read(self, peer: str, request: ReadRequest) -> Message:
        del peer, request
        return await self.read(self._timing.election_timeout_s)

    async def _on_members(self, peer: str, request: MembersRequest) -> Message:
        del peer, request
        if self._state.role is not Role.LEADER:
            return NotLeader()
        return await self.report(self._timing.election_timeout_s)

    async def _on_replace(self, peer: str, request: ReplaceRequest) -> Message:
        del peer
        return await self.replace(request.old_name, request.new_name)
