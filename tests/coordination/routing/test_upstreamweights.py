"""Guards against slow upstreams that keep their share, and weights that overshoot."""

import pytest

from arbutuslift.coordination.routing.upstreamweights import (
    MIN_WEIGHT,
    STEP,
    UpstreamWeights,
)

from ...builders import start, upstream_load

SLOW = start(1).key


def answers(number, response_ms, answered=12, **changes):
    return upstream_load(
        number, answered=answered, response_sum_ms=answered * response_ms, **changes
    )


class Weights(UpstreamWeights):
    """Weights of five upstreams of one service, all but the first one fast."""

    def __init__(self):
        super().__init__(lambda key: "alerts")

    def run(self, *slow, seconds=1):
        """Return the weight of the first upstream after each second."""
        weights = []
        for _ in range(seconds):
            self.update([*slow, *(answers(n, 50) for n in range(2, 6))])
            weights.append(self.weight(SLOW))
        return weights


@pytest.mark.parametrize("factor", [5, 9])
def test_an_upstream_slow_by_a_factor_loses_weight_in_steps(factor):
    weights = Weights().run(answers(1, 50 * factor), seconds=15)
    steps = [b / a for a, b in zip([1.0, *weights], weights, strict=False)]
    assert min(steps) >= 1 / STEP - 1e-9
    assert weights[-1] == pytest.approx(max(MIN_WEIGHT, 1 / factor), rel=0.01)


def test_an_upstream_that_recovers_gets_its_weight_back_in_steps():
    weights = Weights()
    weights.run(answers(1, 400), seconds=15)
    risen = weights.run(answers(1, 50, answered=2), seconds=20)
    steps = [b / a for a, b in zip(risen, risen[1:], strict=False)]
    assert max(steps) <= STEP + 1e-9
    assert risen[-1] == 1.0
    assert weights.slow_count == 0


@pytest.mark.parametrize("response_ms", [25, 50, 149])
def test_ordinary_variation_changes_no_weight(response_ms):
    assert Weights().run(answers(1, response_ms), seconds=5) == [1.0] * 5


def test_a_few_long_requests_change_no_weight():
    """Guards against an upstream that is judged by one or two answers."""
    assert Weights().run(answers(1, 400, answered=1), seconds=5) == [1.0] * 5


def test_failures_of_two_instances_without_an_answer_count_at_once():
    assert Weights().run(answers(1, 0, answered=0, failures=2)) == [MIN_WEIGHT]


@pytest.mark.parametrize(("answered", "failing"), [(0, 1), (1, 2), (10, 5)])
def test_failures_on_one_path_or_beside_answers_change_no_weight(answered, failing):
    """Guards against lossy links, on which a few percent of flows get no answer."""
    load = answers(1, 50, answered=answered, failures=failing)
    assert Weights().run(load) == [1.0]


def test_a_weight_without_fresh_figures_returns_in_steps():
    weights = Weights()
    weights.run(answers(1, 0, answered=0, failures=2))
    returned = [MIN_WEIGHT]
    for _ in range(10):
        weights.update(())
        returned.append(weights.weight(SLOW))
    steps = [b / a for a, b in zip(returned, returned[1:], strict=False)]
    assert max(steps) <= STEP + 1e-9
    assert returned[-1] == 1.0
