"""Metrics of an entry instance."""

from collections import Counter
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from . import logs
from .coordination.routing.egressqueue import EgressQueue
from .coordination.routing.flowtagrouter import FlowTagRouter, Verdict
from .coordination.routing.upstreamdirectory import UpstreamDirectory
from .histograms import Histogram, doubling_bounds
from .loadfeatures import LoadFeatures

if TYPE_CHECKING:
    from .coordination.routing.admissiongate import AdmissionGate
    from .metricfamilies import MetricFamily


class EntryMetrics:
    """Counters and histograms of an entry instance.

    Args:
        router: Holds the flows and the routing table in effect.
        directory: Holds the upstreams.
        egress: Holds the packets that wait for the link.

    Attributes:
        packets: Number of packets by verdict.
        packet_duration_s: Time from reading a packet until it is sent, 20 us to 0.6 s.
        batch_packets: Packets read from the socket in one batch.
        hedges: Number of SYNs without an answer in time, by what became of them.
        view_age_s: Age of the newest answer of a control instance when a flow opens.
        refusals: Returns the number of messages, records and tasks that were refused or
            failed, by kind.
    """

    def __init__(
        self, router: FlowTagRouter, directory: UpstreamDirectory, egress: EgressQueue
    ) -> None:
        self.packets: Counter[Verdict] = Counter()
        self.hedges: Counter[str] = Counter()
        self.packet_duration_s = Histogram(doubling_bounds(0.00002, 16))
        self.batch_packets = Histogram(doubling_bounds(1, 6))
        self.view_age_s = Histogram(doubling_bounds(0.01, 12))
        self._router = router
        self._directory = directory
        self._egress = egress
        self._load = LoadFeatures()
        self._gate: AdmissionGate | None = None
        self.refusals: Callable[[], Mapping[str, int]] = dict

    def use(self, load: LoadFeatures, gate: "AdmissionGate | None") -> None:
        """Set what is loaded after the start.

        Args:
            load: Load features, with metrics of their own.
            gate: Holds the SYNs that wait for capacity; None without admission.
        """
        self._load = load
        self._gate = gate

    def families(self) -> "list[MetricFamily]":
        """Return all metric families with their current values."""
        # Imported on the first request: few processes serve a page, and an entry
        # process starts with little processor time.
        from .metricfamilies import Counts, Distribution, Gauge, Gauges

        table = self._router.table
        return [
            Counts(
                name="arbutuslift_packets",
                help_text="Packets by what became of them.",
                label="verdict",
                values={verdict.value: n for verdict, n in self.packets.items()},
            ),
            Counts(
                name="arbutuslift_hedges",
                help_text="SYNs without an answer in time by what became of them.",
                label="outcome",
                values=dict(self.hedges),
            ),
            logs.dropped_lines(),
            Counts(
                name="arbutuslift_refusals",
                help_text="What peers sent and couldn't be used, by kind.",
                label="kind",
                values=self.refusals(),
            ),
            Gauge(
                name="arbutuslift_flows",
                help_text="Flows seen lately.",
                value=self._router.flow_count,
            ),
            Gauge(
                name="arbutuslift_egress_queue_bytes",
                help_text="Bytes of packets that wait for the link.",
                value=self._egress.queued_bytes,
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
            *self._load.families(),
            *self._gate_families(),
        ]

    def _gate_families(self) -> "list[MetricFamily]":
        from .metricfamilies import Gauge

        if self._gate is None:
            return []
        return [
            Gauge(
                name="arbutuslift_waiting_flows",
                help_text="SYNs that wait for capacity.",
                value=self._gate.waiting_count,
            ),
            Gauge(
                name="arbutuslift_shortages",
                help_text="Sets of services whose upstreams can't take all new flows.",
                value=self._gate.shortage_count,
            ),
        ]
