"""Result of a measurement."""

from attrs import frozen


@frozen(kw_only=True)
class Measure:
    """One figure.

    Attributes:
        name: What was measured.
        figure: The number.
        unit: Its unit.
        target: The bound that the figure is held against, or None.
        passes: Whether it meets the target, or None without a target.
        note: Conditions of the measurement.
    """

    name: str
    figure: float
    unit: str
    target: float | None = None
    passes: bool | None = None
    note: str = ""
