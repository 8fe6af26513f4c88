"""Fractions of the new flows of one service that go to other data centres."""

from collections.abc import Iterable, Mapping

from attrs import define, field

# A larger step would act on rows that don't show the effect of the last one yet.
MAX_STEP = 0.1
# A smaller fraction moves less than the differences between two reports.
MIN_FRACTION = 0.02
# A change against the direction of the last one is followed only beyond this. Smaller
# ones follow the random differences between two reports.
REVERSAL_BAND = 0.05
# A fraction that exceeds its target by this factor is lowered however small it is,
# since it may be most of what a small data centre has room for.
MAX_EXCESS_FACTOR = 1.1
# A sum of steps differs from its target by rounding.
ROUNDING = 1e-9


@define
class LocalityFractions:
    """Follows targets in bounded steps.

    Attributes:
        by_data_centre: Fraction for each other data centre; their sum is 1 at most.
    """

    by_data_centre: dict[str, float] = field(factory=dict)
    _is_rising: bool = True

    @property
    def total(self) -> float:
        """Return the fraction that goes to all other data centres."""
        return sum(self.by_data_centre.values())

    def step_towards(self, target: Mapping[str, float]) -> None:
        """Change the fractions towards a target.

        All rises together are at most ``MAX_STEP``, and so are all falls. The largest
        changes are made first, since parts of a step below ``MIN_FRACTION`` can't be
        used.
        """
        target = {k: v for k, v in target.items() if v >= MIN_FRACTION}
        changes = {
            name: target.get(name, 0.0) - self.by_data_centre.get(name, 0.0)
            for name in sorted({*target, *self.by_data_centre})
        }
        if self._is_small(changes) and not self._exceeds(target):
            return
        before = self.total
        rise, fall = MAX_STEP, MAX_STEP
        for name in sorted(changes, key=lambda name: -abs(changes[name])):
            change = max(-fall, min(rise, changes[name]))
            self._set(name, change, target.get(name, 0.0))
            rise -= max(0.0, change)
            fall -= max(0.0, -change)
        if self.total != before:
            self._is_rising = self.total > before

    def _set(self, name: str, change: float, target: float) -> None:
        """Change one fraction; it stays 0 or at least ``MIN_FRACTION``."""
        current = self.by_data_centre.get(name, 0.0)
        fraction = current + change
        if abs(fraction - target) < ROUNDING:
            fraction = target
        if 0 < fraction < MIN_FRACTION:
            fraction = min(current, MIN_FRACTION)
        self.by_data_centre[name] = fraction
        if not fraction:
            del self.by_data_centre[name]

    def remove(self, data_centres: Iterable[str]) -> None:
        """Set the fractions of data centres that get no new flows to 0 at once."""
        for name in data_centres:
            self.by_data_centre.pop(name, None)

    def replace(self, fractions: Mapping[str, float]) -> None:
        """Set the fractions to what already happens."""
        self.by_data_centre = {k: v for k, v in fractions.items() if v >= MIN_FRACTION}
        self._is_rising = True

    def _exceeds(self, target: Mapping[str, float]) -> bool:
        """Return whether a fraction is too high for its target."""
        return any(
            fraction > MAX_EXCESS_FACTOR * target.get(name, 0.0)
            for name, fraction in self.by_data_centre.items()
        )

    def _is_small(self, changes: Mapping[str, float]) -> bool:
        """Return whether the changes are within the differences between reports."""
        total = sum(changes.values())
        is_reversal = total != 0 and (total > 0) != self._is_rising
        band = REVERSAL_BAND if is_reversal else MIN_FRACTION
        return all(abs(change) < band for change in changes.values())
