"""Metrics of load reports, of both roles."""

from typing import TYPE_CHECKING

from .metricfamilies import Counts, Gauge, MetricFamily

if TYPE_CHECKING:
    # A process loads only its own role.
    from .coordination.dissemination.loadregistry import LoadRegistry
    from .sharedload import SharedLoad

REPORTS_NAME = "arbutuslift_load_reports"
INSTANCES_NAME = "arbutuslift_load_instances"


def entry_load_families(load: "SharedLoad") -> list[MetricFamily]:
    """Return the metric families of an entry instance."""
    client = load.client
    return [
        Counts(
            name=REPORTS_NAME,
            help_text="Load reports by outcome.",
            label="outcome",
            values={
                "answered": client.answered if client else 0,
                "unanswered": client.unanswered if client else 0,
            },
        ),
        Gauge(
            name=INSTANCES_NAME,
            help_text="Instances of the data centre in the newest sums of load.",
            value=load.view.instances,
        ),
        Gauge(
            name="arbutuslift_load_age_seconds",
            help_text="Age of the newest sums of load, infinite before the first.",
            value=load.view.age_s,
        ),
        Gauge(
            name="arbutuslift_slow_upstreams",
            help_text="Upstreams that get fewer new flows because they are slow.",
            value=load.weights.slow_count,
        ),
    ]


def control_load_families(registry: "LoadRegistry") -> list[MetricFamily]:
    """Return the metric families of a control instance."""
    return [
        Counts(
            name=REPORTS_NAME,
            help_text="Load reports by outcome.",
            label="outcome",
            values=registry.outcomes,
        ),
        Gauge(
            name=INSTANCES_NAME,
            help_text="Entry instances that report their load here.",
            value=registry.instance_count,
        ),
    ]
