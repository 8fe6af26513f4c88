"""Follower's side of log replication: entries and snapshots from the leader."""

from ...protocol.agreement import AppendAnswer, AppendRequest, SnapshotChunk
from ...protocol.channel import Channel
from ...state.snapshots import Snapshot
from .memberstate import MemberState


class Follower:
    """Stores entries and snapshots of the leader and acknowledges them.

    Args:
        state: State of the member.
        channel: Receives the requests of the leader.
    """

    def __init__(self, state: MemberState, channel: Channel) -> None:
        self._state = state
        self._snapshot_index = 0
        self._snapshot_content = bytearray()
        channel.register_handler(AppendRequest, self._on_append)
        channel.register_handler(SnapshotChunk, self._on_chunk)

    async def _on_append(self, peer: str, request: AppendRequest) -> AppendAnswer:
        state = self._state
        state.check_target(request.target, request.cluster)
        if request.term < state.term:
            return self._answer(False, 0)
        state.join_cluster(request.cluster)
        state.follow_leader(request.term, peer)
        if not self._matches_previous_entry(request):
            # Committed entries equal those of the leader, so that it can resume there.
            return self._answer(False, min(state.last_index, state.commit_index))
        self._store_new_entries(request)
        matched_index = request.previous_index + len(request.entries)
        commit_index = min(request.commit_index, matched_index)
        if commit_index > state.commit_index:
            state.commit(commit_index)
        return self._answer(True, matched_index)

    def _matches_previous_entry(self, request: AppendRequest) -> bool:
        """Return whether the log equals the leader's up to the previous entry."""
        index = request.previous_index
        if index <= self._state.commit_index:
            return True
        if index > self._state.last_index:
            return False
        return self._state.term_at(index) == request.previous_term

    def _store_new_entries(self, request: AppendRequest) -> None:
        state = self._state
        entries = request.entries
        while entries and self._has_entry(entries[0].index, entries[0].term):
            entries = entries[1:]
        if not entries:
            return
        if entries[0].index <= state.last_index:
            state.truncate(entries[0].index)
        state.append(entries)

    def _has_entry(self, index: int, term: int) -> bool:
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
        if not self._add_chunk(chunk):
            return self._answer(False, 0)
        if chunk.done:
            self._install_received_snapshot(peer)
        return self._answer(True, state.commit_index)

    def _add_chunk(self, chunk: SnapshotChunk) -> bool:
        if chunk.offset == 0:
            self._snapshot_index = chunk.index
            self._snapshot_content = bytearray()
        expected_offset = len(self._snapshot_content)
        if chunk.index != self._snapshot_index or chunk.offset != expected_offset:
            return False
        self._snapshot_content += chunk.data
        return True

    def _install_received_snapshot(self, peer: str) -> None:
        content = bytes(self._snapshot_content)
        self._snapshot_content = bytearray()
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
