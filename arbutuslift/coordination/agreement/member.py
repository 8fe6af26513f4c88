"""A member of the replicated log: the agreed configuration as others use it."""

import random
from collections.abc import Awaitable, Callable

import structlog

from ...clock import Clock
from ...errors import (
    ArbutusliftError,
    ConfigurationConflict,
    DocumentError,
    MembershipChangeError,
    MessageError,
    NoQuorum,
    PeerFailure,
    RequestReused,
    SettingsError,
    TransportError,
)
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
from ...state.configuration import (
    StoredRevision,
    Submission,
    SubmissionOutcome,
    encode_submission,
)
from ...state.logstore import EntryKind
from ...state.storage import MemberStorage
from ...tracer import REPLICATE, NoOpTracer, Tracer
from ..concurrency import TaskSet
from .bootstrap import Bootstrapper
from .election import Elector
from .follower import Follower
from .memberreplacement import MemberReplacer
from .membershipmanager import MembershipManager, MembershipPolicy
from .memberstate import AgreementTiming, CommitCallback, MemberState, Role
from .replication import Replicator
from .store import ConfigurationStore, MemberStatus

MAX_DOCUMENT_BYTES = 2 * 1024 * 1024
MIN_INITIAL_MEMBERS = 3
MAX_MEMBERS = 13

_log = structlog.get_logger()

_Local = Callable[[float], Awaitable[Message]]


