"""Control traffic, processor time and memory of one instance."""

import asyncio
import gc
import os
import random
import time
import tracemalloc

import numpy as np
from attrs import evolve, frozen

from arbutuslift.protocol.document import Configuration, DataCentre, Document
from arbutuslift.transport.zmqbus import ZmqBus

from .population import FIRST_REVISION, Population, make_upstream
from .result import Measure

INSTANCES = (9, 36, 150, 500)
UPSTREAMS = (10, 100, 1000, 16000)
CHANGES_PER_S = (0, 1, 4)
BASE_INSTANCES = 36
REVISION_INSTANCES = 150
BASE_UPSTREAMS = 100
BASE_CHANGES_PER_S = 1
WARM_UP_S = 5.0
DURATION_S = 10
BUS_REQUESTS = 3000
BUS_CONNECTIONS = 300
TARGET_INSTANCES = 1500
# Instances of the sweep over upstreams: 16,000 records are held 9 times instead of 36
# times.
SMALL_POPULATION = 9

TARGET_BYTES_S = 5 * 1024
TARGET_CORE = 0.012
TARGET_MEMORY_MB = 256


@frozen(kw_only=True)
class Cost:
    """Cost of control traffic and state for one instance.

    Attributes:
        sent_bytes_s: Bytes sent per second.
        messages_s: Messages sent per second.
        core: Fraction of a processor core, without the time for sockets.
        memory_mb: Memory of its state.
    """

    sent_bytes_s: float
    messages_s: float
    core: float
    memory_mb: float


def measure() -> list[Measure]:
    """Measure the cost by number of instances, number of upstreams and change rate."""
    request_s = asyncio.run(_bus_request_s())
    measures = [
        Measure(
            name="processor time of one request on ZmqBus, both ends",
            figure=round(request_s * 1e6),
            unit="us",
            note="clear text on loopback, one process",
        )
    ]
    connection_kb = asyncio.run(_connection_kb())
    connections_mb = connection_kb * TARGET_INSTANCES / 1024
    measures.append(
        Measure(
            name=f"memory of connections with {TARGET_INSTANCES} instances",
            figure=round(connections_mb),
            unit="MB",
            target=TARGET_MEMORY_MB,
            passes=connections_mb <= TARGET_MEMORY_MB,
            note=f"from {BUS_CONNECTIONS} connections, {connection_kb:.0f} KB each",
        )
    )
    measures += _sweep(
        "instances",
        [(n, (n, BASE_UPSTREAMS, BASE_CHANGES_PER_S)) for n in INSTANCES],
        request_s,
    )
    measures += _sweep(
        "upstreams",
        [(n, (SMALL_POPULATION, n, BASE_CHANGES_PER_S)) for n in UPSTREAMS],
        request_s,
    )
    measures += _sweep(
        "changes/s",
        [(n, (BASE_INSTANCES, BASE_UPSTREAMS, n)) for n in CHANGES_PER_S],
        request_s,
    )
    after_revision = asyncio.run(
        _cost(REVISION_INSTANCES, BASE_UPSTREAMS, BASE_CHANGES_PER_S, has_revision=True)
    )
    measures.append(
        Measure(
            name=f"bytes sent after a new revision, {REVISION_INSTANCES} instances",
            figure=round(after_revision.sent_bytes_s),
            unit="B/s",
            target=TARGET_BYTES_S,
            passes=after_revision.sent_bytes_s <= TARGET_BYTES_S,
            note=f"per instance, over {DURATION_S} s",
        )
    )
    return measures


def _sweep(
    variable: str, settings: list[tuple[int, tuple[int, int, int]]], request_s: float
) -> list[Measure]:
    values = [value for value, _ in settings]
    costs = [asyncio.run(_cost(*setting)) for _, setting in settings]
    measures = []
    for value, cost in zip(values, costs, strict=True):
        # A request has two messages, each handled once at this instance.
        core = cost.core + cost.messages_s / 2 * request_s
        figures = (
            ("bytes sent", cost.sent_bytes_s, "B/s", TARGET_BYTES_S, 0),
            ("processor time", core, "core", TARGET_CORE, 5),
            ("memory of state", cost.memory_mb, "MB", TARGET_MEMORY_MB, 2),
        )
        for name, figure, unit, target, digits in figures:
            measures.append(
                Measure(
                    name=f"{name}, {value} {variable}",
                    figure=round(figure, digits),
                    unit=unit,
                    target=target,
                    passes=figure <= target,
                    note="per instance; simulation plus ZmqBus time per message",
                )
            )
    return measures + _slopes(variable, values, costs)


