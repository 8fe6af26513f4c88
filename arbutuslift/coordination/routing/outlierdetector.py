"""Judges upstreams from the callers' half of their flows."""

from attrs import define

from ...clock import Clock

# One lost packet is ordinary; two flows in a row without any answer between them are
# not, on links that lose a few percent.
FAILURES_TO_SUSPECT = 2
FIRST_EXCLUSION_S = 1.0
MAX_EXCLUSION_S = 8.0
# While an upstream is on trial, one new flow in this time may try it.
TRIAL_INTERVAL_S = 0.5
# An upstream that was lost returns after a time that doubles with each loss. One that
# goes up and down by turns would take new flows with it each time.
FIRST_RETURN_S = 0.5
LONGEST_RETURN_S = 16.0
# Losses that long ago don't count.
LOSS_WINDOW_S = 30.0


@define
class _Record:
    """Evidence about one start.

    Attributes:
        failures: Flows without an answer since the last answer of any flow.
        exclusion_s: Length of the next exclusion.
        excluded_until_s: End of the current exclusion; 0 while not suspected.
        trial_s: When a flow last tried it after the exclusion.
    """

    failures: int = 0
    exclusion_s: float = FIRST_EXCLUSION_S
    excluded_until_s: float = 0.0
    trial_s: float = float("-inf")


@define
class _Losses:
    """Recent losses of one start.

    Attributes:
        count: Losses, each within ``LOSS_WINDOW_S`` of the one before.
        lost_s: When it was lost last.
        returns_s: When it may get new flows again.
    """

    count: int = 0
    lost_s: float = float("-inf")
    returns_s: float = 0.0


class OutlierDetector:
    """Excludes upstreams that stop answering, and lets them return slowly.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[tuple[str, int], _Record] = {}
        self._losses: dict[tuple[str, int], _Losses] = {}

    def record_success(self, key: tuple[str, int]) -> bool:
        """Note an answer; return whether it ends a suspicion."""
        record = self._records.pop(key, None)
        return record is not None and record.excluded_until_s > 0.0

    def record_failure(self, key: tuple[str, int]) -> bool:
        """Note a flow without an answer; return whether a suspicion begins."""
        record = self._records.setdefault(key, _Record())
        record.failures += 1
        if record.failures < FAILURES_TO_SUSPECT:
            return False
        now_s = self._clock.monotonic_s()
        if now_s < record.excluded_until_s:
            return False
        begins = record.excluded_until_s == 0.0
        record.excluded_until_s = now_s + record.exclusion_s
        record.exclusion_s = min(2 * record.exclusion_s, MAX_EXCLUSION_S)
        return begins

    def clear_failures(self, key: tuple[str, int]) -> None:
        """Note that an upstream was found alive; its failures count from now on."""
        self._records.pop(key, None)

    def record_loss(self, key: tuple[str, int]) -> None:
        """Note that an upstream can't be reached."""
        losses = self._losses.setdefault(key, _Losses())
        now_s = self._clock.monotonic_s()
        if now_s - losses.lost_s > LOSS_WINDOW_S:
            losses.count = 0
        losses.count += 1
        losses.lost_s = now_s

    def record_recovery(self, key: tuple[str, int]) -> None:
        """Note that an upstream that was lost is reached again."""
        losses = self._losses.setdefault(key, _Losses())
        wait_s = FIRST_RETURN_S * 2 ** max(0, losses.count - 1)
        now_s = self._clock.monotonic_s()
        losses.returns_s = now_s + min(wait_s, LONGEST_RETURN_S)

    def remove(self, key: tuple[str, int]) -> None:
        """Forget a start that is gone."""
        self._records.pop(key, None)
        self._losses.pop(key, None)

    def is_excluded(self, key: tuple[str, int]) -> bool:
        """Return whether an upstream gets no new flows now."""
        losses = self._losses.get(key)
        if losses is not None and self._clock.monotonic_s() < losses.returns_s:
            return True
        record = self._records.get(key)
        if record is None or record.excluded_until_s == 0.0:
            return False
        now_s = self._clock.monotonic_s()
        if now_s < record.excluded_until_s:
            return True
        return now_s - record.trial_s < TRIAL_INTERVAL_S

    def record_selection(self, key: tuple[str, int]) -> None:
        """Note that a new flow goes to an upstream."""
        record = self._records.get(key)
        if record is not None:
            record.trial_s = self._clock.monotonic_s()
