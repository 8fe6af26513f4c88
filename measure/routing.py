"""Compares routing methods on a trace of changes that reach instances at random delays.

A flow counts as broken if its caller receives a reset, or no answer to a segment that
it retransmits for 30 s, while the process that holds the connection is alive.
"""

import heapq
import itertools
import random
import time
from collections import Counter
from collections.abc import Callable

import attrs
import msgpack
from attrs import define, frozen

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.routing.denials import DenialBuffer
from arbutuslift.coordination.routing.services import ServiceTable
from arbutuslift.coordination.routing.slotrouter import SlotRouter
from arbutuslift.protocol.denials import DenialReport
from arbutuslift.protocol.messages import encode
from arbutuslift.protocol.packets import SynPacket, decode, without_payload
from arbutuslift.state.flows import FlowCache
from arbutuslift.state.generations import GenerationRecord
from arbutuslift.state.hashing import rendezvous_order
from arbutuslift.state.spillovermarks import SpilloverMark
from arbutuslift.state.upstreams import UpstreamRecord, UpstreamView
from arbutuslift.transport.fabric import Address
from standins.connections import FakeCaller, FakeUpstream
from tests import builders

from .result import Measure
from .routers import (
    WITHOUT_TIMESTAMPS,
    AnyRouter,
    HashRouter,
    OwnerRouter,
    TimestampRouter,
)
from .trace import (
    DURATION_S,
    INSTANCES,
    MAX_DELAY_S,
    InstanceRestart,
    RecordChange,
    build_trace,
)

SEED = 7
RETRANSMIT_S = (0.3, 0.6, 1.2, 2.4, 4.8, 9.6, 12.0)
FABRIC = Address("127.0.0.1", 7400)
ADDRESSES = {f"i{n}": Address(f"127.30.0.{n}", 7300) for n in range(INSTANCES)}


@frozen
class FlowKind:
    """A kind of flows.

    Attributes:
        count: Number of flows.
        ports: Number of ports that the flows use in turn.
        packets: Segments per flow.
        lifetime_s: Time from the first to the last segment.
    """

    count: int
    ports: int
    packets: int
    lifetime_s: float


KINDS = {
    "long": FlowKind(60, 60, 300, 3000.0),
    "idle": FlowKind(300, 300, 5, 3000.0),
    "short on reused ports": FlowKind(3000, 100, 4, 20.0),
}


class Instance:
    """One instance with its own view and the router under measurement."""

    def __init__(self, simulation: "Simulation", number: int) -> None:
        self.services = ServiceTable(simulation.clock, UpstreamView())
        self.services.apply(builders.configuration())
        self.flows = FlowCache()
        self.denials = DenialBuffer(self.services, self.flows, simulation.to_caller)
        self.denials.report = simulation.report_denial
        self.router = simulation.build_router(simulation, self, f"i{number}")

    def merge_record(self, record: UpstreamRecord) -> None:
        """Merge a record into the view."""
        self.services.view.merge(record)
        self.services.refresh_service(record.service)


Builder = Callable[["Simulation", Instance, str], AnyRouter]


@define(eq=False)
class Flow:
    """A flow of one caller.

    Attributes:
        kind: Name of the kind of flow.
        caller: The caller's end of the flow.
        is_counted: Whether a failure of the flow has been handled.
    """

    kind: str
    caller: FakeCaller
    is_counted: bool = False


