"""Metric families of a process, as its metrics page shows them."""

from collections.abc import Mapping

from attrs import frozen

from .histograms import Histogram


@frozen(kw_only=True)
class MetricFamily:
    """Metrics of one name.

    Attributes:
        name: Name without the suffixes that the text format adds.
        help_text: One line on what is counted or measured.
    """

    name: str
    help_text: str


@frozen(kw_only=True)
class Counts(MetricFamily):
    """Counters by the value of one label.

    Attributes:
        label: Name of the label.
        values: Counts by value of the label; they never decrease.
    """

    label: str
    values: Mapping[str, int]


@frozen(kw_only=True)
class Gauge(MetricFamily):
    """A value that can increase and decrease.

    Attributes:
        value: The current value.
    """

    value: float


@frozen(kw_only=True)
class Gauges(MetricFamily):
    """Gauges by the value of one label.

    Attributes:
        label: Name of the label.
        values: The current values by value of the label.
    """

    label: str
    values: Mapping[str, float]


@frozen(kw_only=True)
class Distribution(MetricFamily):
    """A histogram.

    Attributes:
        histogram: The histogram; it is read when the page is rendered.
    """

    histogram: Histogram
