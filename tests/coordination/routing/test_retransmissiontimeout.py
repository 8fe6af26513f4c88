"""Guards against time-outs that don't follow the round trips."""

import pytest

from arbutuslift.coordination.routing.retransmissiontimeout import (
    MAX_TIMEOUT_S,
    MIN_TIMEOUT_S,
    RetransmissionTimeout,
)


@pytest.mark.parametrize(
    ("round_trip_s", "expected_s"),
    [(0.002, MIN_TIMEOUT_S), (0.1, 0.3), (0.2, 0.6), (5.0, MAX_TIMEOUT_S)],
)
def test_the_first_round_trip_counts_three_times(round_trip_s, expected_s):
    timeout = RetransmissionTimeout()
    timeout.observe(round_trip_s)
    assert timeout.timeout_s == pytest.approx(expected_s)


def test_it_converges_to_steady_round_trips():
    timeout = RetransmissionTimeout()
    for _ in range(100):
        timeout.observe(0.3)
    assert timeout.timeout_s == pytest.approx(0.3)


def test_it_falls_after_a_slow_time():
    timeout = RetransmissionTimeout()
    timeout.observe(0.8)
    for _ in range(100):
        timeout.observe(0.002)
    assert timeout.timeout_s == MIN_TIMEOUT_S
