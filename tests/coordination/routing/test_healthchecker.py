"""Guards against resets of flows whose upstream is only slow."""

import asyncio
import contextlib
import errno
import socket

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

REFERENCE = start(2)


class ScriptedConnector(Connector):
    """Returns a configured result after 10 ms, for the reference another one."""

    def __init__(self, clock):
        self.clock = clock
        self.reachable = True
        self.failure = ConnectResult.SILENT
        self.reference_result = ConnectResult.ACCEPTED
        self.calls = 0
        self.timeouts_s = []
        self.round_trip_s = 0.01

    async def connect(self, address, timeout_s):
        if address == REFERENCE.address:
            await self.clock.sleep(self.round_trip_s)
            return self.reference_result
        self.calls += 1
        self.timeouts_s.append(timeout_s)
        await self.clock.sleep(self.round_trip_s)
        return ConnectResult.ACCEPTED if self.reachable else self.failure


class CheckerHarness:
    """A health checker and one upstream."""

    def __init__(self):
        self.clock = ManualClock()
        self.outlier_detector = OutlierDetector(self.clock)
        self.connector = ScriptedConnector(self.clock)
        self.tasks = []
        self.lost = []
        self.reference = TrackedStart(start=REFERENCE, tag=2)
        self.checker = HealthChecker(
            self.clock,
            self.outlier_detector,
            self.connector,
            self.run,
            self.lost.append,
            lambda tracked: [self.reference] if self.reference else [],
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


async def test_two_attempts_without_an_answer_are_not_enough(harness):
    harness.connector.reachable = False
    harness.check_after_failures()
    await harness.clock.advance(0.025)
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
    assert await TcpConnector().connect(address, 5.0) is ConnectResult.ACCEPTED
    server.close()
    await server.wait_closed()
    assert await TcpConnector().connect(address, 5.0) is ConnectResult.REFUSED


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
    # Three attempts, three while the delay doubles, then one every 2 s.
    assert harness.connector.calls <= 3 + 3 + 60 / 2


async def test_loss_ends_soon_after_the_upstream_is_reachable_again(harness):
    harness.connector.reachable = False
    harness.check_after_failures()
    await harness.clock.advance(60.0)
    harness.connector.reachable = True
    # Resets are permitted for 4 s after a fault.
    await harness.clock.advance(3.0)
    assert not harness.tracked.is_lost


@pytest.mark.parametrize("result", [ConnectResult.SILENT, ConnectResult.INCONCLUSIVE])
async def test_silence_of_all_upstreams_is_that_of_this_instance(harness, result):
    """Guards against resets of flows because the own link or processor is busy."""
    harness.connector.reachable = False
    harness.connector.reference_result = result
    harness.check_after_failures()
    await harness.clock.advance(10.0)
    assert harness.lost == []
    harness.connector.reference_result = ConnectResult.ACCEPTED
    await harness.clock.advance(3.0)
    assert harness.lost == [harness.tracked]


async def test_attempts_that_say_nothing_never_lose_an_upstream(harness):
    """Guards against losses found by a process that was paused meanwhile."""
    harness.connector.reachable = False
    harness.connector.failure = ConnectResult.INCONCLUSIVE
    harness.check_after_failures()
    await harness.clock.advance(30.0)
    assert harness.lost == []
    # One attempt at a time, with growing delays.
    assert harness.connector.calls <= 3 + 30 / 2


async def test_a_reference_that_refuses_shows_that_the_path_works(harness):
    harness.connector.reachable = False
    harness.connector.reference_result = ConnectResult.REFUSED
    harness.check_after_failures()
    await harness.clock.advance(0.1)
    assert harness.lost == [harness.tracked]


async def test_one_reference_that_answers_is_enough(harness):
    """Guards against an instance that takes a cut of all others for its own silence."""
    harness.reference = None
    answering = TrackedStart(start=REFERENCE, tag=2)
    silent = TrackedStart(start=start(3), tag=3)
    harness.checker._references = lambda tracked: [silent, answering]
    harness.connector.reachable = False
    harness.check_after_failures()
    await harness.clock.advance(0.1)
    assert harness.lost == [harness.tracked]


async def test_without_another_upstream_silence_counts(harness):
    harness.reference = None
    harness.connector.reachable = False
    harness.check_after_failures()
    await harness.clock.advance(0.1)
    assert harness.lost == [harness.tracked]


async def test_slow_answers_lengthen_the_time_out(harness):
    """Guards against losses on an instance that itself takes long for everything."""
    harness.connector.round_trip_s = 0.2
    for _ in range(3):
        harness.check_after_failures()
        await harness.clock.advance(2.0)
    assert harness.connector.timeouts_s[0] < harness.connector.round_trip_s
    assert harness.connector.timeouts_s[-1] > harness.connector.round_trip_s


@pytest.mark.parametrize(
    ("max_lateness_s", "expected"),
    [(60.0, ConnectResult.SILENT), (0.0, ConnectResult.INCONCLUSIVE)],
)
async def test_a_time_out_noticed_late_says_nothing(max_lateness_s, expected):
    """Guards against silence that is only that of a paused process."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(
            socket.create_server(("127.0.0.1", 0), backlog=0)
        )
        address = listener.getsockname()
        # The queue of the listener is filled, so that it answers no more.
        for _ in range(4):
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(address)
        connector = TcpConnector(max_lateness_s)
        assert await connector.connect(address, 0.05) is expected


async def test_errors_of_this_machine_say_nothing(monkeypatch):
    """Guards against losses because this process has no descriptor left."""

    async def fail(*address):
        raise OSError(errno.EMFILE, "too many open files")

    monkeypatch.setattr(asyncio, "open_connection", fail)
    result = await TcpConnector().connect(("127.0.0.1", 1), 1.0)
    assert result is ConnectResult.INCONCLUSIVE
