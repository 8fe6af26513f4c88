"""Guards against large steps, and against fractions that follow random differences."""

import pytest

from arbutuslift.coordination.routing.localityfractions import LocalityFractions


def stepped(*targets):
    fractions = LocalityFractions()
    for target in targets:
        fractions.step_towards(target)
    return fractions


def test_all_fractions_together_change_by_a_tenth_at_most():
    target = {"dc-2": 0.3, "dc-3": 0.6}
    assert stepped(target).total == pytest.approx(0.1)
    assert stepped(target, target).total == pytest.approx(0.2)
    assert stepped(*[target] * 20).by_data_centre == pytest.approx(target)
    assert stepped(*[target] * 9, {}).total == pytest.approx(0.8)


def test_a_fraction_below_two_hundredths_is_not_used():
    assert stepped({"dc-2": 0.019}).by_data_centre == {}
    fractions = stepped(*[{"dc-2": 0.13}] * 2, {"dc-2": 0.115}, {})
    assert fractions.by_data_centre == {"dc-2": 0.02}
    fractions.step_towards({})
    assert fractions.by_data_centre == {}


def test_many_small_fractions_do_not_change_all_at_once():
    """Guards against 11 fractions that each reach the least used one in a step."""
    many = {f"dc-{number}": 0.05 for number in range(2, 13)}
    fractions = LocalityFractions()
    for target in [many] * 6 + [{}] * 6:
        before = fractions.total
        fractions.step_towards(target)
        assert 0 < abs(fractions.total - before) <= 0.1 + 1e-9
        assert all(part >= 0.02 for part in fractions.by_data_centre.values())
    assert fractions.total == 0.0


def test_small_reversals_are_not_followed():
    fractions = stepped(*[{"dc-2": 0.3}] * 3, {"dc-2": 0.24})
    assert fractions.total == pytest.approx(0.24)
    fractions.step_towards({"dc-2": 0.28})
    assert fractions.total == pytest.approx(0.24)
    fractions.step_towards({"dc-2": 0.30})
    assert fractions.total == pytest.approx(0.30)


def test_what_is_too_much_for_a_small_data_centre_is_lowered():
    fractions = stepped({"dc-2": 0.04}, {"dc-2": 0.025})
    assert fractions.total == pytest.approx(0.025)
