"""Replacement of a member: a learner becomes voter before the old one is removed."""

import structlog

from ...errors import (
    ArbutusliftError,
    MembershipChangeError,
    NoQuorum,
)
from ...protocol.agreement import IdentityAnswer, IdentityRequest
from ...protocol.channel import Channel
from ...state.membership import MemberRecord, Membership
from .agreementtiming import AgreementTiming
from .memberstate import MemberState
from .replication import Replicator

STEP = "replace member"

_log = structlog.get_logger()


class MemberReplacer:
    """Runs replacements on the leader, one at a time.

    Args:
        state: State of the member.
        replicator: Replicates the membership entries.
        channel: Reaches the new member.
        timing: Intervals.
    """

    def __init__(
        self,
        state: MemberState,
        replicator: Replicator,
        channel: Channel,
        timing: AgreementTiming,
    ) -> None:
        self._state = state
        self._replicator = replicator
        self._channel = channel
        self._timing = timing
        self._is_replacing = False

    async def replace(self, old_name: str, new_name: str) -> None:
        """Replace a member; a repeated call continues or confirms an earlier one.

        Raises:
            MembershipChangeError: Another change is in progress, the old member is
                unknown, or the new one can't be reached or doesn't catch up.
            NoQuorum: The leadership ended or no quorum confirmed a step.
        """
        if self._is_replacing:
            raise MembershipChangeError("another change is in progress", step=STEP)
        self._is_replacing = True
        try:
            await self._replace(old_name, new_name, self._state.term)
        finally:
            self._is_replacing = False

    async def _replace(self, old_name: str, new_name: str, term: int) -> None:
        state = self._state
        await self._wait_for_commit(term, self._replicator.term_start_index)
        await self._wait_for_commit(term, state.membership_index)
        identity = await self._request_identity(new_name)
        if self._is_completed(old_name, identity):
            return
        old = self._find_old_member(old_name, identity)
        for learner in self._stale_learners(identity):
            await self._change_members(term, state.membership.without(learner.identity))
        if state.membership.find(identity) is None:
            joined = state.membership.with_learner(new_name, identity, old)
            await self._change_members(term, joined)
        if not state.membership.is_voter(identity):
            await self._wait_for_catch_up(term, identity, new_name)
            await self._change_members(term, state.membership.with_voter(identity))
        # The old member remains a voter until the new one is a voter. Removing it
        # first would reduce the number of losses that the cluster tolerates by one.
        await self._change_members(term, state.membership.without(old.identity))
        _log.info("member_replaced", old=old_name, new=new_name)
        if old.identity == state.identity and state.is_leader_in(term):
            state.step_down()

    def _is_completed(self, old_name: str, new_identity: bytes) -> bool:
        """Return whether an earlier call completed the replacement."""
        membership = self._state.membership
        new = membership.find(new_identity)
        if new is None or not new.voter or new.replaces_name != old_name:
            return False
        return membership.find(new.replaces) is None

    def _find_old_member(self, old_name: str, new_identity: bytes) -> MemberRecord:
        membership = self._state.membership
        new = membership.find(new_identity)
        for member in membership.voters:
            if member.name != old_name or member.identity == new_identity:
                continue
            if new is None or new.replaces == member.identity:
                return member
        message = f"{old_name} is no member that the new one can replace"
        raise MembershipChangeError(message, step=STEP, peer=old_name)

    def _stale_learners(self, identity: bytes) -> list[MemberRecord]:
        """Return the learners of earlier replacements that weren't completed."""
        members = self._state.membership.members
        return [m for m in members if not m.voter and m.identity != identity]

    async def _request_identity(self, name: str) -> bytes:
        timeout_s = self._timing.request_timeout_s
        try:
            answer = await self._channel.request(name, IdentityRequest(), timeout_s)
        except ArbutusliftError as error:
            raise MembershipChangeError(str(error), step=STEP, peer=name) from error
        if not isinstance(answer, IdentityAnswer):
            raise MembershipChangeError("not a member", step=STEP, peer=name)
        if answer.cluster not in (b"", self._state.cluster):
            message = "belongs to another cluster"
            raise MembershipChangeError(message, step=STEP, peer=name)
        return answer.identity

    async def _change_members(self, term: int, membership: Membership) -> None:
        if not self._state.is_leader_in(term):
            raise NoQuorum("the leadership ended", step=STEP)
        index = self._replicator.propose_membership(membership)
        await self._wait_for_commit(term, index)

    async def _wait_for_commit(self, term: int, index: int) -> None:
        state = self._state

        def is_decided() -> bool:
            return state.commit_index >= index or not state.is_leader_in(term)

        await state.changed.wait_for(is_decided, self._timing.submit_timeout_s)
        if not state.is_leader_in(term) or state.commit_index < index:
            raise NoQuorum("no quorum confirmed the change", step=STEP)

    async def _wait_for_catch_up(self, term: int, identity: bytes, name: str) -> None:
        """Wait until a learner has stored every committed entry."""
        state = self._state

        def is_caught_up() -> bool:
            peers = self._replicator.peers
            matched_indexes = [
                p.matched_index for p in peers if p.member.identity == identity
            ]
            return bool(matched_indexes) and matched_indexes[0] >= state.commit_index

        def is_decided() -> bool:
            return is_caught_up() or not state.is_leader_in(term)

        await state.changed.wait_for(is_decided, self._timing.catch_up_timeout_s)
        if not state.is_leader_in(term):
            raise NoQuorum("the leadership ended", step=STEP)
        if not is_caught_up():
            raise MembershipChangeError("doesn't catch up", step=STEP, peer=name)
