"""Guards against upstreams that fail and keep their share, and rash verdicts."""

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.routing.outlierdetector import (
    LOSS_WINDOW_S,
    MAX_EXCLUSION_S,
    OutlierDetector,
)

KEY = ("i-1", 1)


def suspected(clock, judge):
    for _ in range(2):
        judge.record_failure(KEY)
    return judge.is_excluded(KEY)


def test_one_failure_is_no_reason_and_two_are():
    judge = OutlierDetector(ManualClock())
    assert not judge.record_failure(KEY)
    assert not judge.is_excluded(KEY)
    assert judge.record_failure(KEY)
    assert judge.is_excluded(KEY)


def test_an_answer_in_between_clears_the_count():
    judge = OutlierDetector(ManualClock())
    for _ in range(10):
        judge.record_failure(KEY)
        judge.record_success(KEY)
    assert not judge.is_excluded(KEY)


def test_after_the_exclusion_one_flow_at_a_time_may_try():
    clock = ManualClock()
    judge = OutlierDetector(clock)
    assert suspected(clock, judge)
    clock.jump(1.1)
    assert not judge.is_excluded(KEY)
    judge.record_selection(KEY)
    assert judge.is_excluded(KEY)
    clock.jump(0.6)
    assert not judge.is_excluded(KEY)


def test_exclusions_grow_up_to_a_bound_and_an_answer_ends_them():
    clock = ManualClock()
    judge = OutlierDetector(clock)
    suspected(clock, judge)
    for _ in range(10):
        clock.jump(MAX_EXCLUSION_S + 0.1)
        judge.record_failure(KEY)
    clock.jump(MAX_EXCLUSION_S - 0.1)
    assert judge.is_excluded(KEY)
    assert judge.record_success(KEY)
    assert not judge.is_excluded(KEY)


def test_an_upstream_that_goes_up_and_down_returns_later_each_time():
    clock = ManualClock()
    judge = OutlierDetector(clock)
    waits_s = []
    for _ in range(8):
        judge.record_loss(KEY)
        clock.jump(0.5)
        judge.record_recovery(KEY)
        wait_s = 0.0
        while judge.is_excluded(KEY):
            clock.jump(0.25)
            wait_s += 0.25
        waits_s.append(wait_s)
    assert waits_s == [0.5, 1, 2, 4, 8, 16, 16, 16]


def test_old_losses_are_forgotten():
    clock = ManualClock()
    judge = OutlierDetector(clock)
    for _ in range(5):
        judge.record_loss(KEY)
        judge.record_recovery(KEY)
        clock.jump(LOSS_WINDOW_S + 1)
    judge.record_loss(KEY)
    judge.record_recovery(KEY)
    clock.jump(0.6)
    assert not judge.is_excluded(KEY)


def test_a_start_that_is_gone_is_forgotten():
    judge = OutlierDetector(ManualClock())
    judge.record_loss(KEY)
    judge.record_recovery(KEY)
    judge.remove(KEY)
    assert not judge.is_excluded(KEY)
