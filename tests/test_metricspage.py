"""Guards against a metrics page that monitoring can't parse."""

import subprocess
import sys

import pytest
from prometheus_client.parser import text_string_to_metric_families

from arbutuslift.histograms import Histogram
from arbutuslift.metricfamilies import Counts, Distribution, Gauge, Gauges, MetricFamily
from arbutuslift.metricspage import render_metrics


def samples_of(*families):
    text = render_metrics(families).decode()
    return {
        (sample.name, *sample.labels.values()): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


def test_counters_carry_their_label():
    counts = Counts(
        name="arbutuslift_packets",
        help_text="Packets by verdict.",
        label="verdict",
        values={"forwarded": 7, 'odd "name"\n': 1},
    )
    assert samples_of(counts) == {
        ("arbutuslift_packets_total", "forwarded"): 7.0,
        ("arbutuslift_packets_total", 'odd "name"\n'): 1.0,
    }


def test_gauges_with_and_without_label():
    single = Gauge(name="arbutuslift_flows", help_text="Flows.", value=3.0)
    labelled = Gauges(
        name="arbutuslift_upstreams",
        help_text="Upstreams by state.",
        label="state",
        values={"ready": 2, "draining": 0},
    )
    assert samples_of(single, labelled) == {
        ("arbutuslift_flows",): 3.0,
        ("arbutuslift_upstreams", "ready"): 2.0,
        ("arbutuslift_upstreams", "draining"): 0.0,
    }


def test_buckets_of_a_histogram_add_up():
    histogram = Histogram((0.1, 0.2))
    for value in (0.05, 0.15, 0.15, 5.0):
        histogram.observe(value)
    family = Distribution(
        name="arbutuslift_sync_seconds",
        help_text="Time of a sync.",
        histogram=histogram,
    )
    samples = samples_of(family)
    assert samples[("arbutuslift_sync_seconds_bucket", "0.1")] == 1.0
    assert samples[("arbutuslift_sync_seconds_bucket", "0.2")] == 3.0
    assert samples[("arbutuslift_sync_seconds_bucket", "+Inf")] == 4.0
    assert samples[("arbutuslift_sync_seconds_count",)] == 4.0
    assert samples[("arbutuslift_sync_seconds_sum",)] == pytest.approx(5.35)


def test_a_family_without_text_format_is_an_error():
    with pytest.raises(TypeError, match="Family"):
        render_metrics([MetricFamily(name="a", help_text="b")])


def test_the_client_library_is_not_loaded_before_the_first_page():
    """Guards against a start that takes a third longer on a small share of a core."""
    code = (
        "import sys, arbutuslift.entry, arbutuslift.control\n"
        "loaded = {'prometheus_client', 'arbutuslift.metricspage'} & set(sys.modules)\n"
        "sys.exit(bool(loaded))"
    )
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0
