"""Figures in the text format of Prometheus.

Loaded with the first page only: the client library takes longer to load than all of an
entry process's own modules, and most processes are never asked.
"""

from collections.abc import Iterable
from functools import singledispatch
from itertools import accumulate

from prometheus_client.exposition import generate_latest
from prometheus_client.metrics_core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)

from .metricfamilies import Counts, Distribution, Gauge, Gauges, MetricFamily


def render_metrics(families: Iterable[MetricFamily]) -> bytes:
    """Return the text of all families."""
    return generate_latest(_Collected([_metric_of(family) for family in families]))


class _Collected:
    """Stands for a registry: metrics that were collected before."""

    def __init__(self, metrics: list[Metric]) -> None:
        self._metrics = metrics

    def collect(self) -> list[Metric]:
        return self._metrics


@singledispatch
def _metric_of(family: MetricFamily) -> Metric:
    raise TypeError(f"no text for {type(family).__name__}")


@_metric_of.register
def _(family: Counts) -> Metric:
    metric = CounterMetricFamily(family.name, family.help_text, labels=[family.label])
    for value, count in sorted(family.values.items()):
        metric.add_metric([value], count)
    return metric


@_metric_of.register
def _(family: Gauge) -> Metric:
    return GaugeMetricFamily(family.name, family.help_text, value=family.value)


@_metric_of.register
def _(family: Gauges) -> Metric:
    metric = GaugeMetricFamily(family.name, family.help_text, labels=[family.label])
    for value, figure in sorted(family.values.items()):
        metric.add_metric([value], figure)
    return metric


@_metric_of.register
def _(family: Distribution) -> Metric:
    histogram = family.histogram
    names = [*(str(bound) for bound in histogram.bounds), "+Inf"]
    buckets = list(zip(names, accumulate(histogram.counts), strict=True))
    metric = HistogramMetricFamily(family.name, family.help_text)
    metric.add_metric([], buckets, sum_value=histogram.total)
    return metric
