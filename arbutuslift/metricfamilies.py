"""Named figures of a process, as its metrics page shows them."""

from collections.abc import Mapping

from attrs import frozen

from .histograms import Histogram


@frozen(kw_only=True)
class MetricFamily:
    """Figures of one name.

    Attributes:
        name: Name without unit suffixes that the format adds.
        help_text: One line on what is counted or measured.
    """

    name: str
    help_text: str


@frozen(kw_only=True)
class Counts(MetricFamily):
    """Counters by the value of one label.

    Attributes:
        label: Name of the label.
        values: Counts; they never fall.
    """

    label: str
    values: Mapping[str, int]


@frozen(kw_only=True)
class Gauge(MetricFamily):
    """One value that rises and falls.

    Attributes:
        value: The value.
    """

    value: float


@frozen(kw_only=True)
class Gauges(MetricFamily):
    """Values by the value of one label.

    Attributes:
        label: Name of the label.
        values: The values.
    """

    label: str
    values: Mapping[str, float]


@frozen(kw_only=True)
class Distribution(MetricFamily):
    """A histogram.

    Attributes:
        histogram: Its observations; the page shows those of the moment.
    """

    histogram: Histogram
