"""Figures of a control instance for its metrics page."""

from collections import Counter
from typing import TYPE_CHECKING

from . import logs
from .coordination.spread.feedserver import FeedServer
from .histograms import Histogram, doubling
from .state.files import SYNC_SECONDS
from .state.routing import RoutingTable

if TYPE_CHECKING:
    from .families import Family


class ControlMetrics:
    """What a control instance counts and measures.

    Attributes:
        orders: Orders by outcome.
        announcements: Announcements by outcome.
        order_s: Time from an order until its acknowledgement, 1 ms to 8 s.
    """

    def __init__(self) -> None:
        self.orders: Counter[str] = Counter()
        self.announcements: Counter[str] = Counter()
        self.order_s = Histogram(doubling(0.001, 14))

    def families(self, feed: FeedServer, table: RoutingTable | None) -> "list[Family]":
        """Return all figures as they are now.

        Args:
            feed: Feed of entry instances.
            table: Newest routing table known here.
        """
        # As at entry instances, loaded only where it is asked for.
        from .families import Counts, Distribution, Gauge, Gauges

        return [
            Counts(
                name="arbutuslift_orders",
                meaning="Orders of operators by outcome.",
                label="outcome",
                values=self.orders,
            ),
            Counts(
                name="arbutuslift_announcements",
                meaning="Announcements of upstreams by outcome.",
                label="outcome",
                values=self.announcements,
            ),
            logs.dropped_lines(),
            Gauges(
                name="arbutuslift_upstreams",
                meaning="Starts of upstreams by state; one can be in several.",
                label="state",
                values=feed.registry.count_by_state(),
            ),
            Gauge(
                name="arbutuslift_followers",
                meaning="Entry instances that follow this control instance.",
                value=feed.follower_count,
            ),
            Gauge(
                name="arbutuslift_revision",
                meaning="Newest committed revision known here, 0 for none.",
                value=table.revision if table else 0,
            ),
            Distribution(
                name="arbutuslift_order_seconds",
                meaning="Time from an order until its acknowledgement.",
                histogram=self.order_s,
            ),
            Distribution(
                name="arbutuslift_in_effect_seconds",
                meaning="Time from a commit until each follower has it in effect.",
                histogram=feed.in_effect_s,
            ),
            Distribution(
                name="arbutuslift_announcement_gap_seconds",
                meaning="Time between two announcements of an upstream heard here.",
                histogram=feed.registry.gap_s,
            ),
            Distribution(
                name="arbutuslift_sync_seconds",
                meaning="Time that the disk took for a sync.",
                histogram=SYNC_SECONDS,
            ),
        ]
