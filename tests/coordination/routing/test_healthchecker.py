"""Guards against resets of flows whose upstream is only slow."""

import asyncio

import pytest

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.routing.healthchecker import (
    Connector,
    ConnectResult,
    HealthChecker,
    TcpConnector,
)
from arbutuslift.coordination.routing.outlierdetector import OutlierDetector
from arbutuslift.coordination.routing.trackedstart import TrackedStart
from arbutuslift.state.starts import Phase

from ...builders import start


class ScriptedConnector(Connector):
    """Answers as told, after a moment."""

    def __init__(self, clock):
        self.clock = clock
        self.reachable = True
        self.failure = ConnectResult.SILENT
        self.calls = 0

    async def connect(self, address):
        self.calls += 1
        await self.clock.sleep(0.01)
        return ConnectResult.ACCEPTED if self.reachable else self.failure


class Bench:
    """A prober and one upstream."""

    def __init__(self):
        self.clock = ManualClock()
        self.judge = OutlierDetector(self.clock)
        self.connector = ScriptedConnector(self.clock)
        self.tasks = []
        self.lost = []
        self.prober = HealthChecker(
            self.clock, self.judge, self.connector, self.run, self.lost.append
        )
        self.known = TrackedStart(start=start(1), tag=1, cold_until_s=0.0)

    def run(self, work):
        self.tasks.append(asyncio.ensure_future(work))

    def check(self):
        for _ in range(2):
            self.judge.record_failure(self.known.start.key)
        self.prober.check(self.known)


@pytest.fixture
async def bench():
    opened = Bench()
    yield opened
    for task in opened.tasks:
        task.cancel()


async def test_an_upstream_that_accepts_connections_keeps_its_flows(bench):
    bench.check()
    await bench.clock.advance(1.0)
    assert not bench.known.is_lost
    assert not bench.judge.is_excluded(bench.known.start.key)
    assert bench.connector.calls == 1


async def test_one_lost_attempt_is_not_enough(bench):
    bench.connector.reachable = False
    bench.check()
    await bench.clock.advance(0.015)
    assert not bench.known.is_lost
    bench.connector.reachable = True
    await bench.clock.advance(0.1)
    assert not bench.known.is_lost


async def test_an_unreachable_upstream_is_lost_until_it_is_reached_again(bench):
    bench.connector.reachable = False
    bench.check()
    await bench.clock.advance(0.1)
    assert bench.known.is_lost
    bench.connector.reachable = True
    await bench.clock.advance(1.0)
    assert not bench.known.is_lost


async def test_probes_end_with_the_upstream(bench):
    bench.connector.reachable = False
    bench.check()
    await bench.clock.advance(1.0)
    bench.known.start = start(1, phase=Phase.GONE)
    await bench.clock.advance(1.0)
    calls = bench.connector.calls
    await bench.clock.advance(5.0)
    assert bench.connector.calls == calls


async def test_an_upstream_is_probed_once_at_a_time(bench):
    bench.connector.reachable = False
    bench.check()
    bench.prober.check(bench.known)
    assert len(bench.tasks) == 1


async def test_connections_over_tcp():
    server = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
    address = server.sockets[0].getsockname()
    assert await TcpConnector().connect(address) is ConnectResult.ACCEPTED
    server.close()
    await server.wait_closed()
    assert await TcpConnector().connect(address) is ConnectResult.REFUSED


async def test_a_refusal_is_certain_at_once(bench):
    bench.connector.reachable = False
    bench.connector.failure = ConnectResult.REFUSED
    bench.check()
    await bench.clock.advance(0.015)
    assert bench.known.is_lost
    assert bench.lost == [bench.known]


async def test_an_upstream_that_was_reached_is_trusted_for_a_while(bench):
    bench.check()
    await bench.clock.advance(0.1)
    bench.check()
    await bench.clock.advance(0.1)
    assert bench.connector.calls == 1
    await bench.clock.advance(0.5)
    bench.check()
    await bench.clock.advance(0.1)
    assert bench.connector.calls == 2


async def test_an_upstream_that_never_returns_costs_few_probes(bench):
    bench.connector.reachable = False
    bench.check()
    await bench.clock.advance(60.0)
    # Two attempts, three while the pause doubles, then one in 2 s.
    assert bench.connector.calls <= 2 + 3 + 60 / 2


async def test_a_loss_ends_soon_after_the_way_is_free_again(bench):
    bench.connector.reachable = False
    bench.check()
    await bench.clock.advance(60.0)
    bench.connector.reachable = True
    # Resets are excused for 4 s after a fault.
    await bench.clock.advance(3.0)
    assert not bench.known.is_lost
