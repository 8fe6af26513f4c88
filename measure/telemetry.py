"""Cost of logs, metrics and traces per packet, as ratios within one run."""

import io
import itertools
import socket
import statistics
import tempfile
import time
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path

from arbutuslift import logs
from arbutuslift.clock import SystemClock
from arbutuslift.coordination.routing.forwarding import Forwarder
from arbutuslift.coordination.routing.services import ServiceTable
from arbutuslift.coordination.routing.slotrouter import SlotRouter
from arbutuslift.coordination.routing.tracedforwarding import TracedForwarder
from arbutuslift.metrics import MetricsReporter, NoOpMetrics, StatsdMetrics
from arbutuslift.oteltracer import OpenTelemetryTracer
from arbutuslift.protocol.packets import ACK
from arbutuslift.state.flows import FlowCache
from arbutuslift.state.upstreams import UpstreamView
from arbutuslift.tracer import flow_sampler
from arbutuslift.transport.fabric import Address, Datagram, MemoryFabric
from tests import builders

from .result import Measure

FABRIC = Address("127.0.0.1", 7400)
FLOWS = 500
ROUNDS = 40
TRACED_ROUNDS = 4
PACKETS_PER_ROUND = 2000
TRACE_RATIO = 0.001

# With all telemetry on, a packet that isn't traced may cost at most a tenth more.
MAX_RATIO_ON = 1.1
MAX_RATIO_OFF = 1.05


class Variant:
    """A forwarder with its telemetry and the durations of its rounds.

    Args:
        make_forwarder: Returns a forwarder for a fabric and a router.
        after_round: Called once per round, in place of the reporting task.
    """

    def __init__(
        self,
        make_forwarder: Callable[[MemoryFabric, SlotRouter], Forwarder],
        after_round: Callable[[Forwarder], None],
    ) -> None:
        self._fabric = MemoryFabric()
        self._forwarder = make_forwarder(
            self._fabric, SlotRouter(_services(), FlowCache())
        )
        self._after_round = after_round
        numbers = _untraced_flows()
        self._packets = [
            Datagram(builders.segment(numbers[index % FLOWS], flags=ACK), FABRIC)
            for index in range(PACKETS_PER_ROUND)
        ]
        self.round_s: list[float] = []
        for number in numbers:
            self._establish(number)

    def _establish(self, number: int) -> None:
        """Establish a flow, so that its packets take the path of known flows."""
        self._fabric.sent.clear()
        self._forwarder.forward(Datagram(builders.syn(number), FABRIC))
        _, upstream = self._fabric.sent[-1]
        answer = builders.reply_segment(number, flags=ACK)
        self._forwarder.forward(Datagram(answer, upstream))

    def run_round(self) -> None:
        """Forward the packets of one round."""
        self._fabric.sent.clear()
        start_s = time.perf_counter()
        for datagram in self._packets:
            self._forwarder.forward(datagram)
        self._after_round(self._forwarder)
        self.round_s.append(time.perf_counter() - start_s)


def _untraced_flows() -> list[int]:
    """Return numbers of flows that aren't sampled for tracing.

    Among so few flows, one traced flow would be several times the trace ratio.
    """
    is_sampled = flow_sampler(TRACE_RATIO)
    numbers = (n for n in itertools.count() if not is_sampled(builders.syn(n)))
    return list(itertools.islice(numbers, FLOWS))


def _services() -> ServiceTable:
    table = ServiceTable(SystemClock(), UpstreamView())
    table.apply(builders.configuration())
    for number in range(1, 8):
        record = builders.upstream(number)
        table.view.merge(record)
        table.refresh_service(record.service)
    return table


def _plain(fabric: MemoryFabric, router: SlotRouter) -> Forwarder:
    return Forwarder(fabric, router, FABRIC)


def _traced(
    tracer: OpenTelemetryTracer,
) -> Callable[[MemoryFabric, SlotRouter], Forwarder]:
    def make(fabric: MemoryFabric, router: SlotRouter) -> Forwarder:
        return TracedForwarder(fabric, router, FABRIC, tracer=tracer)

    return make


def _reporting(metrics: object) -> Callable[[Forwarder], None]:
    reporters: dict[int, MetricsReporter] = {}

    def report(forwarder: Forwarder) -> None:
        reporter = reporters.get(id(forwarder))
        if reporter is None:
            reporter = reporters[id(forwarder)] = MetricsReporter(
                metrics, SystemClock()
            )
            reporter.add_counter("packets", forwarder.counts)
        reporter.report()
        logs.get_logger().info("round_done", packets=PACKETS_PER_ROUND)

    return report


def measure() -> list[Measure]:
    """Measure the cost of a packet by how much telemetry is on."""
    with ExitStack() as stack:
        logs.configure(
            instance="dc-1-1", level="info", clock=SystemClock(), stream=io.StringIO()
        )
        baseline, off, on, fully_traced = _variants(stack)
        for number in range(ROUNDS):
            order = (baseline, off, on) if number % 2 else (on, off, baseline)
            for variant in order:
                variant.run_round()
        # These rounds run last, since the thread that writes spans slows others down.
        for _ in range(TRACED_ROUNDS):
            fully_traced.run_round()
    packet_s = statistics.median(baseline.round_s) / PACKETS_PER_ROUND
    return [
        Measure(
            name="telemetry: packet without telemetry",
            figure=round(packet_s * 1e6, 2),
            unit="us",
            target=None,
            passes=None,
            note=f"median of {ROUNDS} rounds of {PACKETS_PER_ROUND} packets",
        ),
        _ratio_measure("off", off, baseline, MAX_RATIO_OFF),
        _ratio_measure(f"on, trace_ratio {TRACE_RATIO}", on, baseline, MAX_RATIO_ON),
        _fully_traced_measure(fully_traced, baseline),
    ]


def _variants(stack: ExitStack) -> tuple[Variant, ...]:
    folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
    server = stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
    server.bind(("127.0.0.1", 0))
    metrics = StatsdMetrics(Address(*server.getsockname()), "dc-1-1")
    stack.callback(metrics.close)
    sampled = OpenTelemetryTracer(folder / "few", TRACE_RATIO, "dc-1-1")
    stack.callback(sampled.close)
    fully_traced = OpenTelemetryTracer(folder / "every", 1.0, "dc-1-1")
    stack.callback(fully_traced.close)
    return (
        Variant(_plain, lambda forwarder: None),
        Variant(_plain, _reporting(NoOpMetrics())),
        Variant(_traced(sampled), _reporting(metrics)),
        Variant(_traced(fully_traced), _reporting(metrics)),
    )


def _ratio_measure(
    name: str, variant: Variant, baseline: Variant, target: float
) -> Measure:
    pairs = zip(variant.round_s, baseline.round_s, strict=True)
    ratio = statistics.median(own_s / baseline_s for own_s, baseline_s in pairs)
    return Measure(
        name=f"telemetry: cost of a packet, {name}",
        figure=round(ratio, 3),
        unit="ratio to no telemetry",
        target=target,
        passes=ratio <= target,
        note="median of the ratios of interleaved rounds",
    )


def _fully_traced_measure(fully_traced: Variant, baseline: Variant) -> Measure:
    ratio = statistics.median(fully_traced.round_s) / statistics.median(
        baseline.round_s
    )
    return Measure(
        name="telemetry: cost of a packet, on, every packet traced",
        figure=round(ratio, 2),
        unit="ratio to no telemetry",
        target=None,
        passes=None,
        note=f"ratio of medians; {TRACED_ROUNDS} rounds after the others",
    )
