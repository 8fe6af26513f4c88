"""Notices of silent members, so that the next leader knows since when they are."""

from ...clock import Clock
from ...protocol.agreement import MemberSilence, MemberSilences
from ...protocol.channel import Channel
from .memberstate import MemberState, Role
from .replication import Peer, Replicator

NOTICE_INTERVAL_S = 0.5
# Longer than two heartbeats, and far shorter than the time-out of a lost member.
SILENCE_S = 1.0
# Notices without a silent member that follow one with such; one may be lost.
EMPTY_NOTICES = 3


class SilenceNotices:
    """As leader, tells the others who is silent; as follower, notes what it is told.

    Args:
        state: State of the member.
        replicator: Knows when each member was last heard of.
        channel: Reaches the other members.
    """

    def __init__(
        self, state: MemberState, replicator: Replicator, channel: Channel
    ) -> None:
        self._state = state
        self._replicator = replicator
        self._channel = channel
        self._clock: Clock = state.clock
        self._due_notices = 0
        channel.register_handler(MemberSilences, self._on_silences)

    async def run(self) -> None:
        """Send notices while a member is silent, until cancelled."""
        while True:
            await self._clock.sleep(NOTICE_INTERVAL_S)
            if self._state.role is Role.LEADER:
                await self._send()

    async def _send(self) -> None:
        silent = [peer for peer in self._replicator.peers if self._is_silent(peer)]
        if silent:
            self._due_notices = 1 + EMPTY_NOTICES
        if self._due_notices == 0:
            return
        self._due_notices -= 1
        now_s = self._clock.monotonic_s()
        notice = MemberSilences(
            cluster=self._state.cluster,
            term=self._state.term,
            silences=tuple(
                MemberSilence(
                    identity=peer.member.identity, silence_s=now_s - peer.last_heard_s
                )
                for peer in silent
            ),
        )
        for peer in self._replicator.peers:
            if peer not in silent:
                await self._channel.send(peer.member.name, notice)

    def _is_silent(self, peer: Peer) -> bool:
        return self._clock.monotonic_s() - peer.last_heard_s > SILENCE_S

    async def _on_silences(self, peer: str, notice: MemberSilences) -> None:
        state = self._state
        is_leader = peer == state.leader_name and notice.term == state.term
        if is_leader and notice.cluster == state.cluster:
            state.contacts.record_silences(notice.silences)
