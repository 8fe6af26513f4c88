"""Counters and gauges that are sent to a statsd server."""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable, Mapping

import statsd

from .clock import Clock
from .transport.fabric import Address

FLUSH_INTERVAL_S = 5.0
PREFIX = "arbutuslift"


class Metrics(ABC):
    """Destination of counters and gauges."""

    @abstractmethod
    def count(self, name: str, delta: int) -> None:
        """Add ``delta`` to a counter."""

    @abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""

    @abstractmethod
    def flush(self) -> None:
        """Send the values that were recorded since the last flush."""

    @abstractmethod
    def close(self) -> None:
        """Close the socket."""


class NoOpMetrics(Metrics):
    """Discards all metrics."""

    def count(self, name: str, delta: int) -> None:
        """Do nothing."""

    def gauge(self, name: str, value: float) -> None:
        """Do nothing."""

    def flush(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


class StatsdMetrics(Metrics):
    """Sends metrics as ``arbutuslift.INSTANCE.NAME`` over UDP.

    Args:
        address: Address of the statsd server.
        instance: Name of this instance; dots are replaced by underscores.
    """

    def __init__(self, address: Address, instance: str) -> None:
        prefix = f"{PREFIX}.{instance.replace('.', '_')}"
        self._client = statsd.StatsClient(address.ip, address.port, prefix=prefix)
        self._pipeline = self._client.pipeline()

    def count(self, name: str, delta: int) -> None:
        """Add ``delta`` to a counter."""
        self._pipeline.incr(name, delta)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._pipeline.gauge(name, value)

    def flush(self) -> None:
        """Send the values that were recorded since the last flush, without retry."""
        self._pipeline.send()

    def close(self) -> None:
        """Send the remaining values and close the socket."""
        self.flush()
        self._client.close()


def open_metrics(address: Address | None, instance: str) -> Metrics:
    """Return metrics that are sent to ``address``, or discarded without one."""
    return StatsdMetrics(address, instance) if address else NoOpMetrics()


class MetricsReporter:
    """Sends the increments of counters and the values of gauges periodically.

    The packet path only increments a :class:`collections.Counter`.

    Args:
        metrics: Destination of the values.
        clock: Source of time.
    """

    def __init__(self, metrics: Metrics, clock: Clock) -> None:
        self._metrics = metrics
        self._clock = clock
        self._counters: dict[str, Mapping[str, int]] = {}
        self._sent: dict[str, Counter[str]] = {}
        self._gauges: dict[str, Callable[[], float]] = {}

    def add_counter(self, group: str, counter: Mapping[str, int]) -> None:
        """Report the increments of each entry as ``GROUP.ENTRY``."""
        self._counters[group] = counter
        self._sent[group] = Counter()

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Report the value that ``read`` returns."""
        self._gauges[name] = read

    async def run(self) -> None:
        """Report at each interval until cancelled."""
        while True:
            await self._clock.sleep(FLUSH_INTERVAL_S)
            self.report()

    def report(self) -> None:
        """Report once."""
        for group, counter in self._counters.items():
            sent = self._sent[group]
            for name, value in list(counter.items()):
                if value != sent[name]:
                    self._metrics.count(f"{group}.{name}", value - sent[name])
                    sent[name] = value
        for name, read in self._gauges.items():
            self._metrics.gauge(name, read())
        self._metrics.flush()
