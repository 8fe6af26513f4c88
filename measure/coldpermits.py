"""New flows at a cold upstream while many entry instances ask for permits."""

import asyncio
import logging
import random

import structlog
from attrs import frozen

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.concurrency import TaskSet
from arbutuslift.coordination.dissemination.coldpermits import ColdPermits
from arbutuslift.coordination.dissemination.coldpermitserver import ColdPermitServer
from arbutuslift.coordination.dissemination.startregistry import StartRegistry
from arbutuslift.coordination.routing.coldadmission import EvenColdShares
from arbutuslift.protocol.channel import Channel
from arbutuslift.state.routingtable import RoutingTable, ServiceLimits
from arbutuslift.state.starts import UpstreamStart
from arbutuslift.transport.bus import MemoryNetwork

from .result import Measure, at_most

CONTROLS = ("c1", "c2", "c3", "c4", "c5")
COUNTS = (9, 50, 300)
LIMIT_PER_S = 4.0
DURATION_S = 8.0
STEP_S = 0.02
# New flows offered to each instance.
OFFERED_PER_S = 5.0
START = UpstreamStart(
    upstream_id="i-1",
    number=1,
    born_ms=1,
    service="alerts",
    ip="127.0.0.1",
    port=1,
    data_centre="dc-1",
)


@frozen(kw_only=True)
class ColdPlay:
    """What a cold upstream got.

    Attributes:
        peak: Highest number of new flows in any second.
        flows: Number of new flows.
        first_wait_s: Time from the first attempt to the first new flow.
    """

    peak: int
    flows: int
    first_wait_s: float


def measure() -> list[Measure]:
    """Let instances of several numbers open flows at one cold upstream."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    measures = []
    for count in COUNTS:
        play = asyncio.run(play_cold_start(count))
        measures.append(
            at_most(
                f"cold peak in a second, {count} entry instances, {LIMIT_PER_S:g}/s",
                play.peak,
                "flows",
                1.5 * LIMIT_PER_S + 5,
                note=f"{play.flows} in {DURATION_S:g} s",
            )
        )
        measures.append(
            Measure(
                name=f"cold service, {count} entry instances: first flow after",
                figure=round(play.first_wait_s, 3),
                unit="s",
            )
        )
    return measures


async def play_cold_start(
    count: int,
    limit_per_s: float = LIMIT_PER_S,
    *,
    restarted: int = 0,
    cut_off: int = 0,
) -> ColdPlay:
    """Play a cold start that all instances have just heard of.

    Args:
        count: Number of entry instances.
        limit_per_s: Limit of the upstream.
        restarted: Number of control instances that restart in the middle.
        cut_off: Number of entry instances that reach no control instance.
    """
    clock = ManualClock()
    network = MemoryNetwork(clock)
    for name in CONTROLS:
        _open_server(network, clock, name, limit_per_s)
    # Control instances run for longer than an interval before the start turns cold.
    await clock.advance(20.0)
    tasks = TaskSet(_raise)
    clients = [_client(network, clock, tasks, n) for n in range(count)]
    lonely = [f"e{n}" for n in range(cut_off)]
    network.partition(lonely, [*CONTROLS, *(f"e{n}" for n in range(cut_off, count))])
    rng = random.Random(1)
    began_s, opened_s = clock.monotonic_s(), []
    while clock.monotonic_s() < began_s + DURATION_S:
        await clock.advance(STEP_S)
        for client in clients:
            is_offered = rng.random() < OFFERED_PER_S * STEP_S
            if is_offered and client.may_open(START, limit_per_s, count):
                client.record_flow(START.key)
                opened_s.append(clock.monotonic_s())
        if restarted and clock.monotonic_s() > began_s + DURATION_S / 2:
            for name in CONTROLS[:restarted]:
                _open_server(network, clock, name, limit_per_s)
            restarted = 0
    await tasks.close()
    return ColdPlay(
        peak=max(
            (sum(s <= t < s + 1.0 for t in opened_s) for s in opened_s), default=0
        ),
        flows=len(opened_s),
        first_wait_s=opened_s[0] - began_s if opened_s else float("inf"),
    )


def _open_server(
    network: MemoryNetwork, clock: ManualClock, name: str, limit_per_s: float
) -> None:
    limits = ServiceLimits(
        name=START.service,
        max_connections=2000,
        cold_new_flows_per_s=limit_per_s,
        cold_start_s=60.0,
    )
    table = RoutingTable(revision=1, version=1, services=(limits,))
    registry = StartRegistry(clock, 1.0, lambda: None)
    registry.announce(START)
    others = tuple(other for other in CONTROLS if other != name)
    channel = Channel(network.bus(name))
    ColdPermitServer(channel, clock, registry, lambda: table, lambda: others)


def _client(
    network: MemoryNetwork, clock: ManualClock, tasks: TaskSet, number: int
) -> ColdPermits:
    rng = random.Random(number)
    client = ColdPermits(
        Channel(network.bus(f"e{number}")),
        clock,
        tasks.spawn,
        rng,
        EvenColdShares(clock, rng),
        lambda: None,
    )
    client.set_controls(CONTROLS)
    return client


def _raise(error: Exception) -> None:
    raise error
