"""Numbers that random arrivals reach by chance, and what is evidence of more load.

One instance sees a small part of the load, so that its numbers scatter widely about
their mean. With arrivals that are independent of each other, what is outstanding has a
Poisson distribution, whatever the distribution of the response times.
"""

import math
from functools import lru_cache

# Load, as a part of the capacity, whose random clusters aren't a shortage. Less than
# 1% of its flows may wait; half of that is used, since the figures have errors.
ORDINARY_LOAD = 0.7
WAIT_PROBABILITY = 0.005
# A queue of an upstream may be full in this part of the time. With less, slots would be
# idle while others queue; with more, upstreams reject whatever the priority is.
FULL_PROBABILITY = 0.05
# A number that this load reaches in one of a million cases is evidence of more load.
EVIDENCE_PROBABILITY = 1e-6
# Above this mean, the normal distribution is close to the Poisson distribution.
_MAX_EXACT_MEAN = 100.0
# Quantiles of the normal distribution, in standard deviations.
_DEVIATIONS = {
    WAIT_PROBABILITY: 2.58,
    FULL_PROBABILITY: 1.65,
    EVIDENCE_PROBABILITY: 4.76,
}
# Precision of a mean that is found by bisection.
_MEAN_PRECISION = 0.01


def ordinary_limit(capacity: float) -> float:
    """Return the outstanding requests up to which a new flow doesn't wait."""
    return max(capacity, _rare_number(_mean(capacity), WAIT_PROBABILITY))


def evident_limit(capacity: float, samples: float = 1.0) -> float:
    """Return the mean of outstanding requests that is evidence of a shortage.

    Args:
        capacity: Outstanding requests at full load.
        samples: Number of independent samples of which it is the mean.
    """
    rare = _rare_number(_mean(capacity * samples), EVIDENCE_PROBABILITY)
    return max(capacity, rare / samples)


@lru_cache(maxsize=256)
def mean_below(number: int) -> float:
    """Return the highest mean at which a number is seldom exceeded."""
    low, high = 0.0, float(number)
    while high - low > _MEAN_PRECISION:
        mean = (low + high) / 2
        is_rare = _rare_number(round(mean, 3), FULL_PROBABILITY) <= number + 1
        low, high = (mean, high) if is_rare else (low, mean)
    return low


def _mean(capacity: float) -> float:
    """Return the mean at ordinary load, rounded so that results can be cached."""
    return round(ORDINARY_LOAD * capacity, 2)


@lru_cache(maxsize=4096)
def _rare_number(mean: float, probability: float) -> int:
    """Return the least number that is reached no more often than a probability."""
    if mean > _MAX_EXACT_MEAN:
        return math.ceil(mean + _DEVIATIONS[probability] * math.sqrt(mean))
    term = math.exp(-mean)
    below, number = term, 1
    while 1.0 - below > probability:
        term *= mean / number
        below += term
        number += 1
    return number
