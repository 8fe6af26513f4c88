"""Guards against waits and utilisations that contradict each other."""

import pytest

from arbutuslift.state.queuemodel import QueueModel


def test_one_slot_waits_as_in_the_exact_queue():
    model = QueueModel(1)
    for utilisation in (0.2, 0.5, 0.9):
        exact = utilisation / (1 - utilisation)
        assert model.wait_at(utilisation) == pytest.approx(exact, rel=0.01)


@pytest.mark.parametrize("slots", [1, 2, 8])
def test_utilisation_is_found_from_waits_and_from_outstanding_requests(slots):
    model = QueueModel(slots)
    for utilisation in (0.1, 0.5, 0.8, 0.95):
        wait = model.wait_at(utilisation)
        outstanding = utilisation * (1 + wait)
        assert model.utilisation_at_wait(wait) == pytest.approx(utilisation, abs=0.01)
        assert model.utilisation_of(outstanding) == pytest.approx(utilisation, abs=0.01)


def test_figures_beyond_the_model_have_bounds():
    model = QueueModel(2)
    assert model.wait_at(-1.0) == 0.0
    assert model.wait_at(5.0) == model.wait_at(1.0)
    assert model.utilisation_of(1e9) < 1.0
