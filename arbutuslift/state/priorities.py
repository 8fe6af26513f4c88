"""Part of a limit or share that each priority may use."""

from fractions import Fraction
from math import ceil, floor

URGENT = "urgent"

THRESHOLDS = {
    URGENT: Fraction(1),
    "high": Fraction(9, 10),
    "ordinary": Fraction(7, 10),
}

# An upstream that reports all slots busy first loses ordinary flows.
BUSY_FACTORS = {
    URGENT: Fraction(1),
    "high": Fraction(1),
    "ordinary": Fraction(1, 2),
}


def limit_of_priority(limit: int, priority: str, is_busy: bool = False) -> int:
    """Return the use of a limit or share at which a priority gets no more.

    It rounds down, so the last unit of a share is kept for urgent flows.
    """
    return floor(limit * _threshold(priority, is_busy))


def spacing_windows(priority: str, is_busy: bool = False) -> int:
    """Return the number of windows in which at most one unit may be used.

    A share too small for a whole unit admits one flow per this many windows. An
    urgent flow thus finds the share free in every second window at least, while a
    service of ordinary priority still gets flows at instances with a share of 1.
    """
    return ceil(1 / _threshold(priority, is_busy))


def _threshold(priority: str, is_busy: bool) -> Fraction:
    threshold = THRESHOLDS[priority]
    return threshold * BUSY_FACTORS[priority] if is_busy else threshold


MAX_SPACING_WINDOWS = max(spacing_windows(priority, True) for priority in THRESHOLDS)
