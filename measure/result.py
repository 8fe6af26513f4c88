"""One measured figure."""

from attrs import frozen


@frozen(kw_only=True)
class Measure:
    """A figure with its target.

    Attributes:
        name: What was measured.
        figure: The value.
        unit: Unit of the value.
        target: Value that it is held against, or None.
        passes: Whether it meets the target, or None without one.
        note: Conditions of the run.
    """

    name: str
    figure: float
    unit: str
    target: float | None = None
    passes: bool | None = None
    note: str = ""
