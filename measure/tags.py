"""Time per packet with flow tags by number of upstreams, and size of routing tables.

The users' benchmark charges the processor time of a whole entry process, with sockets.
These figures cover only this project's own code and show how its cost grows.
"""

import random
import sys
import time
from collections.abc import Callable
from pathlib import Path

from arbutuslift.clock import SystemClock
from arbutuslift.coordination.routing.flowtagrouter import FlowTagRouter, Verdict
from arbutuslift.coordination.routing.outlierdetector import OutlierDetector
from arbutuslift.coordination.routing.upstreamdirectory import UpstreamDirectory
from arbutuslift.coordination.routing.upstreamselector import UpstreamSelector
from arbutuslift.protocol.feed import StartNews
from arbutuslift.state.flowtags import tag_of
from arbutuslift.state.routingtable import (
    Route,
    RoutingTable,
    ServiceLimits,
    ServiceShare,
    decode_table,
    encode_table,
)
from arbutuslift.state.starts import UpstreamStart

from .result import Measure, at_most, slope

sys.path.append(str(Path(__file__).resolve().parents[1] / "platform"))

from adapter.packets import PlatformCodec  # noqa: E402

UPSTREAMS_PER_SERVICE = 8
SERVICE_COUNTS = (10, 100, 2_000)
ROUTE_COUNTS = (13, 420, 1_400, 2_100)
PACKETS = 5_000
# Processor time per packet that the users' benchmark allows on entry machines.
PACKET_TARGET_US = 250.0


def measure() -> list[Measure]:
    """Return times per packet by the number of upstreams, and sizes of tables."""
    return [*_packets(), *_tables()]


def _packets() -> list[Measure]:
    figures, points = [], []
    for count in SERVICE_COUNTS:
        router, starts = _router(count)
        codec = PlatformCodec()
        known = [_datagram(flow=n, flags=8, tag=tag_of(starts[0])) for n in range(100)]
        opening = [_datagram(flow=n, flags=16) for n in range(PACKETS)]
        upstreams = count * UPSTREAMS_PER_SERVICE
        for name, datagrams in (("new flow", opening), ("tagged", known)):
            figure_us = _time_us(router, codec, datagrams)
            title = f"{name}, {upstreams} upstreams"
            figures.append(at_most(title, figure_us, "us/packet", PACKET_TARGET_US))
            if name == "tagged":
                points.append((float(upstreams), figure_us))
    figures.append(
        Measure(name="tagged, slope", figure=slope(points), unit="us/packet/upstream")
    )
    return figures


def _tables() -> list[Measure]:
    figures = []
    for count in ROUTE_COUNTS:
        table = _table(count)
        body = encode_table(table)
        decode_ms = _best_s(lambda body=body: decode_table(body)) * 1000
        figures.append(
            Measure(name=f"table, {count} routes", figure=len(body), unit="bytes")
        )
        figures.append(
            Measure(name=f"table read, {count} routes", figure=decode_ms, unit="ms")
        )
    return figures


def _router(services: int) -> tuple[FlowTagRouter, list[UpstreamStart]]:
    clock = SystemClock()
    directory = UpstreamDirectory(clock)
    starts = [
        UpstreamStart(
            upstream_id=f"i-{number:x}",
            number=number,
            born_ms=number,
            service=f"s{number // UPSTREAMS_PER_SERVICE}",
            ip=f"10.{number // 65_536}.{number // 256 % 256}.{number % 256}",
            port=8080,
            data_centre="dc-1",
        )
        for number in range(services * UPSTREAMS_PER_SERVICE)
    ]
    news = [StartNews(start=start, is_silent=False) for start in starts]
    directory.merge_feed_answer("control", news, is_first=True, is_settled=True)
    outlier_detector = OutlierDetector(clock)
    selector = UpstreamSelector(
        clock, directory, outlier_detector, "dc-1", random.Random(1)
    )
    router = FlowTagRouter(clock, directory, outlier_detector, selector)
    router.apply(_table(services))
    return router, starts


def _table(count: int) -> RoutingTable:
    routes = tuple(
        Route(
            ip=(0xC6120000 + number // 8).to_bytes(4, "big"),
            port=443 + number % 8,
            shares=(ServiceShare(service=f"s{number}", weight=1),),
        )
        for number in range(count)
    )
    limits = ServiceLimits(
        name="s0", max_connections=2000, cold_new_flows_per_s=0, cold_start_s=2
    )
    return RoutingTable(revision=1, version=1, routes=routes, services=(limits,))


def _datagram(flow: int, flags: int, tag: int = 0) -> bytes:
    return b"".join(
        (
            (0xC6120000).to_bytes(4, "big"),
            (0x64400000 + flow).to_bytes(4, "big"),
            (443).to_bytes(2, "big"),
            (40_000 + flow % 20_000).to_bytes(2, "big"),
            bytes(2),
            tag.to_bytes(4, "big"),
            bytes(4),
            bytes([flags, 0]),
            bytes(8),
        )
    )


def _time_us(
    router: FlowTagRouter, codec: PlatformCodec, datagrams: list[bytes]
) -> float:
    """Return the time to decode, route and encapsulate one packet."""
    started_s = time.perf_counter()
    for number in range(PACKETS):
        datagram = datagrams[number % len(datagrams)]
        decision = router.route(codec.decode(datagram))
        if decision.verdict in (Verdict.FORWARDED, Verdict.NEW_FLOW):
            start = decision.upstream.start
            codec.encapsulate(datagram, start.number, decision.upstream.tag)
    return (time.perf_counter() - started_s) / PACKETS * 1e6


def _best_s(work: Callable[[], object]) -> float:
    times_s = []
    for _ in range(5):
        started_s = time.perf_counter()
        work()
        times_s.append(time.perf_counter() - started_s)
    return min(times_s)