class Member(ConfigurationStore):
    """Takes part in the replicated log and answers from it.

    Args:
        name: Name of the instance.
        storage: Opened storage; the caller closes it after the member.
        channel: Reaches the other members by name.
        clock: Source of time.
        rng: Chooses election timeouts.
        initial_member_names: The initial members, the same list on all of them; empty
            on a member that joins as a replacement.
        timing: Intervals.
        tracer: Records the replication of changes.
        membership_policy: Lets the leader add and replace members by itself; without it
            only operators do.

    Raises:
        SettingsError: The list of initial members can't be used.
        StorageError: The stored state can't be read.
    """

    def __init__(
        self,
        *,
        name: str,
        storage: MemberStorage,
        channel: Channel,
        clock: Clock,
        rng: random.Random,
        initial_member_names: tuple[str, ...] = (),
        timing: AgreementTiming | None = None,
        tracer: Tracer | None = None,
        membership_policy: MembershipPolicy | None = None,
    ) -> None:
        _check_initial(initial_member_names)
        timing = timing or AgreementTiming()
        self._timing = timing
        self._clock = clock
        self._channel = channel
        self._tracer = tracer or NoOpTracer()
        self._state = MemberState(name, storage, clock)
        self._state.on_failure = self._on_failure
        self._tasks = TaskSet(self._state.fail)
        self._replicator = Replicator(self._state, channel, timing, self._tasks)
        self._elector = Elector(self._state, self._replicator, channel, timing, rng)
        self._follower = Follower(self._state, channel)
        self._replacer = MemberReplacer(self._state, self._replicator, channel, timing)
        self._bootstrapper = Bootstrapper(
            self._state, channel, initial_member_names, timing
        )
        self._membership_manager: MembershipManager | None = None
        if membership_policy is not None:
            self._membership_manager = MembershipManager(
                state=self._state,
                replicator=self._replicator,
                channel=channel,
                policy=membership_policy,
            )
        channel.on(SubmitRequest, self._on_submit)
        channel.on(ReadRequest, self._on_read)
        channel.on(MembersRequest, self._on_members)
        channel.on(ReplaceRequest, self._on_replace)

    @property
    def identity(self) -> bytes:
        """Return the identity of the member's disk."""
        return self._state.identity

    @property
    def is_leader(self) -> bool:
        """Return whether the member leads, as far as it knows."""
        return self._state.role is Role.LEADER

    @property
    def leader_name(self) -> str | None:
        """Return the leader of the newest term, if known."""
        return self._state.leader_name

    @property
    def control_names(self) -> tuple[str, ...]:
        """Return the names of the control instances known to the keeper."""
        return (
            self._membership_manager.control_names if self._membership_manager else ()
        )

    @property
    def fault(self) -> str | None:
        """Return why the member takes no part until an operator acts, if so."""
        if self._state.failure is not None:
            return str(self._state.failure)
        return self._bootstrapper.fault

    def on_commit(self, callback: CommitCallback) -> None:
        """Call back with every committed revision, in order.

        The first call is made at once with the newest revision known, if there is
        one. After a restart this is the newest one of the snapshot, and the
        entries after it are reported again once they are known to be committed.
        Revisions that a snapshot of the leader skips are reported as far as the
        history holds them.

        Args:
            callback: Must not raise.
        """
        self._state.on_commit(callback)

    def start(self) -> None:
        """Start the member's tasks."""
        self._tasks.spawn(self._elector.run())
        self._tasks.spawn(self._bootstrapper.run())
        if self._membership_manager is not None:
            self._tasks.spawn(self._membership_manager.run())

    async def transfer_leadership(self, timeout_s: float) -> bool:
        """Let another member lead, before a planned stop.

        Returns:
            Whether this member led and another one does now.
        """
        return await self._elector.transfer_leadership(timeout_s)

    async def close(self) -> None:
        """Stop the member's tasks; it answers no other member from now on."""
        self._state.on_failure = lambda: None
        self._state.fail(ArbutusliftError("closed", step="close member"))
        await self._tasks.close()

    async def submit(self, submission: Submission) -> StoredRevision:
        """Accept a document, once.

        A resend gets the first answer; see ``ConfigurationState``. In particular,
        a resend of a conflicted request gets the conflict again.

        Raises:
            ConfigurationConflict: Another revision stands; the error carries it.
            RequestReused: The request_id came before with another document.
            DocumentError: The document is too large.
            NoQuorum: Not accepted as far as known; a resend tells.
        """
        if len(submission.document) > MAX_DOCUMENT_BYTES:
            message = f"{len(submission.document)} bytes, limit {MAX_DOCUMENT_BYTES}"
            raise DocumentError(message, step="submit")

        async def local(timeout_s: float) -> Message:
            return await self._submit_here(submission, timeout_s)

        request = SubmitRequest(submission=submission)
        answer = await self._at_leader(local, request, SubmitAnswer)
        stored = answer.decision.stored
        if answer.decision.outcome is SubmissionOutcome.CONFLICT:
            raise ConfigurationConflict(
                f"revision {stored.revision if stored else 0} stands",
                current=stored,
                step="submit",
            )
        if answer.decision.outcome is SubmissionOutcome.REUSED:
            message = f"{submission.request_id} came with another document before"
            raise RequestReused(message, step="submit")
        return stored

    async def current(self) -> StoredRevision | None:
        """Return the newest accepted revision, confirmed by a quorum.

        Raises:
            NoQuorum: No quorum confirmed it.
        """
        state = self._state
        answer = await self._at_leader(self._read_here, ReadRequest(), ReadAnswer)
        reached = await state.changed.wait_for(
            lambda: state.commit_index >= answer.index, self._timing.submit_timeout_s
        )
        if not reached:
            raise NoQuorum("the leader's entries didn't arrive", step="read")
        return state.configuration.newest

    async def history(self, limit: int) -> list[StoredRevision]:
        """Return the newest revisions that this member knows, newest first."""
        return self._state.configuration.history(limit)

    async def members(self) -> list[MemberStatus]:
        """Return all members as the leader sees them.

        Without a leader, return the members that this one knows, with a matched
        index of 0 for the others.
        """
        try:
            answer = await self._at_leader(
                self._report_here, MembersRequest(), MembersAnswer
            )
            reports = answer.members
        except NoQuorum:
            reports = self._reports()
        return [
            MemberStatus(
                name=report.name,
                identity=report.identity.hex(),
                role=report.role,
                matched_index=report.matched_index,
            )
            for report in reports
        ]

    async def replace_member(self, old_name: str, new_name: str) -> None:
        """Replace a member whose disk or machine is lost.

        An interrupted replacement is continued by the same call.

        Raises:
            MembershipChangeError: Another change is under way, the old member is
                unknown, or the new one can't be reached or doesn't catch up.
            NoQuorum: No quorum confirmed the change.
        """

        async def local(timeout_s: float) -> Message:
            del timeout_s
            return await self._replace_here(old_name, new_name)

        request = ReplaceRequest(old_name=old_name, new_name=new_name)
        timing = self._timing
        timeout_s = timing.catch_up_timeout_s + 4 * timing.submit_timeout_s
        answer = await self._at_leader(local, request, ReplaceAnswer, timeout_s)
        if answer.reason:
            raise MembershipChangeError(answer.reason, step="replace member")

    async def _at_leader(
        self,
        local: _Local,
        request: Message,
        answer_class: type[Message],
        attempt_s: float | None = None,
    ) -> Message:
        """Return the answer of the leader, here or elsewhere.

        Raises:
            NoQuorum: No leader answered in time.
        """
        state = self._state
        attempt_s = attempt_s or self._timing.election_timeout_s
        end_s = self._clock.monotonic_s() + self._timing.submit_timeout_s
        while state.failure is None:
            remaining_s = end_s - self._clock.monotonic_s()
            if remaining_s <= 0:
                break
            answer = await self._attempt(local, request, attempt_s)
            if isinstance(answer, answer_class):
                return answer
            await self._clock.sleep(self._timing.retry_interval_s)
        reason = str(state.failure or "no leader with a quorum answered")
        raise NoQuorum(reason, step=type(request).__name__)

    async def _attempt(
        self, local: _Local, request: Message, timeout_s: float
    ) -> Message:
        state = self._state
        if state.role is Role.LEADER:
            return await local(timeout_s)
        if state.leader_name is None:
            return NotLeader()
        try:
            return await self._channel.request(state.leader_name, request, timeout_s)
        except (TransportError, PeerFailure, MessageError):
            return NotLeader()

    async def _submit_here(self, submission: Submission, timeout_s: float) -> Message:
        state = self._state
        if state.role is not Role.LEADER:
            return NotLeader()
        decision = state.configuration.first_decision(submission)
        if decision is not None:
            return SubmitAnswer(decision=decision)
        term = state.term
        body = encode_submission(submission)
        index = state.last_index + 1
        decided = state.expect_decision(index)
        with self._tracer.change_span(REPLICATE, submission.request_id):
            self._replicator.propose(EntryKind.SUBMISSION, body)
            await state.changed.wait_for(
                lambda: decided.done() or not state.is_leader_in(term), timeout_s
            )
        if not decided.done() or decided.result() is None:
            return NotLeader()
        return SubmitAnswer(decision=decided.result())

    async def _read_here(self, timeout_s: float) -> Message:
        state = self._state
        term = state.term
        if state.role is not Role.LEADER:
            return NotLeader()
        start = self._replicator.term_start_index
        settled = await state.changed.wait_for(
            lambda: state.commit_index >= start or not state.is_leader_in(term),
            timeout_s,
        )
        if not settled or not state.is_leader_in(term):
            return NotLeader()
        index = state.commit_index
        if not await self._replicator.confirm_leadership(timeout_s):
            return NotLeader()
        return ReadAnswer(index=index)

    async def _report_here(self, timeout_s: float) -> Message:
        if not await self._replicator.confirm_leadership(timeout_s):
            return NotLeader()
        return MembersAnswer(members=self._reports())

    def _reports(self) -> tuple[MemberReport, ...]:
        state = self._state
        matched = {p.member.identity: p.matched_index for p in self._replicator.peers}
        matched[state.identity] = state.last_index
        reports = []
        for member in state.membership.members:
            role = "voter" if member.voter else "learner"
            if member.identity == state.identity and state.role is Role.LEADER:
                role = "leader"
            report = MemberReport(
                name=member.name,
                identity=member.identity,
                role=role,
                matched_index=matched.get(member.identity, 0),
            )
            reports.append(report)
        return tuple(reports)

    async def _replace_here(self, old_name: str, new_name: str) -> Message:
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
        return await self._submit_here(request.submission, timeout_s)

    async def _on_read(self, peer: str, request: ReadRequest) -> Message:
        del peer, request
        return await self._read_here(self._timing.election_timeout_s)

    async def _on_members(self, peer: str, request: MembersRequest) -> Message:
        del peer, request
        if self._state.role is not Role.LEADER:
            return NotLeader()
        return await self._report_here(self._timing.election_timeout_s)

    async def _on_replace(self, peer: str, request: ReplaceRequest) -> Message:
        del peer
        return await self._replace_here(request.old_name, request.new_name)

    def _on_failure(self) -> None:
        _log.error("member_stopped", reason=str(self._state.failure))
        self._tasks.cancel()


def _check_initial(names: tuple[str, ...]) -> None:
    if not names:
        return
    # With fewer names a wiped member could form a second cluster by itself.
    if not MIN_INITIAL_MEMBERS <= len(set(names)) <= MAX_MEMBERS:
        message = f"{MIN_INITIAL_MEMBERS} to {MAX_MEMBERS} initial members are needed"
        raise SettingsError(message, step="read settings")
