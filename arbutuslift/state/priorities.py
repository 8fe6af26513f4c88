"""Portion of a limit or share that each priority may use."""

URGENT = "urgent"

THRESHOLD_PERCENT = {URGENT: 100, "high": 90, "ordinary": 70}

# Ordinary flows are the first to be shed if an upstream reports all slots busy.
BUSY_THRESHOLD_PERCENT = THRESHOLD_PERCENT | {"ordinary": 35}


def limit_of_priority(limit: int, priority: str, is_busy: bool = False) -> int:
    """Return the number of units of a limit or share that a priority may use.

    The number is rounded down, so that the last unit of a share is reserved for urgent
    flows.
    """
    return limit * _percent(priority, is_busy) // 100


def spacing_windows(priority: str, is_busy: bool = False) -> int:
    """Return the number of windows in which a priority may use only one unit.

    It applies if the priority's part of a share is less than one unit. Urgent flows
    thus find the share unused in at least every second window, while a service of
    ordinary priority still gets flows at instances with a share of 1.
    """
    return -(-100 // _percent(priority, is_busy))


def _percent(priority: str, is_busy: bool) -> int:
    percents = BUSY_THRESHOLD_PERCENT if is_busy else THRESHOLD_PERCENT
    return percents[priority]


MAX_SPACING_WINDOWS = max(spacing_windows(name, True) for name in THRESHOLD_PERCENT)
