"""Choice of the next change of voters, from what the leader knows of the members."""

from collections import Counter
from collections.abc import Iterable
from enum import Enum, auto

from attrs import frozen

from ...state.membership import MemberRecord, Membership


class Condition(Enum):
    """What the leader knows of a member."""

    AVAILABLE = auto()
    """It has answered lately."""
    LEAVING = auto()
    """It has answered lately, and is about to end."""
    SILENT = auto()
    """It hasn't answered lately, but not for long enough to count as lost."""
    LOST = auto()
    """It is gone, and may never come back."""


@frozen(kw_only=True)
class MemberView:
    """A member as the leader sees it.

    Attributes:
        record: The member.
        condition: Whether it takes part.
        silence_s: Time since it was last heard of; 0 for the leader.
        data_centre: Its data centre, None if that isn't known.
        is_ready: Whether it has every entry, so that it may vote.
    """

    record: MemberRecord
    condition: Condition
    silence_s: float = 0.0
    data_centre: str | None = None
    is_ready: bool = False

    @property
    def answers(self) -> bool:
        """Return whether it would confirm an entry now."""
        return self.condition in (Condition.AVAILABLE, Condition.LEAVING)


_PRESENT = (Condition.AVAILABLE, Condition.SILENT)


class VoterChoice:
    """Chooses one change of voters at a time.

    All instances that are there vote, as long as their number is odd and no data centre
    holds a majority. So the quorum bears the loss of almost half of them at any pace,
    before the leader has noticed the first. Of an even number one is left out: it
    would raise the quorum and not what the quorum bears.

    No change is chosen that the members which answer couldn't confirm: it is in effect
    for the leader as soon as it is proposed.

    Args:
        membership: The members.
        views: Each of them as the leader sees it.
        leader: Identity of the leader, which keeps its vote.
        min_voter_count: Number of voters below which none is taken out without a
            replacement; odd.
        max_voter_count: Number of voters up to which instances are added.
    """

    def __init__(
        self,
        membership: Membership,
        views: Iterable[MemberView],
        leader: bytes,
        min_voter_count: int,
        max_voter_count: int,
    ) -> None:
        self._membership = membership
        self._leader = leader
        self._min_voter_count = min_voter_count
        views = tuple(views)
        self._voters = [view for view in views if view.record.voter]
        self._ready = [v for v in views if v.is_ready and not v.record.voter]
        self._present = [v for v in views if v.condition in _PRESENT]
        self._target_count = self._choose_target_count(max_voter_count)

    def next_change(self) -> Membership | None:
        """Return the members after the next change, or None if none is needed."""
        steps = (
            self._without_lost,
            self._without_leaving,
            self._without_surplus,
            self._with_learner,
            self._with_spread,
        )
        changes = (step() for step in steps)
        return next((c for c in changes if c and self._is_confirmable(c)), None)

    def _choose_target_count(self, max_voter_count: int) -> int:
        """Return the number of voters to aim at."""
        smallest = self._min_voter_count
        largest = min(max_voter_count, len(self._present))
        target = next(
            (n for n in range(largest, smallest, -1) if n % 2 and self._is_spread(n)),
            smallest,
        )
        # A leader that was just elected doesn't know yet where the others are.
        if any(view.data_centre is None for view in self._present):
            target = max(smallest, min(target, len(self._voters)))
        return target

    def _is_spread(self, voter_count: int) -> bool:
        """Return whether so many can vote without a majority in one data centre.

        With too few data centres for that, any number is as good.
        """
        # An instance whose data centre isn't known counts as alone there.
        counts = Counter(
            view.data_centre or view.record.identity for view in self._present
        ).values()

        def is_possible(voter_count: int) -> bool:
            minority = (voter_count - 1) // 2
            return sum(min(count, minority) for count in counts) >= voter_count

        return is_possible(voter_count) or not is_possible(self._min_voter_count)

    def _is_confirmable(self, change: Membership) -> bool:
        """Return whether a quorum after the change answers now."""
        answering = {view.record.identity for view in self._voters if view.answers}
        answering |= {view.record.identity for view in self._ready}
        count = sum(voter.identity in answering for voter in change.voters)
        return count >= change.quorum

    @property
    def _has_surplus(self) -> bool:
        return len(self._voters) > self._target_count

    def _others(self, *conditions: Condition) -> list[MemberView]:
        """Return the voters but the leader that are in one of some conditions."""
        return [
            view
            for view in self._voters
            if view.condition in conditions and view.record.identity != self._leader
        ]

    def _without_lost(self) -> Membership | None:
        """Remove a lost voter that is superfluous, or that a learner can replace.

        The learner gets its vote afterwards: if it is lost as well, without being
        noticed yet, the others still are a quorum. In between there is one voter less
        than aimed at, and never two.
        """
        lost = self._others(Condition.LOST)
        is_replaceable = self._ready and len(self._voters) >= self._min_voter_count
        if not lost or not (self._has_surplus or is_replaceable):
            return None
        longest = max(lost, key=lambda view: view.silence_s)
        return self._membership.without(longest.record.identity)

    def _without_leaving(self) -> Membership | None:
        """Remove a voter that is about to end; before, give a learner its vote.

        It still votes, so that the quorum bears the loss of any other one meanwhile.
        """
        leaving = self._others(Condition.LEAVING)
        if not leaving:
            return None
        if self._has_surplus:
            return self._membership.without(leaving[0].record.identity)
        return self._with_vote_of(self._least_colocated())

    def _without_surplus(self) -> Membership | None:
        """Take the vote of a voter that is superfluous, of a silent one before all."""
        if not self._has_surplus:
            return None
        silent = self._others(Condition.SILENT)
        if silent:
            view = max(silent, key=lambda view: view.silence_s)
        else:
            view = self._most_colocated()
        if view is None:
            return None
        return self._membership.without_vote(view.record.identity)

    def _with_learner(self) -> Membership | None:
        """Give a learner a vote if there are too few.

        An even number beyond the smallest is only passed through: a second learner has
        to be there for the next step.
        """
        count = len(self._voters)
        if count >= self._target_count:
            return None
        if count >= self._min_voter_count and count % 2 and len(self._ready) < 2:
            return None
        return self._with_vote_of(self._least_colocated())

    def _with_spread(self) -> Membership | None:
        """Give a learner a vote if the loss of one data centre would lose the quorum.

        The voter of that data centre is superfluous then.
        """
        most, least = self._most_colocated(), self._least_colocated()
        if most is None or least is None:
            return None
        minority = (len(self._voters) - 1) // 2
        most_count = self._colocated_voters(most)
        if most_count <= minority or self._colocated_voters(least) + 1 >= most_count:
            return None
        return self._with_vote_of(least)

    def _with_vote_of(self, learner: MemberView | None) -> Membership | None:
        if learner is None:
            return None
        return self._membership.with_voter(learner.record.identity)

    def _most_colocated(self) -> MemberView | None:
        """Return the voter but the leader with the most voters in its data centre."""
        return max(self._others(*Condition), key=self._colocated_voters, default=None)

    def _least_colocated(self) -> MemberView | None:
        """Return the ready learner with the fewest voters in its data centre."""
        return min(self._ready, key=self._colocated_voters, default=None)

    def _colocated_voters(self, view: MemberView) -> int:
        if view.data_centre is None:
            return int(view.record.voter)
        return sum(voter.data_centre == view.data_centre for voter in self._voters)
