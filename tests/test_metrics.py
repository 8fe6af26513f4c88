"""Metrics: increments of counters, with and without a statsd server."""

import asyncio
import socket
from collections import Counter

import pytest

from arbutuslift.clock import ManualClock
from arbutuslift.metrics import FLUSH_INTERVAL_S, MetricsReporter, open_metrics
from arbutuslift.transport.fabric import Address


@pytest.fixture
def server():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(10.0)
        yield server


async def test_increments_of_counters_are_sent_at_each_interval(server):
    clock = ManualClock()
    counts = Counter(new_flow=3)
    metrics = open_metrics(Address(*server.getsockname()), "dc.1")
    reporter = MetricsReporter(metrics, clock)
    reporter.add_counter("packets", counts)
    reporter.add_gauge("flows", lambda: 7)
    task = asyncio.create_task(reporter.run())
    await clock.advance(FLUSH_INTERVAL_S)
    sent = set(server.recv(2000).decode().split("\n"))
    assert sent == {
        "arbutuslift.dc_1.packets.new_flow:3|c",
        "arbutuslift.dc_1.flows:7|g",
    }
    counts["new_flow"] += 1
    counts["refused"] += 2
    await clock.advance(FLUSH_INTERVAL_S)
    task.cancel()
    assert "packets.new_flow:1|c" in (sent := server.recv(2000).decode())
    assert "packets.refused:2|c" in sent
    metrics.close()


def test_metrics_are_discarded_without_a_server():
    metrics = open_metrics(None, "dc-1-1")
    reporter = MetricsReporter(metrics, ManualClock())
    reporter.add_counter("packets", Counter(a=1))
    reporter.add_gauge("flows", lambda: 7)
    reporter.report()
    metrics.close()


def test_an_unreachable_server_causes_no_error(server):
    address = Address(*server.getsockname())
    server.close()
    metrics = open_metrics(address, "dc-1-1")
    for _ in range(3):
        metrics.count("packets.new_flow", 1)
        metrics.flush()
    metrics.close()
