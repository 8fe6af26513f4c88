"""Guards against messages that waited in a frozen process and count as new."""

import asyncio

import pytest

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.freezedetector import BACKLOG_S, TICK_S, FreezeDetector


class SuspendedClock(ManualClock):
    """A clock of a machine that can be suspended, which only boottime counts."""

    suspended_s = 0.0

    def boottime_s(self):
        return self.monotonic_s() + self.suspended_s


@pytest.fixture
async def clock_and_detector():
    clock = SuspendedClock()
    detector = FreezeDetector(clock, threshold_s=0.5)
    task = asyncio.ensure_future(detector.run())
    await clock.advance(2 * TICK_S)
    yield clock, detector
    task.cancel()


async def test_what_is_read_by_a_running_process_has_just_arrived(clock_and_detector):
    clock, detector = clock_and_detector
    await clock.advance(0.1)
    assert detector.earliest_arrival_s() == clock.boottime_s()


@pytest.mark.parametrize("is_suspended", [True, False])
async def test_what_is_read_after_a_freeze_may_be_as_old_as_the_freeze(
    clock_and_detector, is_suspended
):
    clock, detector = clock_and_detector
    gaps_s = []
    detector.on_freeze(gaps_s.append)
    frozen_s = clock.boottime_s()
    if is_suspended:
        clock.suspended_s += 4.0
    else:
        clock.jump(4.0)
    assert detector.earliest_arrival_s() <= frozen_s
    await clock.advance(TICK_S)
    assert detector.earliest_arrival_s() <= frozen_s
    assert gaps_s == [pytest.approx(4.0, abs=2 * TICK_S)]
    await clock.advance(BACKLOG_S)
    assert detector.earliest_arrival_s() == clock.boottime_s()
