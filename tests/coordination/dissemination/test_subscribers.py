"""Guards against entry instances of a data centre that are all away at one time."""

import pytest

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.dissemination.subscribers import Subscribers
from arbutuslift.protocol.channel import Channel
from arbutuslift.transport.bus import MemoryNetwork


class Row:
    """Followers of one data centre, and one of another."""

    def __init__(self, count):
        self.clock = ManualClock()
        network = MemoryNetwork(self.clock)
        self.followers = Subscribers(Channel(network.bus("control")), self.clock)
        self.names = [f"e{number}" for number in range(count)]
        self.seen()

    def seen(self, *without):
        for name in self.names:
            if name not in without:
                self.followers.record_request(name, "dc-1", is_stopping=False)
        self.followers.record_request("far", "dc-2", is_stopping=False)

    def ask(self, name, data_centre="dc-1"):
        return self.followers.grant_stop_permit(name, data_centre)


@pytest.mark.parametrize(
    ("count", "allowed"), [(1, 1), (3, 1), (4, 1), (8, 2), (20, 5)]
)
def test_only_some_instances_of_a_data_centre_may_stop_at_one_time(count, allowed):
    row = Row(count)
    assert sum(row.ask(name) for name in row.names) == allowed
    assert row.ask("far", "dc-2")


def test_a_turn_that_was_given_is_given_again_on_a_resend():
    row = Row(3)
    assert row.ask("e0")
    assert row.ask("e0")


def test_the_next_one_waits_until_the_first_is_back_and_seen_by_routers():
    row = Row(3)
    row.ask("e0")
    row.clock.jump(2.0)
    row.seen("e0")
    assert not row.ask("e1")
    row.seen()
    assert not row.ask("e1")
    row.clock.jump(0.6)
    assert row.ask("e1")


def test_a_draining_instance_is_not_back():
    row = Row(3)
    row.ask("e0")
    row.clock.jump(1.0)
    row.followers.record_request("e0", "dc-1", is_stopping=True)
    row.clock.jump(1.0)
    assert not row.ask("e1")


def test_an_instance_that_never_returns_holds_nobody_up_for_long():
    row = Row(3)
    row.ask("e0")
    for _ in range(6):
        row.clock.jump(1.0)
        row.seen("e0")
    assert row.ask("e1")


def test_an_unknown_instance_gets_its_turn_too():
    assert Row(0).ask("new")


def test_instances_that_are_gone_are_not_counted():
    row = Row(8)
    for _ in range(11):
        row.clock.jump(1.0)
        row.followers.record_request("e0", "dc-1", is_stopping=False)
    assert len(row.followers) == 1
