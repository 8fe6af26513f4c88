"""Automatic membership changes: the leader adds, promotes and removes members."""

import structlog
from attrs import define, evolve, field, frozen

from ...errors import NoQuorum
from ...protocol.channel import Channel
from ...protocol.enrolment import (
    EnrolAnswer,
    EnrolRequest,
    LeaveAnswer,
    LeaveRequest,
)
from ...state.membership import MemberRecord, Membership
from .leavingmembers import LeavingMembers
from .memberstate import MemberState, Role
from .replication import Peer, Replicator
from .voterchoice import Condition, MemberView, VoterChoice


@frozen(kw_only=True)
class MembershipPolicy:
    """Numbers of voters and the timeouts after which members are replaced.

    Attributes:
        voter_count: Smallest number of voters; twice the disks that may be lost at
            once, plus one.
        max_voter_count: Largest number; an order waits for the disks of more than half.
        failure_timeout_s: Time without contact after which a learner may replace a
            voter. It is longer than a restart takes, and shorter than the time after
            which a machine that was restored counts as repaired.
        removal_timeout_s: Time without contact after which a learner is removed.
        unanswered_timeout_s: Time without an answer to the leader itself, after which
            a member that has been silent for long enough counts as lost. A leader that
            has just been elected may not have asked it before.
        fresh_contact_s: Time without contact up to which a member is expected to
            answer. It is longer than the interval of heartbeats.
        check_interval_s: Time between two checks.
        change_timeout_s: Timeout of one change of members.
    """

    voter_count: int = 3
    max_voter_count: int = 7
    failure_timeout_s: float = 3.0
    removal_timeout_s: float = 30.0
    unanswered_timeout_s: float = 0.6
    fresh_contact_s: float = 1.2
    check_interval_s: float = 0.25
    change_timeout_s: float = 3.0


@define(kw_only=True)
class _Enrolled:
    """A control instance that has asked to become a member."""

    name: str
    data_centre: str
    last_contact_s: float


_log = structlog.get_logger()