def _slopes(variable: str, values: list[int], costs: list[Cost]) -> list[Measure]:
    series = (
        ("bytes sent", [cost.sent_bytes_s for cost in costs], "B/s"),
        ("processor time", [cost.core for cost in costs], "core"),
        ("memory of state", [cost.memory_mb for cost in costs], "MB"),
    )
    return [
        Measure(
            name=f"slope of {name} over {variable}",
            figure=float(f"{np.polyfit(values, figures, 1)[0]:.3g}"),
            unit=f"{unit} for each",
        )
        for name, figures, unit in series
    ]


async def _cost(
    instances: int, upstreams: int, changes_per_s: int, *, has_revision: bool = False
) -> Cost:
    memory_mb = _memory_mb(instances, upstreams)
    population = Population(instances, upstreams=upstreams)
    await population.start(WARM_UP_S)
    network = population.network
    network.messages = network.size_bytes = 0
    if has_revision:
        changed = Document(data_centres=(DataCentre(name="dc-0"),))
        revision = Configuration(revision=FIRST_REVISION + 1, document=changed)
        population.nodes[0].membership.active_configuration.activate_if_newer(revision)
    rng = random.Random(1)
    weights = {}
    started_s = time.process_time()
    for _ in range(DURATION_S):
        for _ in range(changes_per_s):
            number = rng.randrange(upstreams)
            weights[number] = weights.get(number, 100) + 1
            record = evolve(
                make_upstream(number),
                weight=weights[number],
                sequence=weights[number],
            )
            node = rng.choice(population.nodes)
            node.membership.gossip.publish("upstream", record)
        await population.clock.advance(1.0)
    core = (time.process_time() - started_s) / DURATION_S / instances
    await population.stop()
    return Cost(
        sent_bytes_s=network.size_bytes / DURATION_S / instances,
        messages_s=network.messages / DURATION_S / instances,
        core=core,
        memory_mb=memory_mb,
    )


def _memory_mb(instances: int, upstreams: int) -> float:
    tracemalloc.start()
    population = Population(instances, upstreams=upstreams, is_first_only=True)
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del population
    return size_bytes / 2**20


async def _connection_kb() -> float:
    """Return the resident memory of one connection, for both ends."""
    server = ZmqBus("server")
    await server.open("tcp://127.0.0.1:0")

    async def answer(sender: str, body: bytes) -> bytes:
        return body

    server.handler = answer
    client = ZmqBus("client")
    await client.open("tcp://127.0.0.1:0")
    before_bytes = _resident_bytes()
    for number in range(BUS_CONNECTIONS):
        client.connect(f"peer-{number}", server.endpoint)
        await client.request(f"peer-{number}", b"x", 10.0)
    size_bytes = _resident_bytes() - before_bytes
    await client.close()
    await server.close()
    return size_bytes / BUS_CONNECTIONS / 1024


def _resident_bytes() -> int:
    gc.collect()
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


async def _bus_request_s() -> float:
    left, right = ZmqBus("left"), ZmqBus("right")
    await left.open("tcp://127.0.0.1:0")
    await right.open("tcp://127.0.0.1:0")
    left.connect("right", right.endpoint)

    async def answer(sender: str, body: bytes) -> bytes:
        return body

    right.handler = answer
    await left.request("right", bytes(150), 10.0)
    started_s = time.process_time()
    for _ in range(BUS_REQUESTS):
        await left.request("right", bytes(150), 10.0)
    elapsed_s = time.process_time() - started_s
    await left.close()
    await right.close()
    return elapsed_s / BUS_REQUESTS


if __name__ == "__main__":
    for result in measure():
        print(result)
