"""Result of one measurement."""

from attrs import frozen


@frozen(kw_only=True)
class Measure:
    """One measured figure.

    Attributes:
        name: What was measured.
        figure: The figure.
        unit: Its unit.
        target: The bound it must keep; None if there is none.
        passes: Whether it keeps it; None without a target.
        note: Conditions of the measurement.
    """

    name: str
    figure: float
    unit: str
    target: float | None = None
    passes: bool | None = None
    note: str = ""
