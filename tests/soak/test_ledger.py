"""Guards against a soak that sees a broken promise and says nothing."""

import time

import pytest

from standins.soak import ledger as ledger_module
from standins.soak.ledger import CONTACT_S, Ledger


class Steady:
    """A steady clock that tests move."""

    def __init__(self):
        self.now_s = 1000.0

    def monotonic(self):
        return self.now_s


@pytest.fixture
def clock(monkeypatch):
    steady = Steady()
    monkeypatch.setattr(ledger_module, "time", steady)
    return steady


def broken(ledger):
    return [line.split(":")[0] for line in ledger.breaches]


def test_a_clean_run_breaks_nothing(clock):
    ledger = Ledger()
    ledger.ran("r1", is_idempotent=False)
    ledger.answered("r1", b"done r1", b"done r1")
    ledger.refuse("r2")
    ledger.acknowledged(3)
    ledger.read(3, 3)
    ledger.recovered(10, 10)
    ledger.opened("t", "dc")
    assert ledger.breaches == []


def test_a_claim_that_runs_twice():
    ledger = Ledger()
    ledger.ran("r1", is_idempotent=False)
    ledger.ran("r1", is_idempotent=False)
    assert broken(ledger) == ["at most once"]


@pytest.mark.parametrize("runs_first", [True, False])
def test_a_refusal_that_is_not_true(runs_first):
    ledger = Ledger()
    steps = [lambda: ledger.ran("r1", is_idempotent=True), lambda: ledger.refuse("r1")]
    for step in steps if runs_first else reversed(steps):
        step()
    assert broken(ledger) == ["true refusal"]


@pytest.mark.parametrize("answer", [b"done r2", b"done", b""])
def test_an_answer_to_another_request_or_one_that_is_cut(answer):
    ledger = Ledger()
    ledger.answered("r1", answer, b"done r1")
    assert broken(ledger) == ["own answer"]


def test_a_reset_of_an_open_flow_in_calm_times(clock):
    ledger = Ledger()
    ledger.reset("r1", target_lives=False)
    assert broken(ledger) == []
    ledger.reset("r1", target_lives=True)
    assert broken(ledger) == ["open flow"]


def test_unplanned_faults_excuse_for_the_contact_time_only(clock):
    ledger = Ledger()
    with ledger.fault("kill"):
        ledger.reset("r1", target_lives=True)
    clock.now_s += CONTACT_S - 0.1
    ledger.reset("r2", target_lives=True)
    assert broken(ledger) == []
    clock.now_s += 0.2
    ledger.reset("r3", target_lives=True)
    assert broken(ledger) == ["open flow"]


@pytest.mark.parametrize(("after_s", "breaks"), [(2.9, []), (3.1, ["drain"])])
def test_a_new_flow_at_a_target_that_leaves(clock, after_s, breaks):
    ledger = Ledger()
    ledger.drained("t")
    clock.now_s += after_s
    ledger.opened("t", "dc")
    assert broken(ledger) == breaks


@pytest.mark.parametrize(("after_s", "breaks"), [(4.9, []), (5.1, ["data centre out"])])
def test_a_new_flow_in_a_data_centre_out_of_service(clock, after_s, breaks):
    ledger = Ledger()
    ledger.emptied("dc")
    clock.now_s += after_s
    ledger.opened("t", "dc")
    assert broken(ledger) == breaks
    ledger.taken_back("dc")
    ledger.opened("t", "dc")
    assert broken(ledger) == breaks


def test_a_read_that_is_older_than_an_acknowledgement():
    ledger = Ledger()
    ledger.read(4, 5)
    assert broken(ledger) == ["newest read"]


def test_a_route_that_is_not_in_force_in_time(clock):
    ledger = Ledger()
    ledger.applied(4, clock.now_s - 2.9, is_served=False)
    assert broken(ledger) == []
    ledger.applied(4, clock.now_s - 3.1, is_served=False)
    assert broken(ledger) == ["in force"]


def test_a_system_that_does_not_recover():
    ledger = Ledger()
    ledger.recovered(8, 10)
    assert broken(ledger) == ["recovery"]


def test_the_clock_of_the_ledger_is_the_steady_one():
    assert ledger_module.time is time
