"""Named figures of a process, as its metrics page shows them."""

from collections.abc import Mapping

from attrs import frozen

from .histograms import Histogram


@frozen(kw_only=True)
class Family:
    """Figures of one name.

    Attributes:
        name: Name without unit suffixes that the format adds.
        meaning: One line on what is counted or measured.
    """

    name: str
    meaning: str


@frozen(kw_only=True)
class Counts(Family):
    """Counters by the value of one label.

    Attributes:
        label: Name of the label.
        values: Counts; they never fall.
    """

    label: str
    values: Mapping[str, int]


@frozen(kw_only=True)
class Gauge(Family):
    """One value that rises and falls.

    Attributes:
        value: The value.
    """

    value: float


@frozen(kw_only=True)
class Gauges(Family):
    """Values by the value of one label.

    Attributes:
        label: Name of the label.
        values: The values.
    """

    label: str
    values: Mapping[str, float]


@frozen(kw_only=True)
class Distribution(Family):
    """A histogram.

    Attributes:
        histogram: Its observations; the page shows those of the moment.
    """

    histogram: Histogram
