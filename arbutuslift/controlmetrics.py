"""Metrics of a control instance."""

from collections import Counter
from collections.abc import Mapping
from types import MappingProxyType
from typing import TYPE_CHECKING

from . import logs
from .coordination.dissemination.feedserver import FeedServer
from .histograms import Histogram, doubling_bounds
from .state.files import SYNC_SECONDS
from .state.routingtable import RoutingTable

if TYPE_CHECKING:
    from .metricfamilies import MetricFamily


class ControlMetrics:
    """Counters and histograms of a control instance.

    Attributes:
        orders: Number of orders by outcome.
        announcements: Number of announcements by outcome.
        order_duration_s: Time from an order until its acknowledgement, 1 ms to 8 s.
    """

    def __init__(self) -> None:
        self.orders: Counter[str] = Counter()
        self.announcements: Counter[str] = Counter()
        self.order_duration_s = Histogram(doubling_bounds(0.001, 14))

    def families(
        self,
        feed: FeedServer,
        table: RoutingTable | None,
        unusable_version: int = 0,
        refusals: Mapping[str, int] = MappingProxyType({}),
    ) -> "list[MetricFamily]":
        """Return all metric families with their current values.

        Args:
            feed: Feed to which entry instances subscribe.
            table: Newest routing table of this instance.
            unusable_version: Version of the newest configuration if it can't be put in
                effect, 0 if it can.
            refusals: Messages, records and tasks that were refused or failed, by kind.
        """
        # Imported on the first request, as by entry instances.
        from .metricfamilies import Counts, Distribution, Gauge, Gauges

        return [
            Counts(
                name="arbutuslift_orders",
                help_text="Orders of operators by outcome.",
                label="outcome",
                values=self.orders,
            ),
            Counts(
                name="arbutuslift_announcements",
                help_text="Announcements of upstreams by outcome.",
                label="outcome",
                values=self.announcements,
            ),
            logs.dropped_lines(),
            Counts(
                name="arbutuslift_refusals",
                help_text="What peers sent and couldn't be used, by kind.",
                label="kind",
                values=refusals,
            ),
            Gauge(
                name="arbutuslift_unusable_version",
                help_text="Newest configuration if it can't be in effect, 0 if it can.",
                value=unusable_version,
            ),
            Gauges(
                name="arbutuslift_upstreams",
                help_text="Starts of upstreams by state; one can be in several.",
                label="state",
                values=feed.registry.count_by_state(),
            ),
            Gauge(
                name="arbutuslift_followers",
                help_text="Entry instances that follow this control instance.",
                value=feed.subscriber_count,
            ),
            Gauge(
                name="arbutuslift_revision",
                help_text="Newest committed revision known here, 0 for none.",
                value=table.revision if table else 0,
            ),
            Distribution(
                name="arbutuslift_order_seconds",
                help_text="Time from an order until its acknowledgement.",
                histogram=self.order_duration_s,
            ),
            Distribution(
                name="arbutuslift_in_effect_seconds",
                help_text="Time from a commit until each follower has it in effect.",
                histogram=feed.propagation_delay_s,
            ),
            Distribution(
                name="arbutuslift_announcement_gap_seconds",
                help_text="Time between two announcements of an upstream heard here.",
                histogram=feed.registry.announcement_gap_s,
            ),
            Distribution(
                name="arbutuslift_sync_seconds",
                help_text="Time that the disk took for a sync.",
                histogram=SYNC_SECONDS,
            ),
        ]
