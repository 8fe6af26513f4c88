"""Times of the last contact with the other members, kept over changes of the leader."""

from collections.abc import Iterable

from ...clock import Clock
from ...protocol.agreement import MemberSilence


class LastContacts:
    """When each member was last heard of, directly or by the leader.

    Only a leader talks to all members. A member that takes over has to know since when
    another one is silent, or each change of the leader would begin the count anew. So
    a leader tells who is silent; who isn't named was in contact with it.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._answered_s: dict[bytes, float] = {}
        self._reported_s: dict[bytes, float] = {}
        self._leader_heard_s = float("-inf")

    def record_answer(self, identity: bytes, sent_s: float) -> None:
        """Note that a member has answered a request of this one, sent at ``sent_s``."""
        known_s = self._answered_s.get(identity, sent_s)
        self._answered_s[identity] = max(known_s, sent_s)

    def record_leader(self, identities: Iterable[bytes]) -> None:
        """Note a request of the leader, which has one of ``identities``."""
        now_s = self._clock.monotonic_s()
        self._leader_heard_s = now_s
        for identity in identities:
            self.record_answer(identity, now_s)

    def record_silences(self, silences: Iterable[MemberSilence]) -> None:
        """Replace what the leader has said of silent members.

        A report that arrives late makes a silence look shorter than it is.
        """
        now_s = self._clock.monotonic_s()
        self._reported_s = {s.identity: now_s - s.silence_s for s in silences}

    def last_contact_s(self, identity: bytes) -> float:
        """Return when a member was last heard of, now if nothing is known.

        It may have been in contact with a leader later than that, one that this member
        didn't hear. So it counts as lost only if it doesn't answer this member either.
        """
        by_leader_s = self._reported_s.get(identity, self._leader_heard_s)
        answered_s = self._answered_s.get(identity, float("-inf"))
        last_s = max(by_leader_s, answered_s)
        return self._clock.monotonic_s() if last_s == float("-inf") else last_s

    def retain(self, identities: Iterable[bytes]) -> None:
        """Forget all members but these."""
        retained = set(identities)
        for times in (self._answered_s, self._reported_s):
            for identity in times.keys() - retained:
                del times[identity]
