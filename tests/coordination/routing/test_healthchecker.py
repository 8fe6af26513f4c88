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
    """Returns a configured result after 10 ms."""

    def __init__(self, clock):
        self.clock = clock
        self.reachable = True
        self.failure = ConnectResult.SILENT
        self.calls = 0

    async def connect(self, address):
        self.calls += 1
        await self.clock.sleep(0.01)
        return ConnectResult.ACCEPTED if self.reachable else self.failure


class CheckerHarness:
    """A health checker and one upstream."""

    def __init__(self):
        self.clock = ManualClock()
        self.outlier_detector = OutlierDetector(self.clock)
        self.connector = ScriptedConnector(self.clock)
        self.tasks = []
        self.lost = []
        self.checker = HealthChecker(
            self.clock,
            self.outlier_detector,
            self.connector,
            self.run,
            self.lost.append,
        )
        self.tracked = TrackedStart(start=start(1), tag=1, cold_until_s=0.0)

    def run(self, work):
        self.tasks.append(asyncio.ensure_future(work))

    def check_after_failures(self):
        for _ in range(2):
            self.outlier_detector.record_failure(self.tracked.start.key)
        self.checker.check(self.tracked)


@pytest.fixture
async def harness():
    opened = CheckerHarness()
    yield opened
    for task in opened.tasks:
        task.cancel()


async def test_upstream_that_accepts_connections_is_not_lost(harness):
    harness.check_after_failures()
    await harness.clock.advance(1.0)
    assert not harness.tracked.is_lost
    assert not harness.outlier_detector.is_excluded(harness.tracked.start.key)
    assert harness.connector.calls == 1


async def test_one_attempt_without_an_answer_is_not_enough(harness):
    harness.connector.reachable = False
    harness.check_after_failures()
    await harness.clock.advance(0.015)
    assert not harness.tracked.is_lost
    harness.connector.reachable = True
    await harness.clock.advance(0.1)
    assert not harness.tracked.is_lost


async def test_an_unreachable_upstream_is_lost_until_it_is_reached_again(harness):
    harness.connector.reachable = False
    harness.check_after_failures()
    await harness.clock.advance(0.1)
    assert harness.tracked.is_lost
    harness.connector.reachable = True
    await harness.clock.advance(1.0)
    assert not harness.tracked.is_lost


async def test_checks_end_when_the_upstream_is_gone(harness):
    harness.connector.reachable = False
    harness.check_after_failures()
    await harness.clock.advance(1.0)
    harness.tracked.start = start(1, phase=Phase.GONE)
    await harness.clock.advance(1.0)
    calls = harness.connector.calls
    await harness.clock.advance(5.0)
    assert harness.connector.calls == calls


async def test_one_check_of_an_upstream_runs_at_a_time(harness):
    harness.connector.reachable = False
    harness.check_after_failures()
    harness.checker.check(harness.tracked)
    assert len(harness.tasks) == 1


async def test_connections_over_tcp():
    server = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
    address = server.sockets[0].getsockname()
    assert await TcpConnector().connect(address) is ConnectResult.ACCEPTED
    server.close()
    await server.wait_closed()
    assert await TcpConnector().connect(address) is ConnectResult.REFUSED


async def test_one_refusal_is_enough(harness):
    harness.connector.reachable = False
    harness.connector.failure = ConnectResult.REFUSED
    harness.check_after_failures()
    await harness.clock.advance(0.015)
    assert harness.tracked.is_lost
    assert harness.lost == [harness.tracked]


async def test_reached_upstream_is_not_checked_again_at_once(harness):
    harness.check_after_failures()
    await harness.clock.advance(0.1)
    harness.check_after_failures()
    await harness.clock.advance(0.1)
    assert harness.connector.calls == 1
    await harness.clock.advance(0.5)
    harness.check_after_failures()
    await harness.clock.advance(0.1)
    assert harness.connector.calls == 2


async def test_upstream_that_never_returns_gets_few_attempts(harness):
    harness.connector.reachable = False
    harness.check_after_failures()
    await harness.clock.advance(60.0)
    # Two attempts, three while the delay doubles, then one every 2 s.
    assert harness.connector.calls <= 2 + 3 + 60 / 2


async def test_loss_ends_soon_after_the_upstream_is_reachable_again(harness):
    harness.connector.reachable = False
    harness.check_after_failures()
    await harness.clock.advance(60.0)
    harness.connector.reachable = True
    # Resets are permitted for 4 s after a fault.
    await harness.clock.advance(3.0)
    assert not harness.tracked.is_lost
