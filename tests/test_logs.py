"""Logs: one line per event, log levels and the rate limit of events."""

import asyncio
import io
import logging

import pytest
import structlog

from arbutuslift import logs
from arbutuslift.clock import ManualClock


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def stream():
    return io.StringIO()


@pytest.fixture
def limiter(clock, stream):
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    yield logs.configure(instance="dc-1-1", level="info", clock=clock, stream=stream)
    structlog.reset_defaults()
    root.handlers[:] = handlers
    root.setLevel(level)


@pytest.mark.usefixtures("limiter")
def test_an_event_is_one_line_with_any_values(stream):
    logs.get_logger().info("packet_dropped", reason='a\nb "c"', count=2)
    logs.get_logger().debug("hidden")
    assert stream.getvalue() == (
        "timestamp=1970-01-01T00:16:40.000+00:00 level=info event=packet_dropped "
        'instance=dc-1-1 reason="a\\nb \\"c\\"" count=2\n'
    )


@pytest.mark.usefixtures("limiter")
def test_a_traceback_of_a_library_is_one_line(stream):
    try:
        raise ValueError("bad\nvalue")
    except ValueError:
        logging.getLogger("library").exception("failed")
    assert stream.getvalue().count("\n") == 1
    assert "event=library_error" in stream.getvalue()


async def test_repeated_events_are_dropped_and_counted(clock, stream, limiter):
    def log(count):
        for _ in range(count):
            logs.get_logger().info("flood")
        logs.get_logger().info("other")

    log(logs.EVENT_BURST + 5)
    assert stream.getvalue().count("event=flood") == logs.EVENT_BURST
    assert stream.getvalue().count("event=other") == 1
    await clock.advance(logs.EVENT_INTERVAL_S)
    log(1)
    assert "event=flood instance=dc-1-1 suppressed=5" in stream.getvalue()
    log(logs.EVENT_BURST + 2)
    task = asyncio.create_task(logs.report_suppressed_events(limiter, clock))
    await clock.advance(logs.EVENT_INTERVAL_S)
    task.cancel()
    assert "event=events_suppressed" in stream.getvalue()
    assert "of=flood suppressed=3" in stream.getvalue()


def test_the_limiter_evicts_old_events_at_its_bound(clock):
    limiter = logs.EventRateLimiter(clock, burst=1)
    for number in range(logs.MAX_TRACKED_EVENTS + 1):
        limiter(None, "info", {"event": str(number)})
    limiter(None, "info", {"event": "0"})
    with pytest.raises(structlog.DropEvent):
        limiter(None, "info", {"event": "0"})


async def test_lines_over_the_rate_limit_can_be_skipped_before_they_are_built(
    clock, stream, limiter
):
    """Guards against packets that are delayed by lines that aren't written."""
    for _ in range(logs.EVENT_BURST):
        assert not logs.should_drop("packet_dropped")
        logs.get_logger().info("packet_dropped")
    assert logs.should_drop("packet_dropped")
    assert logs.should_drop("packet_dropped")
    assert not logs.should_drop("another")
    assert logs.dropped_lines().values == {"budget": 2, "output": 0}
    clock.jump(logs.EVENT_INTERVAL_S)
    assert not logs.should_drop("packet_dropped")
    assert limiter.take_suppressed_counts() == {"packet_dropped": 2}
    assert stream.getvalue().count("\n") == logs.EVENT_BURST
