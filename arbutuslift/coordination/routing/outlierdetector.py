"""Passive health checks of upstreams, from the callers' half of their flows."""

from attrs import define

from ...clock import Clock

# On links that lose a few percent of packets, one flow without an answer is ordinary.
# Two such flows in a row, with no answer in between, are not.
FAILURES_UNTIL_EXCLUSION = 2
INITIAL_EXCLUSION_S = 1.0
MAX_EXCLUSION_S = 8.0
# After an exclusion, until the upstream answers, one new flow in this time may go to it
# (the half-open state of a circuit breaker).
HALF_OPEN_INTERVAL_S = 0.5
# After a loss, a reachable upstream gets new flows only after a delay that doubles with
# each loss. An upstream that flaps would otherwise break new flows each time.
INITIAL_RECOVERY_DELAY_S = 0.5
MAX_RECOVERY_DELAY_S = 16.0
# A loss longer ago than this no longer adds to the count.
LOSS_WINDOW_S = 30.0


@define
class _Failures:
    """Recent failures of one start.

    Attributes:
        count: Flows without an answer since the last answer of any flow.
        exclusion_s: Length of the next exclusion.
        excluded_until_s: End of the last exclusion; 0 before the first.
        last_selected_s: When a new flow last went to it.
    """

    count: int = 0
    exclusion_s: float = INITIAL_EXCLUSION_S
    excluded_until_s: float = 0.0
    last_selected_s: float = float("-inf")


@define
class _Losses:
    """Recent losses of one start.

    Attributes:
        count: Losses, each within ``LOSS_WINDOW_S`` of the one before.
        last_loss_s: Time of the last loss.
        excluded_until_s: When it may get new flows again.
    """

    count: int = 0
    last_loss_s: float = float("-inf")
    excluded_until_s: float = 0.0


class OutlierDetector:
    """Excludes upstreams that stop answering from new flows, for growing times.

    An exclusion grows with each failure in a row, the delay after a loss with each
    recent loss.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._failures: dict[tuple[str, int], _Failures] = {}
        self._losses: dict[tuple[str, int], _Losses] = {}

    def record_success(self, key: tuple[str, int]) -> bool:
        """Record an answered flow; return whether this ends a suspicion."""
        failures = self._failures.pop(key, None)
        return failures is not None and failures.excluded_until_s > 0.0

    def record_failure(self, key: tuple[str, int]) -> bool:
        """Record an unanswered flow; return whether this begins a suspicion."""
        failures = self._failures.setdefault(key, _Failures())
        failures.count += 1
        if failures.count < FAILURES_UNTIL_EXCLUSION:
            return False
        now_s = self._clock.monotonic_s()
        if now_s < failures.excluded_until_s:
            return False
        begins = failures.excluded_until_s == 0.0
        failures.excluded_until_s = now_s + failures.exclusion_s
        failures.exclusion_s = min(2 * failures.exclusion_s, MAX_EXCLUSION_S)
        return begins

    def clear_failures(self, key: tuple[str, int]) -> None:
        """Drop the failures of an upstream that a health check has reached."""
        self._failures.pop(key, None)

    def record_loss(self, key: tuple[str, int]) -> None:
        """Record that an upstream became unreachable."""
        losses = self._losses.setdefault(key, _Losses())
        now_s = self._clock.monotonic_s()
        if now_s - losses.last_loss_s > LOSS_WINDOW_S:
            losses.count = 0
        losses.count += 1
        losses.last_loss_s = now_s

    def record_recovery(self, key: tuple[str, int]) -> None:
        """Record that a lost upstream is reachable again."""
        losses = self._losses.setdefault(key, _Losses())
        wait_s = INITIAL_RECOVERY_DELAY_S * 2 ** max(0, losses.count - 1)
        now_s = self._clock.monotonic_s()
        losses.excluded_until_s = now_s + min(wait_s, MAX_RECOVERY_DELAY_S)

    def remove(self, key: tuple[str, int]) -> None:
        """Remove the state of a start that is gone."""
        self._failures.pop(key, None)
        self._losses.pop(key, None)

    def is_excluded(self, key: tuple[str, int]) -> bool:
        """Return whether an upstream is excluded from new flows now."""
        losses = self._losses.get(key)
        if losses is not None and self._clock.monotonic_s() < losses.excluded_until_s:
            return True
        failures = self._failures.get(key)
        if failures is None or failures.excluded_until_s == 0.0:
            return False
        now_s = self._clock.monotonic_s()
        if now_s < failures.excluded_until_s:
            return True
        return now_s - failures.last_selected_s < HALF_OPEN_INTERVAL_S

    def record_selection(self, key: tuple[str, int]) -> None:
        """Record that an upstream was selected for a new flow."""
        failures = self._failures.get(key)
        if failures is not None:
            failures.last_selected_s = self._clock.monotonic_s()
