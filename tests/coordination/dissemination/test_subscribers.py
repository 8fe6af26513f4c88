"""Guards against the simultaneous stop of all entry instances of a data centre."""

import pytest

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.dissemination.subscribers import Subscribers
from arbutuslift.protocol.channel import Channel
from arbutuslift.transport.bus import MemoryNetwork


class SubscribersHarness:
    """Subscribers of one data centre, and one of another."""

    def __init__(self, count):
        self.clock = ManualClock()
        network = MemoryNetwork(self.clock)
        self.subscribers = Subscribers(Channel(network.bus("control")), self.clock)
        self.names = [f"e{number}" for number in range(count)]
        self.record_requests()

    def record_requests(self, *without):
        for name in self.names:
            if name not in without:
                self.subscribers.record_request(name, "dc-1", is_stopping=False)
        self.subscribers.record_request("far", "dc-2", is_stopping=False)

    def request_permit(self, name, data_centre="dc-1"):
        return self.subscribers.grant_stop_permit(name, data_centre)


@pytest.mark.parametrize(
    ("count", "allowed"), [(1, 1), (3, 1), (4, 1), (8, 2), (20, 5)]
)
def test_only_some_instances_of_a_data_centre_may_stop_at_the_same_time(count, allowed):
    harness = SubscribersHarness(count)
    assert sum(harness.request_permit(name) for name in harness.names) == allowed
    assert harness.request_permit("far", "dc-2")


def test_a_repeated_request_is_granted_the_same_permit():
    harness = SubscribersHarness(3)
    assert harness.request_permit("e0")
    assert harness.request_permit("e0")


def test_the_next_permit_waits_until_routers_detect_the_returned_instance():
    harness = SubscribersHarness(3)
    harness.request_permit("e0")
    harness.clock.jump(2.0)
    harness.record_requests("e0")
    assert not harness.request_permit("e1")
    harness.record_requests()
    assert not harness.request_permit("e1")
    harness.clock.jump(0.6)
    assert harness.request_permit("e1")


def test_a_draining_instance_has_not_returned():
    harness = SubscribersHarness(3)
    harness.request_permit("e0")
    harness.clock.jump(1.0)
    harness.subscribers.record_request("e0", "dc-1", is_stopping=True)
    harness.clock.jump(1.0)
    assert not harness.request_permit("e1")


def test_the_permit_of_an_instance_that_never_returns_expires():
    harness = SubscribersHarness(3)
    harness.request_permit("e0")
    for _ in range(6):
        harness.clock.jump(1.0)
        harness.record_requests("e0")
    assert harness.request_permit("e1")


def test_an_unknown_instance_gets_a_permit():
    assert SubscribersHarness(0).request_permit("new")


def test_instances_without_recent_requests_are_not_counted():
    harness = SubscribersHarness(8)
    for _ in range(11):
        harness.clock.jump(1.0)
        harness.subscribers.record_request("e0", "dc-1", is_stopping=False)
    assert len(harness.subscribers) == 1
