"""Figures of an entry instance for its metrics page."""

from collections import Counter
from typing import TYPE_CHECKING

from . import logs
from .coordination.routing.flowrouter import FlowRouter, Verdict
from .coordination.routing.upstreamdirectory import UpstreamDirectory
from .histograms import Histogram, doubling

if TYPE_CHECKING:
    from .families import Family


class EntryMetrics:
    """What an entry instance counts and measures.

    Args:
        router: Knows flows and the routing table in force.
        directory: Knows upstreams.

    Attributes:
        packets: Packets by verdict.
        packet_s: Time from the reading of a packet until it is sent on, 20 us to 0.6 s.
        turn_packets: Packets that were waiting when the instance turned to its socket.
        belief_age_s: Age of the newest answer of control instances when a flow opens.
    """

    def __init__(self, router: FlowRouter, directory: UpstreamDirectory) -> None:
        self.packets: Counter[Verdict] = Counter()
        self.packet_s = Histogram(doubling(0.00002, 16))
        self.turn_packets = Histogram(doubling(1, 6))
        self.belief_age_s = Histogram(doubling(0.01, 12))
        self._router = router
        self._directory = directory

    def families(self) -> "list[Family]":
        """Return all figures as they are now."""
        # Few processes are asked, and those that start with little processor time
        # don't need it.
        from .families import Counts, Distribution, Gauge, Gauges

        table = self._router.table
        return [
            Counts(
                name="arbutuslift_packets",
                meaning="Packets by what became of them.",
                label="verdict",
                values={verdict.value: n for verdict, n in self.packets.items()},
            ),
            logs.dropped_lines(),
            Gauge(
                name="arbutuslift_flows",
                meaning="Flows seen lately.",
                value=self._router.flow_count,
            ),
            Gauges(
                name="arbutuslift_upstreams",
                meaning="Starts of upstreams by state; one can be in several.",
                label="state",
                values=self._directory.count_by_state(),
            ),
            Gauge(
                name="arbutuslift_revision",
                meaning="Revision in effect, 0 for none.",
                value=table.revision if table else 0,
            ),
            Gauge(
                name="arbutuslift_configuration_version",
                meaning="The operators' number of the configuration in effect.",
                value=table.version if table else 0,
            ),
            Distribution(
                name="arbutuslift_packet_seconds",
                meaning="Time in the process for each packet.",
                histogram=self.packet_s,
            ),
            Distribution(
                name="arbutuslift_turn_packets",
                meaning="Packets read in one turn; the socket had more if it is 32.",
                histogram=self.turn_packets,
            ),
            Distribution(
                name="arbutuslift_belief_age_seconds",
                meaning="Age of what control instances said, when a flow opened.",
                histogram=self.belief_age_s,
            ),
        ]