class Simulation:
    """Instances, upstreams and callers of one run.

    Args:
        build_router: Builds the router of an instance.
    """

    def __init__(self, build_router: Builder) -> None:
        self.build_router = build_router
        self.clock = ManualClock()
        self.rng = random.Random(SEED)
        self.broken: Counter[str] = Counter()
        self.control_bytes = 0
        self.relayed_bytes = 0
        self.packets = 0
        self.routing_s = 0.0
        self.marks: dict[bytes, str] = {}
        self._order = itertools.count()
        self._events: list[tuple] = []
        self._upstreams: dict[str, FakeUpstream] = {}
        self._flows: dict[int, Flow] = {}
        self._instances = [Instance(self, number) for number in range(INSTANCES)]
        for instance in self._instances:
            instance.services.is_history_known = True
            self._listen(instance)

    def run(self) -> "Simulation":
        """Run all changes of the trace and all flows in the order of their times."""
        start_s = self.clock.monotonic_s()
        for scheduled in build_trace(SEED):
            self._at(start_s + scheduled.at_s, self._change, scheduled.change)
        self._schedule_flows(start_s)
        while self._events:
            due_s, _, action, arguments = heapq.heappop(self._events)
            self.clock.jump(max(0.0, due_s - self.clock.monotonic_s()))
            for instance in self._instances:
                instance.denials.release_due()
            action(*arguments)
        return self

    def to_caller(self, raw: bytes) -> None:
        """Deliver a packet to its caller."""
        packet = decode(raw)
        flow = self._flows.get(packet.destination.port)
        if flow is not None and flow.caller.handle(raw):
            self._break(flow)

    def report_denial(self, packet: object, upstream_id: str) -> None:
        """Send a withheld denial to the instance that owns its flow."""
        names = rendezvous_order(packet.key_to_caller(), list(ADDRESSES))
        message = DenialReport(upstream_id=upstream_id, packet=packet.raw)
        self.control_bytes += len(encode(message))
        self._instances[int(names[0][1:])].denials.hold(packet, upstream_id)

    def _at(self, due_s: float, action: Callable, *arguments: object) -> None:
        heapq.heappush(self._events, (due_s, next(self._order), action, arguments))

    def _after(self, delay_s: float, action: Callable, *arguments: object) -> None:
        self._at(self.clock.monotonic_s() + delay_s, action, *arguments)

    def _listen(self, instance: Instance) -> None:
        if type(instance.router) is SlotRouter:
            instance.services.on_change.append(self._gossip)

    def _gossip(self, change: GenerationRecord | SpilloverMark) -> None:
        size_bytes = len(msgpack.packb(attrs.asdict(change)))
        for number in range(INSTANCES):
            self.control_bytes += size_bytes
            delay_s = self.rng.uniform(0, MAX_DELAY_S)
            self._after(delay_s, self._merge, number, change)

    def _merge(self, number: int, change: GenerationRecord | SpilloverMark) -> None:
        services = self._instances[number].services
        if isinstance(change, GenerationRecord):
            services.merge_generation(change)
        else:
            services.merge_spillover_mark(change)

    def _change(self, change: RecordChange | InstanceRestart) -> None:
        if isinstance(change, InstanceRestart):
            self._restart(change)
            return
        record = change.record
        if record.upstream_id not in self._upstreams:
            upstream = FakeUpstream(record, builders.SERVICE, self.rng)
            self._upstreams[record.upstream_id] = upstream
        self._upstreams[record.upstream_id].record = record
        for number, delay_s in enumerate(change.delays_s):
            self._after(delay_s, self._merge_record, number, record)

    def _merge_record(self, number: int, record: UpstreamRecord) -> None:
        self._instances[number].merge_record(record)

    def _restart(self, change: InstanceRestart) -> None:
        restarted = Instance(self, change.number)
        peer = self._instances[(change.number + 1) % INSTANCES]
        self._instances[change.number] = restarted
        for record in peer.services.view:
            restarted.services.view.merge(record)
        restarted.services.refresh()
        self._listen(restarted)
        self._after(change.delay_s, self._join, restarted, peer)

    def _join(self, restarted: Instance, peer: Instance) -> None:
        for record in peer.services.generation_records():
            restarted.services.merge_generation(record)
            if type(restarted.router) is SlotRouter:
                self.control_bytes += len(msgpack.packb(attrs.asdict(record)))
        restarted.services.is_history_known = True

    def _schedule_flows(self, start_s: float) -> None:
        rng = random.Random(SEED + 1)
        first_port = 10_000
        for name, kind in KINDS.items():
            for number in range(kind.count):
                latest_s = DURATION_S - kind.lifetime_s - 60.0
                if kind.ports < kind.count:
                    rounds = kind.count // kind.ports
                    open_s = latest_s * (number // kind.ports) / rounds
                else:
                    open_s = rng.uniform(0, latest_s)
                port = first_port + number % kind.ports
                at_s = start_s + 10.0 + open_s
                self._at(at_s, self._open, name, port)
                for index in range(kind.packets):
                    offset_s = 1.0 + kind.lifetime_s * index / kind.packets
                    self._at(at_s + offset_s, self._send, port)
            first_port += kind.ports

    def _open(self, kind: str, port: int) -> None:
        end = builders.endpoint("127.0.0.1", port)
        for upstream in self._upstreams.values():
            upstream.connections.pop(end, None)
        first = self.rng.randrange(2**31)
        flow = Flow(kind, FakeCaller(end, builders.SERVICE, first))
        self._flows[port] = flow
        self._retransmit_syn(flow, 0)

    def _retransmit_syn(self, flow: Flow, attempt: int) -> None:
        self._from_caller(flow.caller.syn())
        if flow.caller.state == "syn_sent" and attempt < len(RETRANSMIT_S):
            self._after(RETRANSMIT_S[attempt], self._retransmit_syn, flow, attempt + 1)

    def _send(self, port: int) -> None:
        flow = self._flows.get(port)
        if flow is not None and flow.caller.state == "open" and not flow.is_counted:
            raw = flow.caller.segment(b"x" * 64)
            self._retransmit(flow, raw, flow.caller.sent_seq, 0)

    def _retransmit(self, flow: Flow, raw: bytes, seq: int, attempt: int) -> None:
        caller = flow.caller
        if caller.state != "open" or caller.sent_seq != seq or flow.is_counted:
            return
        self._from_caller(raw)
        if caller.sent_seq != seq:
            return
        if attempt < len(RETRANSMIT_S):
            self._after(
                RETRANSMIT_S[attempt], self._retransmit, flow, raw, seq, attempt + 1
            )
        else:
            self._break(flow)

    def _break(self, flow: Flow) -> None:
        flow.caller.state = "closed"
        if not flow.is_counted and self._has_live_connection(flow.caller):
            self.broken[flow.kind] += 1
        flow.is_counted = True

    def _has_live_connection(self, caller: FakeCaller) -> bool:
        for upstream in self._upstreams.values():
            connection = upstream.connections.get(caller.end)
            if connection is not None and connection.sent_seq == caller.received_seq:
                return upstream.record.is_alive
        return False

    def _from_caller(self, raw: bytes) -> None:
        self._arrive(self.rng.randrange(INSTANCES), raw, FABRIC)

    def _arrive(self, number: int, raw: bytes, source: Address) -> None:
        router = self._instances[number].router
        start_s = time.perf_counter()
        packet = decode(raw)
        decision = router.route(packet, source)
        self.routing_s += time.perf_counter() - start_s
        self.packets += 1
        for outgoing in decision.datagrams:
            if outgoing.destination is None:
                self.to_caller(outgoing.data)
            elif outgoing.destination.ip.startswith("127.30."):
                self.relayed_bytes += len(outgoing.data)
                relay_target = int(outgoing.destination.ip.rpartition(".")[2])
                self._arrive(relay_target, outgoing.data, ADDRESSES[f"i{number}"])
            else:
                self._to_upstream(outgoing.data, outgoing.destination, packet)

    def _to_upstream(self, raw: bytes, address: Address, packet: object) -> None:
        if isinstance(packet, SynPacket) and packet.payload:
            # The models don't strip the payload of a SYN, which the fake upstream
            # doesn't accept.
            raw = without_payload(packet).raw
        for upstream in self._upstreams.values():
            record = upstream.record
            if record.address != address.ip or not record.is_alive:
                continue
            for answer in upstream.handle(raw):
                self._arrive(self.rng.randrange(INSTANCES), answer, address)
            return


METHODS: dict[str, Builder] = {
    "hash only": lambda simulation, instance, name: HashRouter(instance.services),
    "this design": lambda simulation, instance, name: SlotRouter(
        instance.services, instance.flows, denials=instance.denials
    ),
    "relay to the slot's owner": lambda simulation, instance, name: OwnerRouter(
        instance.services, name, ADDRESSES
    ),
    "mark in timestamps": lambda simulation, instance, name: TimestampRouter(
        instance.services, simulation.marks
    ),
}


def measure() -> list[Measure]:
    """Return the figures of each routing method."""
    return [figure for method in METHODS for figure in measure_method(method)]


def measure_method(method: str) -> list[Measure]:
    """Return the figures of one routing method."""
    simulation = Simulation(METHODS[method]).run()
    flows = ", ".join(f"{kind.count} {name}" for name, kind in KINDS.items())
    note = f"flows: {flows}; {INSTANCES} instances, {DURATION_S:.0f} s, seed {SEED}"
    note += "; control traffic counts one copy of each message per instance"
    note += "; time per packet includes building tables"
    if method == "mark in timestamps":
        note += f"; {WITHOUT_TIMESTAMPS:.0%} of the callers without timestamps"
    is_this_design = method == "this design"
    figures = [
        Measure(
            name=f"broken flows, {name}, {method}",
            figure=simulation.broken[name],
            unit="flows",
            target=0 if is_this_design else None,
            passes=simulation.broken[name] == 0 if is_this_design else None,
            note=note,
        )
        for name in KINDS
    ]
    scale = INSTANCES * DURATION_S
    per_second = {
        "control traffic": simulation.control_bytes / scale,
        "relayed packets": simulation.relayed_bytes / scale,
    }
    for name, figure in per_second.items():
        unit = "bytes/s per instance"
        title = f"{name}, {method}"
        figures.append(Measure(name=title, figure=figure, unit=unit, note=note))
    time_us = simulation.routing_s / simulation.packets * 1e6
    title = f"time per packet, {method}"
    figures.append(Measure(name=title, figure=time_us, unit="us", note=note))
    return figures


def main() -> None:
    """Print the figures."""
    for figure in measure():
        print(f"{figure.name}: {figure.figure:.2f} {figure.unit}", flush=True)


if __name__ == "__main__":
    main()
