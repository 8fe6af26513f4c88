"""Time-out of upstreams that no longer announce themselves."""

import pytest

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.dissemination.registrar import Registrar
from arbutuslift.coordination.dissemination.upstreamtimeout import (
    ANNOUNCEMENT_TIMEOUT_S,
    INDIRECT_TIMEOUT_S,
    UpstreamTimeoutDetector,
)
from arbutuslift.coordination.routing.services import ServiceTable
from arbutuslift.state.upstreams import UpstreamView

from ... import builders

COUNT = 6


class Instance:
    """Receives announcements of some upstreams and gossip about others."""

    def __init__(self, clock):
        self.clock = clock
        self.view = UpstreamView(clock)
        services = ServiceTable(clock, self.view)
        self.registrar = Registrar(services, clock)
        self.detector = UpstreamTimeoutDetector(
            self.view, self.registrar, clock, "dc-1"
        )

    def advance_one_second(self, sequence, announced=(), gossiped=()):
        self.clock.jump(1.0)
        for number in announced:
            content = builders.announcement(number, sequence=sequence)
            self.registrar.accept(content | {"data_centre": "dc-1"})
        for number in gossiped:
            self.view.merge(record(number, sequence))
        self.detector.tick()

    def alive(self):
        return sorted(int(r.upstream_id, 16) for r in self.view if r.is_alive)


def record(number, sequence, **changes):
    return builders.upstream(number, sequence=sequence, data_centre="dc-1", **changes)


@pytest.fixture
def instance():
    return Instance(ManualClock())


ALL = range(COUNT)
SECONDS = int(ANNOUNCEMENT_TIMEOUT_S) + 3


def test_silent_upstream_is_gone_and_recovers_when_it_announces_again(instance):
    for second in range(1, 4):
        instance.advance_one_second(second, announced=ALL)
    for second in range(4, 4 + int(ANNOUNCEMENT_TIMEOUT_S) - 1):
        instance.advance_one_second(second, announced=range(1, COUNT))
        assert 0 in instance.alive()
    instance.advance_one_second(9, announced=range(1, COUNT))
    assert instance.alive() == list(range(1, COUNT))
    instance.advance_one_second(3, announced=[0])
    assert 0 not in instance.alive()
    instance.advance_one_second(10, announced=ALL)
    assert instance.alive() == list(ALL)


def test_upstream_that_announces_to_another_instance_does_not_time_out(instance):
    # Each upstream announces itself to two instances; one of the two paths may fail.
    for second in range(1, 20):
        gossiped = ALL if second > 3 else ()
        instance.advance_one_second(
            second, announced=ALL if second <= 3 else (), gossiped=gossiped
        )
    assert instance.alive() == list(ALL)


@pytest.mark.parametrize("spread_s", [0, 1, 3], ids="spread_{}_s".format)
def test_receive_failure_keeps_the_last_known_set(instance, spread_s):
    for second in range(1, 4):
        instance.advance_one_second(second, announced=ALL)
    for second in range(4, 40):
        still = [n for n in ALL if second - 4 < n * spread_s / COUNT]
        instance.advance_one_second(second, announced=still)
        assert instance.alive() == list(ALL)
    assert instance.detector.is_suspended


def test_upstreams_that_recover_one_by_one_after_a_receive_failure_do_not_time_out(
    instance,
):
    for second in range(1, 4):
        instance.advance_one_second(second, announced=ALL)
    for second in range(4, 20):
        instance.advance_one_second(second)
    for second in range(20, 20 + COUNT):
        instance.advance_one_second(second, announced=range(min(COUNT, second - 18)))
        assert instance.alive() == list(ALL)


@pytest.mark.parametrize(("second_failure", "alive"), [(6, ALL), (8, range(2, 6))])
def test_two_failures_within_one_timeout_count_together(
    instance, second_failure, alive
):
    # At second 8 the first two are already marked as gone; the next two stay alive.
    for second in range(1, 4):
        instance.advance_one_second(second, announced=ALL)
    for second in range(4, 60):
        silent = {0, 1} if second < second_failure else {0, 1, 2, 3}
        instance.advance_one_second(second, announced=set(ALL) - silent)
    assert instance.alive() == list(alive)


def test_frozen_process_marks_none_when_it_resumes(instance):
    for second in range(1, 4):
        instance.advance_one_second(second, announced=ALL)
    instance.clock.jump(60.0)
    for second in range(4, 4 + int(ANNOUNCEMENT_TIMEOUT_S) - 1):
        instance.advance_one_second(second, announced=range(4))
        assert instance.alive() == list(ALL)


def test_failed_gossip_does_not_time_out_upstreams_of_other_receivers(instance):
    for second in range(1, 4):
        instance.advance_one_second(second, announced=range(4), gossiped=[4, 5])
    for second in range(4, int(INDIRECT_TIMEOUT_S) - 1):
        instance.advance_one_second(second, announced=range(4))
        assert instance.alive() == list(ALL)


def test_upstream_lost_together_with_its_receivers_times_out_later(instance):
    for second in range(1, 4):
        instance.advance_one_second(second, announced=range(4), gossiped=[4, 5])
    for second in range(4, int(INDIRECT_TIMEOUT_S) + 4):
        instance.advance_one_second(second, announced=range(4))
    assert instance.alive() == [0, 1, 2, 3]


def test_rare_gossip_of_a_large_data_centre_does_not_suspend_timeouts(instance):
    # Gossip can't deliver every sequence number of 1,300 upstreams each second.
    for second in range(1, 60):
        announced = [0, 1, 2] if second < 50 else [0, 1]
        gossiped = range(10, 40) if second % 20 == 0 else ()
        instance.advance_one_second(second, announced=announced, gossiped=gossiped)
    assert instance.alive() == [0, 1, *range(10, 40)]


def test_upstreams_of_other_data_centres_do_not_time_out(instance):
    instance.view.merge(builders.upstream(1))
    for second in range(1, int(INDIRECT_TIMEOUT_S) + 5):
        instance.advance_one_second(second, announced=[2, 4])
    assert 1 in instance.alive()
