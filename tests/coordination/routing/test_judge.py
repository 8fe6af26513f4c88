"""Guards against upstreams that fail and keep their share, and rash verdicts."""

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.routing.judge import (
    LONGEST_EXCLUSION_S,
    LOSS_MEMORY_S,
    Judge,
)

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


def test_an_upstream_that_goes_up_and_down_returns_later_each_time():
    clock = ManualClock()
    judge = Judge(clock)
    waits_s = []
    for _ in range(8):
        judge.lost(KEY)
        clock.jump(0.5)
        judge.returned(KEY)
        wait_s = 0.0
        while judge.is_suspected(KEY):
            clock.jump(0.25)
            wait_s += 0.25
        waits_s.append(wait_s)
    assert waits_s == [0.5, 1, 2, 4, 8, 16, 16, 16]


def test_old_losses_are_forgotten():
    clock = ManualClock()
    judge = Judge(clock)
    for _ in range(5):
        judge.lost(KEY)
        judge.returned(KEY)
        clock.jump(LOSS_MEMORY_S + 1)
    judge.lost(KEY)
    judge.returned(KEY)
    clock.jump(0.6)
    assert not judge.is_suspected(KEY)


def test_a_start_that_is_gone_is_forgotten():
    judge = Judge(ManualClock())
    judge.lost(KEY)
    judge.returned(KEY)
    judge.forget(KEY)
    assert not judge.is_suspected(KEY)
