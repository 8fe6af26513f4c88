"""Metric families in the text format of Prometheus.

This module is imported only when the first page is requested: the client library takes
longer to import than all modules of an entry process, and most processes never serve a
page.
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
    """Return the page that shows the given families."""
    return generate_latest(
        _CollectedRegistry([_metric_of(family) for family in families])
    )


class _CollectedRegistry:
    """Registry of metrics that are already collected."""

    def __init__(self, metrics: list[Metric]) -> None:
        self._metrics = metrics

    def collect(self) -> list[Metric]:
        return self._metrics


@singledispatch
def _metric_of(family: MetricFamily) -> Metric:
    raise TypeError(f"no text format for {type(family).__name__}")


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
    for value, gauge_value in sorted(family.values.items()):
        metric.add_metric([value], gauge_value)
    return metric


@_metric_of.register
def _(family: Distribution) -> Metric:
    histogram = family.histogram
    names = [*(str(bound) for bound in histogram.bounds), "+Inf"]
    buckets = list(zip(names, accumulate(histogram.counts), strict=True))
    metric = HistogramMetricFamily(family.name, family.help_text)
    metric.add_metric([], buckets, sum_value=histogram.total)
    return metric
