"""Result of one measurement."""

from attrs import frozen


@frozen(kw_only=True)
class Measure:
    """One figure.

    Attributes:
        name: What was measured.
        figure: The figure.
        unit: Its unit.
        target: Figure that must not be exceeded, if there is one.
        passes: Whether the target is met, if there is one.
        note: How it was measured, or why it wasn't.
    """

    name: str
    figure: float
    unit: str
    target: float | None = None
    passes: bool | None = None
    note: str = ""
