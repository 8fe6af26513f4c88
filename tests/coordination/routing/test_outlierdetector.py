"""Guards against failed upstreams that get new flows, and premature exclusions."""

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.routing.outlierdetector import (
    LOSS_WINDOW_S,
    MAX_EXCLUSION_S,
    OutlierDetector,
)

KEY = ("i-1", 1)


def fail_until_excluded(clock, outlier_detector):
    for _ in range(2):
        outlier_detector.record_failure(KEY)
    return outlier_detector.is_excluded(KEY)


def test_second_failure_in_a_row_excludes_an_upstream():
    outlier_detector = OutlierDetector(ManualClock())
    assert not outlier_detector.record_failure(KEY)
    assert not outlier_detector.is_excluded(KEY)
    assert outlier_detector.record_failure(KEY)
    assert outlier_detector.is_excluded(KEY)


def test_answer_between_two_failures_resets_their_count():
    outlier_detector = OutlierDetector(ManualClock())
    for _ in range(10):
        outlier_detector.record_failure(KEY)
        outlier_detector.record_success(KEY)
    assert not outlier_detector.is_excluded(KEY)


def test_after_the_exclusion_new_flows_are_limited_in_rate():
    clock = ManualClock()
    outlier_detector = OutlierDetector(clock)
    assert fail_until_excluded(clock, outlier_detector)
    clock.jump(1.1)
    assert not outlier_detector.is_excluded(KEY)
    outlier_detector.record_selection(KEY)
    assert outlier_detector.is_excluded(KEY)
    clock.jump(0.6)
    assert not outlier_detector.is_excluded(KEY)


def test_exclusions_grow_up_to_a_maximum_and_an_answer_ends_them():
    clock = ManualClock()
    outlier_detector = OutlierDetector(clock)
    fail_until_excluded(clock, outlier_detector)
    for _ in range(10):
        clock.jump(MAX_EXCLUSION_S + 0.1)
        outlier_detector.record_failure(KEY)
    clock.jump(MAX_EXCLUSION_S - 0.1)
    assert outlier_detector.is_excluded(KEY)
    assert outlier_detector.record_success(KEY)
    assert not outlier_detector.is_excluded(KEY)


def test_recovery_delay_of_a_flapping_upstream_grows():
    clock = ManualClock()
    outlier_detector = OutlierDetector(clock)
    waits_s = []
    for _ in range(8):
        outlier_detector.record_loss(KEY)
        clock.jump(0.5)
        outlier_detector.record_recovery(KEY)
        wait_s = 0.0
        while outlier_detector.is_excluded(KEY):
            clock.jump(0.25)
            wait_s += 0.25
        waits_s.append(wait_s)
    assert waits_s == [0.5, 1, 2, 4, 8, 16, 16, 16]


def test_old_losses_do_not_count():
    clock = ManualClock()
    outlier_detector = OutlierDetector(clock)
    for _ in range(5):
        outlier_detector.record_loss(KEY)
        outlier_detector.record_recovery(KEY)
        clock.jump(LOSS_WINDOW_S + 1)
    outlier_detector.record_loss(KEY)
    outlier_detector.record_recovery(KEY)
    clock.jump(0.6)
    assert not outlier_detector.is_excluded(KEY)


def test_state_of_a_removed_start_is_dropped():
    outlier_detector = OutlierDetector(ManualClock())
    outlier_detector.record_loss(KEY)
    outlier_detector.record_recovery(KEY)
    outlier_detector.remove(KEY)
    assert not outlier_detector.is_excluded(KEY)
