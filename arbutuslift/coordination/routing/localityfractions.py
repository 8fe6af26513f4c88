"""Fractions of the new flows of one service that go to other data centres."""

from collections.abc import Mapping

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

    def in_use(self) -> dict[str, float]:
        """Return the fractions that are large enough to be used."""
        return {
            name: fraction
            for name, fraction in sorted(self.by_data_centre.items())
            if fraction >= MIN_FRACTION
        }

    def step_towards(self, target: Mapping[str, float]) -> None:
        """Change the fractions by at most ``MAX_STEP`` in all towards a target."""
        target = {k: v for k, v in target.items() if v >= MIN_FRACTION}
        names = sorted({*target, *self.by_data_centre})
        changes = {
            name: target.get(name, 0.0) - self.by_data_centre.get(name, 0.0)
            for name in names
        }
        if self._is_small(changes) and not self._exceeds(target):
            return
        rise = sum(change for change in changes.values() if change > 0)
        fall = -sum(change for change in changes.values() if change < 0)
        if not rise and not fall:
            return
        self._is_rising = rise > fall
        scale = min(1.0, MAX_STEP / max(rise, fall))
        moved = {
            name: self.by_data_centre.get(name, 0.0) + scale * change
            for name, change in changes.items()
        }
        self.by_data_centre = {
            name: fraction
            for name, fraction in moved.items()
            if name in target or fraction >= MIN_FRACTION
        }

    def replace(self, fractions: Mapping[str, float]) -> None:
        """Set the fractions to what already happens."""
        self.by_data_centre = dict(fractions)
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
