"""Part of a limit or share that each priority may use."""

URGENT = "urgent"

THRESHOLD_PERCENT = {URGENT: 100, "high": 90, "ordinary": 70}

# An upstream that reports all slots busy first loses ordinary flows.
BUSY_THRESHOLD_PERCENT = THRESHOLD_PERCENT | {"ordinary": 35}


def limit_of_priority(limit: int, priority: str, is_busy: bool = False) -> int:
    """Return the use of a limit or share at which a priority gets no more.

    It rounds down, so the last unit of a share is kept for urgent flows.
    """
    return limit * _percent(priority, is_busy) // 100


def spacing_windows(priority: str, is_busy: bool = False) -> int:
    """Return the number of windows in which at most one unit may be used.

    A share too small for a whole unit admits one flow per this many windows. An
    urgent flow thus finds the share free in every second window at least, while a
    service of ordinary priority still gets flows at instances with a share of 1.
    """
    return -(-100 // _percent(priority, is_busy))


def _percent(priority: str, is_busy: bool) -> int:
    percents = BUSY_THRESHOLD_PERCENT if is_busy else THRESHOLD_PERCENT
    return percents[priority]


MAX_SPACING_WINDOWS = max(spacing_windows(name, True) for name in THRESHOLD_PERCENT)
