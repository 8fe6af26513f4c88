"""Guards against a soak that observes a broken promise without reporting it."""

import time

import pytest

from standins.soak import ledger as ledger_module
from standins.soak.ledger import CONTACT_S, Ledger


class ManualMonotonicClock:
    """A monotonic clock that tests advance by hand."""

    def __init__(self):
        self.now_s = 1000.0

    def monotonic(self):
        return self.now_s


@pytest.fixture
def clock(monkeypatch):
    manual_clock = ManualMonotonicClock()
    monkeypatch.setattr(ledger_module, "time", manual_clock)
    return manual_clock


def broken_promises(ledger):
    return [line.split(":")[0] for line in ledger.breaches]


def test_run_without_breach_reports_nothing(clock):
    ledger = Ledger()
    ledger.record_run("r1", is_idempotent=False)
    ledger.record_answer("r1", b"done r1", b"done r1")
    ledger.record_refusal("r2")
    ledger.record_acknowledgement(3)
    ledger.record_read(3, 3)
    ledger.record_recovery(10, 10)
    ledger.record_new_flow("t", "dc")
    assert ledger.breaches == []


@pytest.mark.parametrize("status", [200, 307, 500, 503])
def test_odd_input_that_is_not_refused_is_reported(status):
    ledger = Ledger()
    ledger.record_odd_answer("/Config.Put", 0)
    ledger.record_odd_answer("/Config.Put", 400)
    assert ledger.breaches == []
    ledger.record_odd_answer("/Config.Put", status)
    assert broken_promises(ledger) == ["odd input"]


def test_request_that_is_not_idempotent_and_runs_twice_is_reported():
    ledger = Ledger()
    ledger.record_run("r1", is_idempotent=False)
    ledger.record_run("r1", is_idempotent=False)
    assert broken_promises(ledger) == ["at most once"]


@pytest.mark.parametrize("runs_first", [True, False])
def test_refused_request_that_runs_is_reported(runs_first):
    ledger = Ledger()
    steps = [
        lambda: ledger.record_run("r1", is_idempotent=True),
        lambda: ledger.record_refusal("r1"),
    ]
    for step in steps if runs_first else reversed(steps):
        step()
    assert broken_promises(ledger) == ["true refusal"]


@pytest.mark.parametrize("answer", [b"done r2", b"done", b""])
def test_answer_to_another_request_or_truncated_answer_is_reported(answer):
    ledger = Ledger()
    ledger.record_answer("r1", answer, b"done r1")
    assert broken_promises(ledger) == ["own answer"]


def test_reset_of_open_flow_without_faults_is_reported(clock):
    ledger = Ledger()
    ledger.record_reset("r1", is_target_alive=False)
    assert broken_promises(ledger) == []
    ledger.record_reset("r1", is_target_alive=True)
    assert broken_promises(ledger) == ["open flow"]


def test_reset_is_excused_until_contact_time_after_fault(clock):
    ledger = Ledger()
    with ledger.fault("kill"):
        ledger.record_reset("r1", is_target_alive=True)
    clock.now_s += CONTACT_S - 0.1
    ledger.record_reset("r2", is_target_alive=True)
    assert broken_promises(ledger) == []
    clock.now_s += 0.2
    ledger.record_reset("r3", is_target_alive=True)
    assert broken_promises(ledger) == ["open flow"]


@pytest.mark.parametrize(("after_s", "breaks"), [(2.9, []), (3.1, ["drain"])])
def test_new_flow_at_draining_target_is_reported_after_drain_time(
    clock, after_s, breaks
):
    ledger = Ledger()
    ledger.record_drain("t")
    clock.now_s += after_s
    ledger.record_new_flow("t", "dc")
    assert broken_promises(ledger) == breaks


@pytest.mark.parametrize(("after_s", "breaks"), [(4.9, []), (5.1, ["data centre out"])])
def test_new_flow_in_data_centre_out_of_service_is_reported(clock, after_s, breaks):
    ledger = Ledger()
    ledger.record_evacuation("dc")
    clock.now_s += after_s
    ledger.record_new_flow("t", "dc")
    assert broken_promises(ledger) == breaks
    ledger.record_evacuation_end("dc")
    ledger.record_new_flow("t", "dc")
    assert broken_promises(ledger) == breaks


def test_read_older_than_acknowledged_version_is_reported():
    ledger = Ledger()
    ledger.record_read(4, 5)
    assert broken_promises(ledger) == ["newest read"]


def test_route_that_is_not_served_in_time_is_reported(clock):
    ledger = Ledger()
    ledger.record_route_check(4, clock.now_s - 2.9, is_served=False)
    assert broken_promises(ledger) == []
    ledger.record_route_check(4, clock.now_s - 3.1, is_served=False)
    assert broken_promises(ledger) == ["in force"]


def test_a_program_that_ends_by_itself_is_reported():
    ledger = Ledger()
    ledger.record_own_end("control-1")
    assert broken_promises(ledger) == ["own end"]


def test_incomplete_recovery_is_reported():
    ledger = Ledger()
    ledger.record_recovery(8, 10)
    assert broken_promises(ledger) == ["recovery"]


def test_ledger_uses_monotonic_clock():
    assert ledger_module.time is time
