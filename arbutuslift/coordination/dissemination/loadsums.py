"""Sums of the reported load, by start of an upstream."""

from collections.abc import Iterator

from attrs import define

from ...state.loadfigures import UpstreamLoad
from ...state.starts import StartKey


@define
class _Sum:
    """Sum of the rows for one start; see ``UpstreamLoad``.

    Attributes:
        rows: Number of reports that have a row for it.
        failing: Number of these with failures.
    """

    rows: int = 0
    open_flows: int = 0
    outstanding: float = 0.0
    answered: int = 0
    response_sum_ms: int = 0
    failing: int = 0

    def add(self, load: UpstreamLoad, sign: int) -> None:
        """Add a row, or subtract it if the sign is -1."""
        self.rows += sign
        self.open_flows += sign * load.open_flows
        self.outstanding += sign * load.outstanding
        self.answered += sign * load.answered
        self.response_sum_ms += sign * load.response_sum_ms
        self.failing += sign * (load.failures > 0)


class UpstreamSums:
    """Sums of the newest reports of some instances, iterable by key.

    They are updated with each report. Adding up all reports for each answer would take
    time in proportion to the square of the number of instances.
    """

    def __init__(self) -> None:
        self._sums: dict[StartKey, _Sum] = {}

    def add(self, loads: tuple[UpstreamLoad, ...]) -> None:
        """Add the rows of a report."""
        for load in loads:
            self._sums.setdefault(load.key, _Sum()).add(load, 1)

    def subtract(self, loads: tuple[UpstreamLoad, ...]) -> None:
        """Subtract the rows of a report that were added before."""
        for load in loads:
            total = self._sums[load.key]
            total.add(load, -1)
            if not total.rows:
                # Rounding errors of the mean values end with the last row.
                del self._sums[load.key]

    def __iter__(self) -> Iterator[StartKey]:
        return iter(self._sums)

    def outstanding(self, key: StartKey) -> float:
        """Return the mean number of outstanding requests at a start."""
        return self._sums[key].outstanding

    def load(self, key: StartKey) -> UpstreamLoad:
        """Return the sum for a start.

        Its ``failures`` are the number of instances that report some, so that 2 means
        that more than one path to the upstream fails.
        """
        total = self._sums[key]
        return UpstreamLoad(
            upstream_id=key[0],
            born_ms=key[1],
            open_flows=total.open_flows,
            outstanding=max(0.0, total.outstanding),
            answered=total.answered,
            response_sum_ms=total.response_sum_ms,
            failures=total.failing,
        )
