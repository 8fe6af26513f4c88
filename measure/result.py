"""Result of a measurement."""

from attrs import frozen


@frozen(kw_only=True)
class Measure:
    """One figure.

    Attributes:
        name: What was measured.
        figure: The figure.
        unit: Its unit.
        target: What it's compared with; None for nothing.
        passes: Whether it meets the target; None without one.
        note: How it was measured.
    """

    name: str
    figure: float
    unit: str
    target: float | None
    passes: bool | None
    note: str
