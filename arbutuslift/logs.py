"""Logs: one key=value line per event."""

import datetime
import logging
import sys
from typing import TYPE_CHECKING, TextIO

import structlog
from attrs import define, frozen

from .clock import Clock
from .logstream import NonBlockingStream

if TYPE_CHECKING:
    from .metricfamilies import Counts

LineStream = TextIO | NonBlockingStream

KEY_ORDER = ("timestamp", "level", "event", "instance")
SUPPRESSED_EVENT = "events_suppressed"

# An event that is logged for each packet would fill the disk and delay the packets.
EVENT_BURST = 10
EVENT_INTERVAL_S = 10.0
MAX_TRACKED_EVENTS = 1000


@define
class _Window:
    """Counts of the events of one name since ``start_s``."""

    start_s: float
    passed: int = 0
    suppressed: int = 0


class EventRateLimiter:
    """Structlog processor that limits the rate of events of each name.

    Args:
        clock: Source of time.
        burst: Most events of one name that pass in an interval.
        interval_s: Length of an interval.

    Attributes:
        dropped_lines: Number of events dropped so far.
    """

    def __init__(
        self,
        clock: Clock,
        burst: int = EVENT_BURST,
        interval_s: float = EVENT_INTERVAL_S,
    ) -> None:
        self._clock = clock
        self._burst = burst
        self._interval_s = interval_s
        self._windows: dict[str, _Window] = {}
        self.dropped_lines = 0

    def __call__(
        self, logger: object, method: str, event_dict: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        """Return the event, or count it and raise ``DropEvent``."""
        del logger, method
        name = str(event_dict.get("event"))
        now_s = self._clock.monotonic_s()
        window = self._windows.get(name)
        if window is None or now_s - window.start_s >= self._interval_s:
            if window is not None and window.suppressed:
                event_dict["suppressed"] = window.suppressed
            window = self._open_window(name, now_s)
        if window.passed >= self._burst:
            window.suppressed += 1
            self.dropped_lines += 1
            raise structlog.DropEvent
        window.passed += 1
        return event_dict

    def should_drop(self, name: str) -> bool:
        """Return whether an event would be dropped now; if so, count it as dropped.

        Asking first avoids building a line that would not be written.
        """
        window = self._windows.get(name)
        if window is None or window.passed < self._burst:
            return False
        if self._clock.monotonic_s() - window.start_s >= self._interval_s:
            return False
        window.suppressed += 1
        self.dropped_lines += 1
        return True

    def take_suppressed_counts(self) -> dict[str, int]:
        """Return how many events of ended intervals were dropped, and reset them."""
        now_s = self._clock.monotonic_s()
        ended = [
            name
            for name, window in self._windows.items()
            if now_s - window.start_s >= self._interval_s
        ]
        windows = {name: self._windows.pop(name) for name in ended}
        return {
            name: window.suppressed
            for name, window in windows.items()
            if window.suppressed
        }

    def _open_window(self, name: str, now_s: float) -> _Window:
        self._windows.pop(name, None)
        if len(self._windows) >= MAX_TRACKED_EVENTS:
            del self._windows[next(iter(self._windows))]
        window = self._windows[name] = _Window(now_s)
        return window


@frozen(kw_only=True)
class _Output:
    """Output of the log lines of this process.

    Attributes:
        limiter: Limits the rate of events.
        stream: Stream to which lines are written.
    """

    limiter: EventRateLimiter
    stream: LineStream


# The output that was configured last, if any. Like the configuration of structlog it
# holds for the whole process.
_outputs: list[_Output] = []


class LibraryHandler(logging.Handler):
    """Logs the records of libraries that use :mod:`logging` as events."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record as one event."""
        get_logger().log(
            record.levelno,
            f"library_{record.levelname.lower()}",
            logger=record.name,
            message=record.getMessage(),
            exc_info=record.exc_info,
        )


def configure(
    *,
    instance: str,
    level: str,
    clock: Clock,
    stream: LineStream | None = None,
    burst: int = EVENT_BURST,
    interval_s: float = EVENT_INTERVAL_S,
) -> EventRateLimiter:
    """Configure logging for the process.

    Args:
        instance: Name of this instance.
        level: ``debug``, ``info``, ``warning`` or ``error``.
        clock: Source of time.
        stream: Stream to which lines are written; standard error by default.
        burst: Most events of one name that pass in an interval.
        interval_s: Length of an interval.

    Returns:
        The limiter, for :func:`report_suppressed_events`.
    """
    number = logging.getLevelNamesMapping()[level.upper()]
    limiter = EventRateLimiter(clock, burst, interval_s)
    _outputs[:] = [_Output(limiter=limiter, stream=stream or sys.stderr)]

    def add_context(
        logger: object, method: str, event_dict: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        del logger, method
        now = datetime.datetime.fromtimestamp(clock.wall_s(), datetime.UTC)
        event_dict["timestamp"] = now.isoformat(timespec="milliseconds")
        event_dict["instance"] = instance
        return event_dict

    structlog.configure(
        processors=[
            limiter,
            structlog.processors.add_log_level,
            add_context,
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(key_order=KEY_ORDER),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(number),
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=False,
    )
    logging.basicConfig(
        handlers=[LibraryHandler()], level=max(number, logging.WARNING), force=True
    )
    return limiter


def get_logger() -> structlog.typing.FilteringBoundLogger:
    """Return a logger: ``get_logger().info("event_name", key=value)``."""
    return structlog.get_logger()


def should_drop(name: str) -> bool:
    """Return whether an event exceeds its rate now; if so, count it as dropped."""
    return any(output.limiter.should_drop(name) for output in _outputs)


def dropped_lines() -> "Counts":
    """Return the number of log lines that this process dropped, by reason."""
    from .metricfamilies import Counts

    values = dict.fromkeys(("budget", "output"), 0)
    for output in _outputs:
        values["budget"] += output.limiter.dropped_lines
        if isinstance(output.stream, NonBlockingStream):
            values["output"] += output.stream.lost_lines
    return Counts(
        name="arbutuslift_log_lines_dropped",
        help_text=(
            "Lines over the budget of their event, or that the output didn't take."
        ),
        label="reason",
        values=values,
    )


async def report_suppressed_events(limiter: EventRateLimiter, clock: Clock) -> None:
    """Log periodically how many events were dropped, until cancelled."""
    while True:
        await clock.sleep(EVENT_INTERVAL_S)
        for name, count in limiter.take_suppressed_counts().items():
            get_logger().warning(SUPPRESSED_EVENT, of=name, suppressed=count)
