"""Figures of an entry instance for its metrics page."""

from collections import Counter
from typing import TYPE_CHECKING

from . import logs
from .coordination.routing.flowtagrouter import FlowTagRouter, Verdict
from .coordination.routing.upstreamdirectory import UpstreamDirectory
from .histograms import Histogram, doubling_bounds

if TYPE_CHECKING:
    from .metricfamilies import MetricFamily


class EntryMetrics:
    """What an entry instance counts and measures.

    Args:
        router: Knows flows and the routing table in force.
        directory: Knows upstreams.

    Attributes:
        packets: Packets by verdict.
        packet_duration_s: Time from the reading of a packet until it is sent on,
            20 us to 0.6 s.
        batch_packets: Packets that were waiting when the instance turned to its socket.
        view_age_s: Age of the newest answer of control instances when a flow opens.
    """

    def __init__(self, router: FlowTagRouter, directory: UpstreamDirectory) -> None:
        self.packets: Counter[Verdict] = Counter()
        self.packet_duration_s = Histogram(doubling_bounds(0.00002, 16))
        self.batch_packets = Histogram(doubling_bounds(1, 6))
        self.view_age_s = Histogram(doubling_bounds(0.01, 12))
        self._router = router
        self._directory = directory

    def families(self) -> "list[MetricFamily]":
        """Return all figures as they are now."""
        # Few processes are asked, and those that start with little processor time
        # don't need it.
        from .metricfamilies import Counts, Distribution, Gauge, Gauges

        table = self._router.table
        return [
            Counts(
                name="arbutuslift_packets",
                help_text="Packets by what became of them.",
                label="verdict",
                values={verdict.value: n for verdict, n in self.packets.items()},
            ),
            logs.dropped_lines(),
            Gauge(
                name="arbutuslift_flows",
                help_text="Flows seen lately.",
                value=self._router.flow_count,
            ),
            Gauges(
                name="arbutuslift_upstreams",
                help_text="Starts of upstreams by state; one can be in several.",
                label="state",
                values=self._directory.count_by_state(),
            ),
            Gauge(
                name="arbutuslift_revision",
                help_text="Revision in effect, 0 for none.",
                value=table.revision if table else 0,
            ),
            Gauge(
                name="arbutuslift_configuration_version",
                help_text="The operators' number of the configuration in effect.",
                value=table.version if table else 0,
            ),
            Distribution(
                name="arbutuslift_packet_seconds",
                help_text="Time in the process for each packet.",
                histogram=self.packet_duration_s,
            ),
            Distribution(
                name="arbutuslift_turn_packets",
                help_text="Packets read in one turn; the socket had more if it is 32.",
                histogram=self.batch_packets,
            ),
            Distribution(
                name="arbutuslift_belief_age_seconds",
                help_text="Age of what control instances said, when a flow opened.",
                histogram=self.view_age_s,
            ),
        ]
