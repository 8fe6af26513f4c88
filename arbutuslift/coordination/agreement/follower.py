"""Follower's side of the log: entries and snapshots from the leader."""

from ...protocol.agreement import AppendAnswer, AppendRequest, SnapshotChunk
from ...protocol.channel import Channel
from ...state.snapshots import Snapshot
from .memberstate import MemberState


class Follower:
    """Stores what the leader sends and acknowledges it.

    Args:
        state: State of the member.
        channel: Its handlers are set here.
    """

    def __init__(self, state: MemberState, channel: Channel) -> None:
        self._state = state
        self._snapshot_index = 0
        self._snapshot_parts = bytearray()
        channel.on(AppendRequest, self._on_append)
        channel.on(SnapshotChunk, self._on_chunk)

    async def _on_append(self, peer: str, request: AppendRequest) -> AppendAnswer:
        state = self._state
        state.check_target(request.target, request.cluster)
        if request.term < state.term:
            return self._answer(False, 0)
        state.join_cluster(request.cluster)
        state.follow_leader(request.term, peer)
        if not self._continues(request):
            # Committed entries equal the leader's, so it can resume after them.
            return self._answer(False, min(state.last_index, state.commit_index))
        self._store(request)
        matched = request.previous_index + len(request.entries)
        commit_index = min(request.commit_index, matched)
        if commit_index > state.commit_index:
            state.commit(commit_index)
        return self._answer(True, matched)

    def _continues(self, request: AppendRequest) -> bool:
        """Return whether the log equals the leader's up to the first new entry."""
        index = request.previous_index
        if index <= self._state.commit_index:
            return True
        if index > self._state.last_index:
            return False
        return self._state.term_at(index) == request.previous_term

    def _store(self, request: AppendRequest) -> None:
        state = self._state
        entries = request.entries
        while entries and self._holds(entries[0].index, entries[0].term):
            entries = entries[1:]
        if not entries:
            return
        if entries[0].index <= state.last_index:
            state.truncate(entries[0].index)
        state.append(entries)

    def _holds(self, index: int, term: int) -> bool:
        state = self._state
        if index <= state.commit_index:
            return True
        return index <= state.last_index and state.term_at(index) == term

    async def _on_chunk(self, peer: str, chunk: SnapshotChunk) -> AppendAnswer:
        state = self._state
        state.check_target(chunk.target, chunk.cluster)
        if chunk.term < state.term:
            return self._answer(False, 0)
        state.join_cluster(chunk.cluster)
        state.follow_leader(chunk.term, peer)
        if not self._collect(chunk):
            return self._answer(False, 0)
        if chunk.done:
            self._install(peer)
        return self._answer(True, state.commit_index)

    def _collect(self, chunk: SnapshotChunk) -> bool:
        if chunk.offset == 0:
            self._snapshot_index = chunk.index
            self._snapshot_parts = bytearray()
        expected = len(self._snapshot_parts)
        if chunk.index != self._snapshot_index or chunk.offset != expected:
            return False
        self._snapshot_parts += chunk.data
        return True

    def _install(self, peer: str) -> None:
        content = bytes(self._snapshot_parts)
        self._snapshot_parts = bytearray()
        snapshot = Snapshot.decode(content, f"snapshot from {peer}")
        if snapshot.index > self._state.commit_index:
            self._state.install_snapshot(snapshot)

    def _answer(self, success: bool, matched_index: int) -> AppendAnswer:
        return AppendAnswer(
            member=self._state.identity,
            term=self._state.term,
            success=success,
            matched_index=matched_index,
        )
