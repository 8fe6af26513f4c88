"""Guards against upstreams that fail and keep their share, and rash verdicts."""

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.judge import LONGEST_EXCLUSION_S, Judge

KEY = ("i-1", 1)


def suspected(clock, judge):
    for _ in range(2):
        judge.unanswered(KEY)
    return judge.is_suspected(KEY)


def test_one_failure_is_no_reason_and_two_are():
    judge = Judge(ManualClock())
    assert not judge.unanswered(KEY)
    assert not judge.is_suspected(KEY)
    assert judge.unanswered(KEY)
    assert judge.is_suspected(KEY)


def test_an_answer_in_between_clears_the_count():
    judge = Judge(ManualClock())
    for _ in range(10):
        judge.unanswered(KEY)
        judge.answered(KEY)
    assert not judge.is_suspected(KEY)


def test_after_the_exclusion_one_flow_at_a_time_may_try():
    clock = ManualClock()
    judge = Judge(clock)
    assert suspected(clock, judge)
    clock.jump(1.1)
    assert not judge.is_suspected(KEY)
    judge.chosen(KEY)
    assert judge.is_suspected(KEY)
    clock.jump(0.6)
    assert not judge.is_suspected(KEY)


def test_exclusions_grow_up_to_a_bound_and_an_answer_ends_them():
    clock = ManualClock()
    judge = Judge(clock)
    suspected(clock, judge)
    for _ in range(10):
        clock.jump(LONGEST_EXCLUSION_S + 0.1)
        judge.unanswered(KEY)
    clock.jump(LONGEST_EXCLUSION_S - 0.1)
    assert judge.is_suspected(KEY)
    assert judge.answered(KEY)
    assert not judge.is_suspected(KEY)
