"""Guards against choices of voters that can't be confirmed or never come to rest."""

import itertools
import random

import pytest

from arbutuslift.coordination.agreement.voterchoice import (
    Condition,
    MemberView,
    VoterChoice,
)
from arbutuslift.state.membership import MemberRecord, Membership

MIN_VOTERS = 3
MAX_VOTERS = 7
ANSWERING = (Condition.AVAILABLE, Condition.LEAVING)


def membership(voters, learners=0):
    records = [
        MemberRecord(name=f"n{i}", identity=bytes([i]), voter=i < voters)
        for i in range(voters + learners)
    ]
    return Membership(members=tuple(records))


def next_change(members, conditions, places=None):
    """Return the next change where the first member leads."""
    views = [
        MemberView(
            record=record,
            condition=condition,
            silence_s=5.0 if condition is Condition.LOST else 0.0,
            data_centre=places[i] if places else f"dc-{i}",
            is_ready=not record.voter and condition is Condition.AVAILABLE,
        )
        for i, (record, condition) in enumerate(
            zip(members.members, conditions, strict=True)
        )
    ]
    leader = members.members[0].identity
    return VoterChoice(members, views, leader, MIN_VOTERS, MAX_VOTERS).next_change()


def settle(members, conditions, places=None):
    """Apply changes until none is left; return all memberships on the way."""
    identities = [member.identity for member in members.members]
    condition_of = dict(zip(identities, conditions, strict=True))
    place_of = dict(zip(identities, places or identities, strict=True))
    steps = [members]
    for _ in range(40):
        members = steps[-1]
        conditions = [condition_of[m.identity] for m in members.members]
        left = [place_of[m.identity] for m in members.members]
        change = next_change(members, conditions, left)
        if change is None:
            return steps
        steps.append(change)
    raise AssertionError("the changes never end")


def cases(count):
    """Return all conditions of the members behind a leader that is available."""
    return (
        (Condition.AVAILABLE, *others)
        for others in itertools.product(Condition, repeat=count - 1)
    )


@pytest.mark.parametrize(
    ("voters", "learners"), [(2, 1), (3, 1), (3, 2), (4, 1), (5, 0)]
)
def test_changes_end_and_each_can_be_confirmed(voters, learners):
    """Guards against a change in effect that those which answer can't confirm."""
    first = membership(voters, learners)
    for conditions in cases(voters + learners):
        answering = {
            m.identity
            for m, condition in zip(first.members, conditions, strict=True)
            if condition in ANSWERING
        }
        steps = settle(first, conditions)
        for before, after in itertools.pairwise(steps):
            changed = {m.identity for m in before.voters} ^ {
                m.identity for m in after.voters
            }
            assert len(changed) == 1
            confirming = [v for v in after.voters if v.identity in answering]
            assert len(confirming) >= after.quorum
            assert len(after.voters) >= min(len(before.voters), MIN_VOTERS - 1)


def test_what_is_left_bears_the_loss_of_almost_half():
    """Guards against lost voters that stay although the others are enough."""
    for conditions in cases(5):
        last = settle(membership(5), conditions)[-1]
        kept = [last.find(bytes([i])) for i in range(5)]
        available = sum(c is Condition.AVAILABLE for c in conditions)
        others = set(conditions) - {Condition.AVAILABLE, Condition.LOST}
        if available >= MIN_VOTERS and not others:
            assert len(last.voters) == available - (available + 1) % 2
            assert all(
                condition is Condition.AVAILABLE
                for record, condition in zip(kept, conditions, strict=True)
                if record is not None and record.voter
            )


@pytest.mark.parametrize("seed", range(400))
def test_changes_end_wherever_the_instances_are(seed):
    """Guards against votes that move between data centres for ever."""
    rng = random.Random(seed)
    first = membership(rng.randint(2, 7), rng.randint(0, 3))
    others = len(first.members) - 1
    conditions = rng.choices([*Condition, *[Condition.AVAILABLE] * 4], k=others)
    places = rng.choices("abc", k=others + 1)
    settle(first, [Condition.AVAILABLE, *conditions], places)


@pytest.mark.parametrize(
    ("places", "expected"),
    [("aabbc", 5), ("abcaa", 3), ("aaabb", 5), ("aaaaa", 5), ("aabbccd", 7)],
)
def test_no_data_centre_gets_a_majority(places, expected):
    """Guards against more voters of which a data centre can take the quorum."""
    first = membership(MIN_VOTERS, len(places) - MIN_VOTERS)
    conditions = [Condition.AVAILABLE] * len(places)
    last = settle(first, conditions, places)[-1]
    assert len(last.voters) == expected


def test_no_voter_is_added_while_data_centres_are_unknown():
    """Guards against a leader that was just elected and takes all for one place."""
    conditions = [Condition.AVAILABLE] * 5
    assert next_change(membership(3, 2), conditions, [None] * 5) is None
    assert next_change(membership(5), conditions, [None] * 5) is None


def test_an_even_number_of_instances_leaves_one_without_a_vote():
    """Guards against a quorum that grows without bearing more losses."""
    conditions = [Condition.AVAILABLE] * 4
    assert next_change(membership(3, 1), conditions) is None
    assert len(settle(membership(4), conditions)[-1].voters) == 3
