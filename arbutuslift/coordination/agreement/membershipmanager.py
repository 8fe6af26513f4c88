"""Keeps the agreement at its size: the leader adds, promotes and removes members."""

import structlog
from attrs import define, evolve, field, frozen

from ...errors import NoQuorum
from ...protocol.channel import Channel
from ...protocol.enrolment import EnrolAnswer, EnrolRequest
from ...state.membership import MemberRecord, Membership
from .memberstate import MemberState, Role
from .replication import Peer, Replicator


@frozen(kw_only=True)
class MembershipPolicy:
    """How many members vote, and when they count as lost.

    Attributes:
        voters: Members that vote; twice the disks that may be lost at once, plus one.
        silent_s: Silence after which another member may vote in a voter's place.
            Longer than a restart takes, shorter than the time after which a machine
            that came back counts as repaired.
        forget_s: Silence after which a member that doesn't vote is removed.
        interval_s: Time between two checks.
        change_timeout_s: Bound of one change of members.
    """

    voters: int = 3
    silent_s: float = 3.0
    forget_s: float = 30.0
    interval_s: float = 0.25
    change_timeout_s: float = 3.0


@define(kw_only=True)
class _Enrolled:
    """A control instance that wants to take part."""

    name: str
    data_centre: str
    last_contact_s: float


_log = structlog.get_logger()


@define(kw_only=True)
class MembershipManager:
    """Runs on every member; acts while its member leads.

    A wiped disk has a new identity, so its old one never votes again. Changes are made
    one at a time, each committed before the next.
    """

    state: MemberState
    replicator: Replicator
    channel: Channel
    policy: MembershipPolicy
    _enrolled: dict[bytes, _Enrolled] = field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        self.channel.on(EnrolRequest, self._on_enrol)

    @property
    def control_names(self) -> tuple[str, ...]:
        """Return the names of all control instances known here."""
        members = self.state.membership.members
        fresh = [e.name for e in self._enrolled.values() if self._is_fresh(e)]
        return tuple(sorted({m.name for m in members} | set(fresh)))

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            await self.state.clock.sleep(self.policy.interval_s)
            if self.state.role is Role.LEADER:
                try:
                    await self._step(self.state.term)
                except NoQuorum as error:
                    _log.warning("membership_change_failed", reason=str(error))

    async def _step(self, term: int) -> None:
        state = self.state
        settled = max(self.replicator.term_start_index, state.membership_index)
        if state.commit_index < settled:
            return
        change = self._next_change()
        if change is None:
            return
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
        for step in (self._removal, self._admission, self._promotion):
            change = step(membership)
            if change is not None:
                return change
        return None

    def _removal(self, membership: Membership) -> Membership | None:
        """Remove a voter that another one replaced, or a learner that is lost."""
        surplus = len(membership.voters) > self.policy.voters
        if surplus:
            lost = self._lost_voter(membership)
            if lost is None:
                lost = self._crowded_voter(membership)
            return membership.without(lost.identity) if lost else None
        for member in membership.members:
            if member.voter or member.identity == self.state.identity:
                continue
            long_silent = self._silence_s(member) > self.policy.forget_s
            if long_silent or self._is_superseded(member):
                return membership.without(member.identity)
        return None

    def _admission(self, membership: Membership) -> Membership | None:
        """Add a control instance that enrolled as a learner."""
        for identity, enrolled in self._enrolled.items():
            if not self._is_fresh(enrolled) or membership.find(identity):
                continue
            learner = MemberRecord(name=enrolled.name, identity=identity, voter=False)
            return evolve(membership, members=(*membership.members, learner))
        return None

    def _promotion(self, membership: Membership) -> Membership | None:
        """Let a learner vote if votes are missing, lost or all in one data centre."""
        learners = [m for m in membership.members if self._is_ready(m)]
        if not learners:
            return None
        missing = len(membership.voters) < self.policy.voters
        lost = self._lost_voter(membership)
        if missing or lost:
            learner = min(learners, key=lambda m: self._neighbours(membership, m))
            return membership.with_voter(learner.identity)
        crowded = self._crowded_voter(membership)
        if crowded is None or not self._is_crowded(membership, crowded):
            return None
        fewest = min(learners, key=lambda m: self._neighbours(membership, m))
        if self._neighbours(membership, fewest) + 1 < self._neighbours(
            membership, crowded
        ):
            return membership.with_voter(fewest.identity)
        return None

    def _lost_voter(self, membership: Membership) -> MemberRecord | None:
        """Return the voter that is lost for the longest time, if one is."""
        others = [m for m in membership.voters if m.identity != self.state.identity]
        for voter in others:
            if self._is_superseded(voter):
                return voter
        silent = [v for v in others if self._silence_s(v) > self.policy.silent_s]
        return max(silent, key=self._silence_s, default=None)

    def _crowded_voter(self, membership: Membership) -> MemberRecord | None:
        others = [m for m in membership.voters if m.identity != self.state.identity]
        return max(others, key=lambda m: self._neighbours(membership, m), default=None)

    def _is_crowded(self, membership: Membership, member: MemberRecord) -> bool:
        """Return whether losing the member's data centre would lose the quorum."""
        minority = (len(membership.voters) - 1) // 2
        return self._neighbours(membership, member) > minority

    def _neighbours(self, membership: Membership, member: MemberRecord) -> int:
        data_centre = self._data_centre(member)
        return sum(self._data_centre(v) == data_centre for v in membership.voters)

    def _data_centre(self, member: MemberRecord) -> str:
        enrolled = self._enrolled.get(member.identity)
        return enrolled.data_centre if enrolled else member.name

    def _is_superseded(self, member: MemberRecord) -> bool:
        """Return whether a process with another disk goes by the member's name."""
        return any(
            enrolled.name == member.name and self._is_fresh(enrolled)
            for identity, enrolled in self._enrolled.items()
            if identity != member.identity
        ) and not self._enrolled_fresh(member.identity)

    def _enrolled_fresh(self, identity: bytes) -> bool:
        enrolled = self._enrolled.get(identity)
        return enrolled is not None and self._is_fresh(enrolled)

    def _is_ready(self, member: MemberRecord) -> bool:
        peer = self._peer(member)
        if member.voter or peer is None or self._is_superseded(member):
            return False
        fresh = self._silence_s(member) < self.policy.silent_s / 2
        return fresh and peer.matched_index >= self.state.commit_index

    def _silence_s(self, member: MemberRecord) -> float:
        peer = self._peer(member)
        now_s = self.state.clock.monotonic_s()
        return now_s - peer.last_contact_s if peer else 0.0

    def _peer(self, member: MemberRecord) -> Peer | None:
        peers = self.replicator.peers
        return next((p for p in peers if p.member.identity == member.identity), None)

    def _is_fresh(self, enrolled: _Enrolled) -> bool:
        silence_s = self.state.clock.monotonic_s() - enrolled.last_contact_s
        return silence_s < self.policy.silent_s

    async def _on_enrol(self, peer: str, request: EnrolRequest) -> EnrolAnswer:
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
