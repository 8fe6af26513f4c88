"""Health of upstreams as one entry instance sees it: its parts and how they connect."""

from collections.abc import Callable

from ...clock import Clock
from .healthchecker import HealthChecker, TcpConnector
from .outlierdetector import OutlierDetector
from .reachability import Reachability
from .trackedstart import TrackedStart
from .upstreamdirectory import UpstreamDirectory


class UpstreamHealth:
    """Health checks, outliers, and data centres that can't be reached.

    Args:
        clock: Source of time.
        directory: Upstreams of this instance's view.
        data_centre: Data centre of this instance.
        spawn: Runs a coroutine as a task.
        on_lost: Called with each upstream that becomes lost.

    Attributes:
        outliers: Excludes upstreams that stop answering.
        reachability: What can be reached from here.
    """

    def __init__(
        self,
        clock: Clock,
        directory: UpstreamDirectory,
        data_centre: str,
        spawn: Callable[..., object],
        on_lost: Callable[[TrackedStart], None],
    ) -> None:
        self.outliers = OutlierDetector(clock)
        self.reachability = Reachability(directory, data_centre, self.check)
        self._checker = HealthChecker(
            clock,
            self.outliers,
            TcpConnector(),
            spawn,
            on_lost,
            self.reachability.references,
            self.reachability.record_answer,
            self.reachability.record_silence,
            self.reachability.is_beyond_reach,
        )

    def check(self, tracked: TrackedStart) -> None:
        """Check an upstream until it is reached or gone."""
        self._checker.check(tracked)
