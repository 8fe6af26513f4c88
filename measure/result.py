"""Figures that a measurement returns."""

from attrs import frozen


@frozen(kw_only=True)
class Measure:
    """One figure.

    Attributes:
        name: What was measured, with its size.
        figure: The value.
        unit: Unit of the value and the target.
        target: The stated target, if there is one.
        passes: Whether the target is met; None without a target.
        note: Conditions under which the figure was measured.
    """

    name: str
    figure: float
    unit: str
    target: float | None = None
    passes: bool | None = None
    note: str = ""


def at_most(
    name: str, figure: float, unit: str, target: float, note: str = ""
) -> Measure:
    """Return a measure whose figure must not exceed the target."""
    return Measure(
        name=name,
        figure=figure,
        unit=unit,
        target=target,
        passes=figure <= target,
        note=note,
    )


def slope(points: list[tuple[float, float]]) -> float:
    """Return the least-squares slope of (size, figure) points."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return covariance / sum((x - mean_x) ** 2 for x, _ in points)
