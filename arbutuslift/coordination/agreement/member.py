"""A member of the replicated log, as a store of the agreed configuration."""

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
    MAX_DOCUMENT_BYTES,
    MAX_HISTORY,
    StoredRevision,
    Submission,
    SubmissionOutcome,
)
from ...state.formation import FormationIntent
from ...state.storage import MemberStorage
from ...tracer import NoOpTracer, Tracer
from ..concurrency import TaskSet
from .agreementtiming import AgreementTiming
from .bootstrap import Bootstrapper
from .election import Elector
from .follower import Follower
from .leaderservice import LeaderService
from .leavingmembers import LeavingMembers
from .membershipmanager import MembershipManager, MembershipPolicy
from .memberstate import CommitCallback, MemberState, Role
from .replication import Replicator
from .silencenotices import SilenceNotices
from .store import ConfigurationStore, MemberStatus

MIN_INITIAL_MEMBERS = 3
MAX_MEMBERS = 13
# Election time-outs after which a leader that sends nothing may be a former one.
LEADER_SILENCE = 4.0

_log = structlog.get_logger()

_LocalCall = Callable[[float], Awaitable[Message]]


class Member(ConfigurationStore):
    """Stores configurations in a log that is replicated with Raft.

    Args:
        name: Name of the instance.
        storage: Opened storage; whoever opened it closes it after the member.
        channel: Reaches the other members by name.
        clock: Source of time.
        rng: Chooses election timeouts.
        initial_member_names: The initial members, the same list on all of them; empty
            on a member that joins as a replacement.
        timing: Intervals.
        tracer: Records the replication of changes.
        membership_policy: Lets the leader add and replace members by itself; without
            a policy only operators do.
        intent: Names of the initial members that the disk of the instance holds, in
            place of ``initial_member_names``. Since a disk that was lost holds none,
            there may be fewer than three.
        data_centre: Data centre of the instance, by which a leader with a policy
            chooses voters; empty if it isn't known.

    Raises:
        SettingsError: The list of initial members has an invalid length.
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
        intent: FormationIntent | None = None,
        data_centre: str = "",
    ) -> None:
        if intent is None:
            _check_initial_names(initial_member_names)
            intent = FormationIntent(initial_member_names)
        timing = timing or AgreementTiming()
        self._timing = timing
        self._clock = clock
        self._channel = channel
        self._state = MemberState(name, storage, clock)
        self._state.on_failure = self._on_failure
        self._tasks = TaskSet(self._state.fail)
        self._replicator = Replicator(self._state, channel, timing, self._tasks)
        leaving = LeavingMembers(self._state)
        self._elector = Elector(
            self._state, self._replicator, channel, timing, rng, leaving
        )
        self._follower = Follower(self._state, channel)
        self._silence_notices = SilenceNotices(self._state, self._replicator, channel)
        self._leader_service = LeaderService(
            self._state, self._replicator, channel, timing, tracer or NoOpTracer()
        )
        self._bootstrapper = Bootstrapper(self._state, channel, intent, timing)
        self._membership_manager: MembershipManager | None = None
        if membership_policy is not None:
            self._membership_manager = MembershipManager(
                state=self._state,
                replicator=self._replicator,
                channel=channel,
                policy=membership_policy,
                data_centre=data_centre,
                leaving=leaving,
            )

    @property
    def identity(self) -> bytes:
        """Return the random identity stored on the member's disk."""
        return self._state.identity

    @property
    def is_leader(self) -> bool:
        """Return whether the member is leader of the newest term that it has seen."""
        return self._state.role is Role.LEADER

    @property
    def leader_name(self) -> str | None:
        """Return the leader of the newest term, if known."""
        return self._state.leader_name

    @property
    def hears_leader(self) -> bool:
        """Return whether another member has lately been heard as the leader."""
        silence_s = self._clock.monotonic_s() - self._state.leader_last_contact_s
        is_recent = silence_s < LEADER_SILENCE * self._timing.election_timeout_s
        return self._state.leader_name is not None and is_recent

    @property
    def control_names(self) -> tuple[str, ...]:
        """Return the names of the control instances that the manager knows."""
        return (
            self._membership_manager.control_names if self._membership_manager else ()
        )

    @property
    def can_release_vote(self) -> bool:
        """Return whether the vote of a member can move, or isn't needed.

        The leader knows the instances that enrol, others the members only.
        """
        manager = self._membership_manager
        if manager is None:
            return False
        if self.is_leader:
            return manager.can_release_vote()
        membership = self._state.membership
        has_learner = any(not member.voter for member in membership.members)
        return has_learner or len(membership.voters) > manager.policy.voter_count

    @property
    def failure(self) -> str | None:
        """Return the error that stopped the member, or None."""
        failure = self._state.failure
        return str(failure) if failure is not None else None

    @property
    def fault(self) -> str | None:
        """Return why the member can't take part until an operator acts, or None."""
        return self.failure or self._bootstrapper.fault

    def on_commit(self, callback: CommitCallback) -> None:
        """Call ``callback`` with every committed revision, in order.

        The first call is made at once with the newest revision known, if there is
        one. After a restart this is the newest one of the snapshot, and the
        entries after it are reported again once they are known to be committed.
        If a snapshot of the leader is installed, the revisions that its history
        doesn't hold are not reported.

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
            self._tasks.spawn(self._silence_notices.run())

    async def transfer_leadership(self, timeout_s: float) -> bool:
        """Transfer the leadership to another member, before a planned stop.

        Returns:
            Whether this member was the leader and no longer is.
        """
        return await self._elector.transfer_leadership(timeout_s)

    async def close(self) -> None:
        """Stop the member's tasks and refuse requests of other members."""
        self._state.on_failure = lambda: None
        self._state.fail(ArbutusliftError("the member is closed", step="close member"))
        await self._tasks.close()

    async def submit(self, submission: Submission) -> StoredRevision:
        """Accept a document, once.

        A repeated request gets the first answer; see ``ConfigurationState``. In
        particular, the repetition of a conflicting request gets the conflict again.

        Raises:
            ConfigurationConflict: The current revision isn't the expected one; the
                error carries it.
            RequestReused: The request identifier was used before with another document.
            DocumentError: The document is too large.
            NoQuorum: The outcome is unknown; repeating the request returns it.
        """
        if len(submission.document) > MAX_DOCUMENT_BYTES:
            message = (
                f"the document has {len(submission.document)} bytes, "
                f"limit {MAX_DOCUMENT_BYTES}"
            )
            raise DocumentError(message, step="submit")

        async def local(timeout_s: float) -> Message:
            return await self._leader_service.submit(submission, timeout_s)

        request = SubmitRequest(submission=submission)
        answer = await self._call_leader(local, request, SubmitAnswer)
        stored = answer.decision.stored
        if answer.decision.outcome is SubmissionOutcome.CONFLICT:
            raise ConfigurationConflict(
                f"the current revision is {stored.revision if stored else 0}",
                current=stored,
                step="submit",
            )
        if answer.decision.outcome is SubmissionOutcome.REUSED:
            message = (
                f"request identifier {submission.request_id} was already used for "
                "another document"
            )
            raise RequestReused(message, step="submit")
        return stored

    async def current(self) -> StoredRevision | None:
        """Return the newest accepted revision, confirmed by a quorum.

        Raises:
            NoQuorum: No quorum confirmed the leadership of the member that answered,
                or the entries of the leader weren't received in time.
        """
        state = self._state
        answer = await self._call_leader(
            self._leader_service.read, ReadRequest(), ReadAnswer
        )
        is_applied = await state.changed.wait_for(
            lambda: state.commit_index >= answer.index, self._timing.submit_timeout_s
        )
        if not is_applied:
            raise NoQuorum("the leader's entries weren't received", step="read")
        return state.configuration.newest

    def revisions(self) -> list[StoredRevision]:
        """Return all revisions that this member holds, newest first."""
        return self._state.configuration.history(MAX_HISTORY)

    async def history(self, limit: int) -> list[StoredRevision]:
        """Return the newest revisions that this member has applied, newest first."""
        return self._state.configuration.history(limit)

    async def members(self) -> list[MemberStatus]:
        """Return all members as the leader sees them.

        If no leader answers, the list comes from this member's own log, with a
        matched index of 0 for those whose progress it doesn't know.
        """
        try:
            answer = await self._call_leader(
                self._leader_service.report, MembersRequest(), MembersAnswer
            )
            reports = answer.members
        except NoQuorum:
            reports = self._leader_service.reports()
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

        Repeating the call continues an interrupted replacement.

        Raises:
            MembershipChangeError: Another change is in progress, the old member is
                unknown, or the new one can't be reached or doesn't catch up.
            NoQuorum: No quorum confirmed the change.
        """

        async def local(timeout_s: float) -> Message:
            del timeout_s
            return await self._leader_service.replace(old_name, new_name)

        request = ReplaceRequest(old_name=old_name, new_name=new_name)
        timing = self._timing
        timeout_s = timing.catch_up_timeout_s + 4 * timing.submit_timeout_s
        answer = await self._call_leader(local, request, ReplaceAnswer, timeout_s)
        if answer.reason:
            raise MembershipChangeError(answer.reason, step="replace member")

    async def _call_leader(
        self,
        local: _LocalCall,
        request: Message,
        answer_class: type[Message],
        attempt_timeout_s: float | None = None,
    ) -> Message:
        """Return the answer of the leader, which may be this member.

        Raises:
            NoQuorum: No leader answered in time.
        """
        state = self._state
        attempt_timeout_s = attempt_timeout_s or self._timing.election_timeout_s
        end_s = self._clock.monotonic_s() + self._timing.submit_timeout_s
        while state.failure is None:
            if self._bootstrapper.fault and state.leader_name is None:
                raise NoQuorum(self._bootstrapper.fault, step=type(request).__name__)
            remaining_s = end_s - self._clock.monotonic_s()
            if remaining_s <= 0:
                break
            answer = await self._call_once(local, request, attempt_timeout_s)
            if isinstance(answer, answer_class):
                return answer
            await self._clock.sleep(self._timing.retry_interval_s)
        reason = str(state.failure or "no leader with a quorum answered")
        raise NoQuorum(reason, step=type(request).__name__)

    async def _call_once(
        self, local: _LocalCall, request: Message, timeout_s: float
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

    def _on_failure(self) -> None:
        _log.error("member_stopped", reason=str(self._state.failure))
        self._tasks.cancel()


def _check_initial_names(names: tuple[str, ...]) -> None:
    if not names:
        return
    # With fewer names, a member that lost its disk could form a second cluster alone.
    if not MIN_INITIAL_MEMBERS <= len(set(names)) <= MAX_MEMBERS:
        message = f"{MIN_INITIAL_MEMBERS} to {MAX_MEMBERS} initial members are needed"
        raise SettingsError(message, step="read settings")
