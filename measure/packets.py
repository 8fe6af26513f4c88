"""Time per packet by path and memory per flow entry."""

import gc
import ipaddress
import time
import tracemalloc
from collections.abc import Callable

from arbutuslift.clock import SystemClock
from arbutuslift.coordination.routing.services import ServiceTable
from arbutuslift.coordination.routing.slotrouter import SlotRouter, Verdict
from arbutuslift.protocol.document import Configuration, DataCentre, Document, Service
from arbutuslift.protocol.packets import ACK, RST, SYN, decode, encode_tcp
from arbutuslift.state.flowkey import Endpoint, FlowKey
from arbutuslift.state.flows import FlowCache
from arbutuslift.state.upstreams import UpstreamRecord, UpstreamState, UpstreamView
from arbutuslift.transport.fabric import Address

from .result import Measure

FLOW_COUNTS = (1_000, 100_000, 400_000)
PACKETS_PER_PATH = 20_000
UPSTREAMS = 8
SEQ = 1000
LARGE_BYTES = 1400
VIP = Endpoint(ipaddress.IPv4Address("127.10.0.1").packed, 8443)
FABRIC = Address("127.0.0.1", 7400)

PATHS: dict[str, tuple[Verdict, dict]] = {
    "new flow": (Verdict.NEW_FLOW, {"flags": SYN}),
    "known flow": (Verdict.KNOWN_FLOW, {"flags": ACK, "payload": b"x" * 64}),
    "known flow, large": (
        Verdict.KNOWN_FLOW,
        {"flags": ACK, "payload": b"x" * LARGE_BYTES},
    ),
    "unknown flow": (Verdict.PROBED_FLOW, {"flags": ACK, "payload": b"x" * 64}),
    "return": (Verdict.RETURNED, {"flags": ACK, "payload": b"x" * 64}),
    "return, large": (
        Verdict.RETURNED,
        {"flags": ACK, "payload": b"x" * LARGE_BYTES},
    ),
    "unknown denial": (Verdict.DENIAL_WITHHELD, {"flags": RST}),
}


def measure() -> list[Measure]:
    """Return the time per packet and the memory per flow entry."""
    return [figure for count in FLOW_COUNTS for figure in measure_flows(count)]


def measure_flows(count: int) -> list[Measure]:
    """Return the figures with ``count`` flows in the cache."""
    services = _services()
    flows = FlowCache(count + PACKETS_PER_PATH)
    entry_bytes = _fill(flows, count)
    router = SlotRouter(services, flows)
    figures = [
        Measure(
            name=f"flow entry, {count} flows",
            figure=entry_bytes,
            unit="bytes",
            note="tracemalloc over the whole cache, keys included",
        )
    ]
    for path in PATHS:
        figure = _time_path(router, path, count)
        figures.append(
            Measure(
                name=f"{path}, {count} flows",
                figure=figure,
                unit="us/packet",
                note="decode and decision, one core",
            )
        )
    return figures


def _caller(number: int) -> Endpoint:
    return Endpoint(
        (0x0A000000 + number // 50_000).to_bytes(4), 10_000 + number % 50_000
    )


def _upstream(number: int) -> UpstreamRecord:
    return UpstreamRecord(
        upstream_id=f"{number:032x}",
        name=f"upstream-{number}",
        data_centre="dc-1",
        address=f"127.20.0.{number}",
        port=6081,
        service="alerts",
        work_kinds=("alerts",),
        state=UpstreamState.READY,
        sequence=1,
    )


def _services() -> ServiceTable:
    view = UpstreamView()
    for number in range(1, UPSTREAMS + 1):
        view.merge(_upstream(number))
    services = ServiceTable(SystemClock(), view)
    service = Service(name="alerts", address="127.10.0.1", port=8443, kind="alerts")
    document = Document(services=(service,), data_centres=(DataCentre(name="dc-1"),))
    services.apply(Configuration(revision=1, document=document))
    services.is_history_known = True
    return services


def _fill(flows: FlowCache, count: int) -> float:
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(count):
        key = FlowKey(_caller(number), VIP, 6).to_bytes()
        upstream = _upstream_id(number)
        flows.confirm(key, upstream, SEQ + number, SEQ + 7 * number)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / count


UPSTREAM_IDS = [f"{number:032x}" for number in range(1, UPSTREAMS + 1)]


def _upstream_id(number: int) -> str:
    return UPSTREAM_IDS[number % UPSTREAMS]


def _time_path(router: SlotRouter, path: str, count: int) -> float:
    expected, fields = PATHS[path]
    packets = [
        _packet(path, fields, number, count) for number in range(PACKETS_PER_PATH)
    ]
    return _time_packets(router.route, packets, expected)


def _packet(path: str, fields: dict, number: int, count: int) -> tuple[bytes, Address]:
    is_unknown = path in ("new flow", "unknown flow", "unknown denial")
    flow = number * 7919 % count
    caller = _caller(flow + (1_000_000 if is_unknown else 0))
    upstream = Address(f"127.20.0.{1 + flow % UPSTREAMS}", 6081)
    caller_seq, upstream_seq = SEQ + flow, SEQ + 7 * flow
    if path.startswith("return") or path == "unknown denial":
        raw = encode_tcp(VIP, caller, seq=upstream_seq, ack=caller_seq, **fields)
        return raw, upstream
    return encode_tcp(caller, VIP, seq=caller_seq, ack=upstream_seq, **fields), FABRIC


def _time_packets(
    route: Callable, packets: list[tuple[bytes, Address]], expected: Verdict
) -> float:
    # The packets of earlier paths may have emptied the token bucket. That doesn't
    # affect the figure, since there is one candidate only.
    wrong = 0
    start_s = time.perf_counter()
    for raw, source in packets:
        if route(decode(raw), source).verdict is not expected:
            wrong += 1
    duration_s = time.perf_counter() - start_s
    if wrong:
        raise AssertionError(f"{wrong} packets took another path than {expected}")
    return duration_s / len(packets) * 1e6


def main() -> None:
    """Print the figures."""
    for figure in measure():
        print(f"{figure.name}: {figure.figure:.2f} {figure.unit}")


if __name__ == "__main__":
    main()
