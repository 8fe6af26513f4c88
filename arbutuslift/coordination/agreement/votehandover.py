"""Handover of the leadership and the vote of a member before a planned end.

Those who stay would replace it only after the time-out for crashes. Until then the
quorum bears no second end, although others could vote.
"""

import structlog

from ...clock import Clock
from ...errors import MessageError, PeerFailure, TransportError
from ...protocol.channel import Channel
from ...protocol.enrolment import LeaveAnswer, LeaveRequest
from .member import Member

# An election takes a few round trips.
LEADERSHIP_TIMEOUT_S = 0.5
# A process has several seconds between the signal to stop and the one that kills it.
HANDOVER_TIMEOUT_S = 3.0
REQUEST_TIMEOUT_S = 0.3
RETRY_INTERVAL_S = 0.05

_log = structlog.get_logger()


class VoteHandover:
    """Hands over what a member holds; the member keeps taking part meanwhile.

    Args:
        member: The member that is about to end.
        channel: Reaches the other control instances.
        clock: Source of time.
    """

    def __init__(self, member: Member, channel: Channel, clock: Clock) -> None:
        self._member = member
        self._channel = channel
        self._clock = clock

    async def run(self) -> bool:
        """Return once the member may end, or when the time is over.

        Returns:
            Whether the quorum gains nothing from waiting for longer.
        """
        end_s = self._clock.monotonic_s() + HANDOVER_TIMEOUT_S
        while self._clock.monotonic_s() < end_s:
            if await self._try():
                return True
            await self._clock.sleep(RETRY_INTERVAL_S)
        _log.warning("vote_not_handed_over", leader=self._member.leader_name or "")
        return False

    async def _try(self) -> bool:
        """Take the next step and return whether the member may end."""
        member = self._member
        if not member.is_leader:
            return await self._ask_leader()
        if await member.transfer_leadership(LEADERSHIP_TIMEOUT_S):
            return False
        return not member.can_release_vote

    async def _ask_leader(self) -> bool:
        member = self._member
        # Without a leader nobody can take the vote; one may be elected soon.
        if member.leader_name is None:
            return not member.can_release_vote
        request = LeaveRequest(identity=member.identity)
        try:
            answer = await self._channel.request(
                member.leader_name, request, REQUEST_TIMEOUT_S
            )
        except PeerFailure:
            # An instance of a version that doesn't know the request.
            return True
        except (TransportError, MessageError):
            return not member.can_release_vote
        return isinstance(answer, LeaveAnswer) and answer.may_end
