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
    assert stepped(target, target).in_use() == pytest.approx(
        {"dc-2": 0.2 / 3, "dc-3": 0.4 / 3}
    )
    assert stepped(*[target] * 20).in_use() == pytest.approx(target)
    assert stepped(*[target] * 9, {}).total == pytest.approx(0.8)


def test_a_fraction_below_two_hundredths_is_not_used():
    assert stepped({"dc-2": 0.019}).in_use() == {}
    many = {f"dc-{number}": 0.09 for number in range(2, 12)}
    fractions = stepped(many)
    assert fractions.in_use() == {}
    fractions.step_towards(many)
    assert len(fractions.in_use()) == 10


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
