"""Control instances that are about to end, as the leader of a term was told."""

from .memberstate import MemberState


class LeavingMembers:
    """Identities of instances that are about to end.

    What an earlier leader was told doesn't count: the instance may have started again
    since. One that is still there repeats its request to the new leader.

    Args:
        state: State of the member that holds the list.
    """

    def __init__(self, state: MemberState) -> None:
        self._state = state
        self._term = 0
        self._identities: set[bytes] = set()

    def __contains__(self, identity: bytes) -> bool:
        return self._term == self._state.term and identity in self._identities

    def add(self, identity: bytes) -> None:
        """Note that an instance is about to end."""
        if self._term != self._state.term:
            self._term = self._state.term
            self._identities.clear()
        self._identities.add(identity)

    def discard(self, identity: bytes) -> None:
        """Note that an instance has started again."""
        self._identities.discard(identity)