@define(kw_only=True)
class MembershipManager:
    """Changes the members to match the policy while its member is the leader.

    A disk that was wiped gets a new identity, so the old identity never votes again.
    Each change is committed before the next one is proposed. A voter that is about to
    end is replaced at once, while it still votes, if a learner is there.
    """

    state: MemberState
    replicator: Replicator
    channel: Channel
    policy: MembershipPolicy
    data_centre: str
    leaving: LeavingMembers
    _enrolled: dict[bytes, _Enrolled] = field(factory=dict, init=False)
    _is_check_due: bool = field(default=False, init=False)

    def __attrs_post_init__(self) -> None:
        self.channel.register_handler(EnrolRequest, self._on_enrol)
        self.channel.register_handler(LeaveRequest, self._on_leave)

    @property
    def control_names(self) -> tuple[str, ...]:
        """Return the names of all members and recently enrolled control instances."""
        members = self.state.membership.members
        recent_names = [e.name for e in self._enrolled.values() if self._is_recent(e)]
        return tuple(sorted({m.name for m in members} | set(recent_names)))

    def can_release_vote(self) -> bool:
        """Return whether a voter that ends can be replaced, or isn't needed."""
        membership = self.state.membership
        if len(membership.voters) > self.policy.voter_count:
            return True
        enrolled = [i for i, e in self._enrolled.items() if self._is_recent(e)]
        learners = [m for m in membership.members if not m.voter]
        heard = [m.identity for m in learners if not self._is_timed_out(m)]
        return any(
            identity not in self.leaving and not membership.is_voter(identity)
            for identity in (*enrolled, *heard)
        )

    async def run(self) -> None:
        """Check the members periodically, and after each change, until cancelled."""
        while True:
            await self.state.changed.wait_for(
                lambda: self._is_check_due, self.policy.check_interval_s
            )
            self._is_check_due = False
            if self.state.role is Role.LEADER:
                try:
                    await self._change_members(self.state.term)
                except NoQuorum as error:
                    _log.warning("membership_change_failed", reason=str(error))

    async def _change_members(self, term: int) -> None:
        state = self.state
        required_index = max(self.replicator.term_start_index, state.membership_index)
        if state.commit_index < required_index or state.is_transferring:
            return
        change = self._next_change()
        if change is None:
            return
        self._is_check_due = True
        index = self.replicator.propose_membership(change)
        _log.info(
            "membership_changed",
            index=index,
            voters=",".join(m.name for m in change.voters),
            members=len(change.members),
        )
        await state.changed.wait_for(
            lambda: state.commit_index >= index or not state.is_leader_in(term),
            self.policy.change_timeout_s,
        )
        if not state.is_leader_in(term) or state.commit_index < index:
            raise NoQuorum("no quorum confirmed the change", step="keep members")

    def _next_change(self) -> Membership | None:
        membership = self.state.membership
        voter_choice = VoterChoice(
            membership,
            (self._view(member) for member in membership.members),
            self.state.identity,
            self.policy.voter_count,
            self.policy.max_voter_count,
        )
        return (
            voter_choice.next_change()
            or self._without_lost_learner(membership)
            or self._next_admission(membership)
        )

    def _without_lost_learner(self, membership: Membership) -> Membership | None:
        """Return a change that removes a lost learner, or None."""
        for member in membership.members:
            if member.voter or member.identity == self.state.identity:
                continue
            is_lost = self._is_silent_for(member, self.policy.removal_timeout_s)
            if is_lost or self._is_superseded(member):
                return membership.without(member.identity)
        return None

    def _next_admission(self, membership: Membership) -> Membership | None:
        """Return a change that adds an enrolled instance as a learner, or None."""
        for identity, enrolled in self._enrolled.items():
            if not self._is_recent(enrolled) or membership.find(identity):
                continue
            if identity in self.leaving:
                continue
            learner = MemberRecord(name=enrolled.name, identity=identity, voter=False)
            return evolve(membership, members=(*membership.members, learner))
        return None

    def _view(self, member: MemberRecord) -> MemberView:
        is_leader = member.identity == self.state.identity
        return MemberView(
            record=member,
            condition=Condition.AVAILABLE if is_leader else self._condition(member),
            silence_s=self._since_contact_s(member),
            data_centre=self._data_centre(member),
            is_ready=self._is_ready(member),
        )

    def _condition(self, member: MemberRecord) -> Condition:
        is_leaving = member.identity in self.leaving
        is_fresh = self._is_fresh(member)
        if self._is_superseded(member) or self._is_timed_out(member):
            return Condition.LOST
        if is_leaving:
            return Condition.LEAVING if is_fresh else Condition.LOST
        return Condition.AVAILABLE if is_fresh else Condition.SILENT

    def _data_centre(self, member: MemberRecord) -> str | None:
        # The leader doesn't enrol with itself.
        if member.identity == self.state.identity:
            return self.data_centre or None
        enrolled = self._enrolled.get(member.identity)
        return enrolled.data_centre if enrolled else None

    def _is_superseded(self, member: MemberRecord) -> bool:
        """Return whether only another identity has enrolled recently under its name."""
        return any(
            enrolled.name == member.name and self._is_recent(enrolled)
            for identity, enrolled in self._enrolled.items()
            if identity != member.identity
        ) and not self._is_recently_enrolled(member.identity)

    def _is_recently_enrolled(self, identity: bytes) -> bool:
        enrolled = self._enrolled.get(identity)
        return enrolled is not None and self._is_recent(enrolled)

    def _is_ready(self, member: MemberRecord) -> bool:
        peer = self._peer(member)
        if member.voter or peer is None or member.identity in self.leaving:
            return False
        if self._is_superseded(member) or not self._is_fresh(member):
            return False
        return peer.matched_index >= self.state.commit_index

    def _is_fresh(self, member: MemberRecord) -> bool:
        """Return whether a member has lately answered this leader."""
        peer = self._peer(member)
        if peer is None or peer.answered_s is None:
            return False
        silence_s = self.state.clock.monotonic_s() - peer.answered_s
        return silence_s < self.policy.fresh_contact_s

    def _is_timed_out(self, member: MemberRecord) -> bool:
        return self._is_silent_for(member, self.policy.failure_timeout_s)

    def _is_silent_for(self, member: MemberRecord, timeout_s: float) -> bool:
        """Return whether a member was silent for a time, and is to this leader too."""
        peer = self._peer(member)
        if peer is None or peer.unanswered_since_s is None:
            return False
        unanswered_s = self.state.clock.monotonic_s() - peer.unanswered_since_s
        is_asked = unanswered_s > self.policy.unanswered_timeout_s
        return is_asked and self._since_contact_s(member) > timeout_s

    def _since_contact_s(self, member: MemberRecord) -> float:
        peer = self._peer(member)
        now_s = self.state.clock.monotonic_s()
        return now_s - peer.last_heard_s if peer else 0.0

    def _peer(self, member: MemberRecord) -> Peer | None:
        peers = self.replicator.peers
        return next((p for p in peers if p.member.identity == member.identity), None)

    def _is_recent(self, enrolled: _Enrolled) -> bool:
        silence_s = self.state.clock.monotonic_s() - enrolled.last_contact_s
        return silence_s < self.policy.failure_timeout_s

    async def _on_enrol(self, peer: str, request: EnrolRequest) -> EnrolAnswer:
        # An instance that is about to end no longer enrols.
        self.leaving.discard(request.identity)
        self._enrolled[request.identity] = _Enrolled(
            name=peer,
            data_centre=request.data_centre,
            last_contact_s=self.state.clock.monotonic_s(),
        )
        return EnrolAnswer(
            is_leader=self.state.role is Role.LEADER,
            leader_name=self.state.leader_name or "",
            controls=self.control_names,
        )

    async def _on_leave(self, peer: str, request: LeaveRequest) -> LeaveAnswer:
        state = self.state
        if state.role is not Role.LEADER:
            return LeaveAnswer(is_leader=False, may_end=False)
        if request.identity not in self.leaving:
            _log.info("member_leaves", peer=peer, term=state.term)
            self.leaving.add(request.identity)
            self._is_check_due = True
            state.changed.notify()
        return LeaveAnswer(is_leader=True, may_end=self._may_end(request.identity))

    def _may_end(self, identity: bytes) -> bool:
        """Return whether the quorum gains nothing from a member that is to end."""
        state = self.state
        if state.membership.is_voter(identity):
            return not self.can_release_vote()
        # A change of members that isn't committed may still be undone.
        return state.commit_index >= state.membership_index
