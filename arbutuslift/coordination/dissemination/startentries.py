"""What a control instance keeps of each start of an upstream."""

from enum import Enum

from attrs import define

from ...state.starts import UpstreamStart


class Origin(Enum):
    """Source from which this instance received a start."""

    ANNOUNCED = "announced"
    SHARED = "shared"


@define(kw_only=True)
class StartEntry:
    """A start with the state of its announcements.

    Attributes:
        start: Newest record.
        last_contact_s: When this or another control instance last received an
            announcement.
        warm_report_s: When the newest report to this instance that says that it is warm
            was read; minus infinity if the newest one says that it is cold.
        warm_report_sent_s: When that report was sent, at the earliest.
        cold_until_s: End of the cold start.
        is_silent: Whether the announcements have stopped.
        position: Position of the last change in the feed.
        loss_reported_s: When the last loss report was recorded.
    """

    start: UpstreamStart
    last_contact_s: float
    cold_until_s: float
    is_silent: bool = False
    position: int = 0
    loss_reported_s: float = float("-inf")
    warm_report_s: float = float("-inf")
    warm_report_sent_s: float = float("-inf")

    def record_report(self, start: UpstreamStart, read_s: float, sent_s: float) -> None:
        """Note a report, unless it is older than the newest one or of another start.

        Reports are sent in the order of their sequence, on whichever connection.

        Args:
            start: What it says.
            read_s: When it was read.
            sent_s: When it was sent, at the earliest.
        """
        if start.key != self.start.key or start.sequence < self.start.sequence:
            return
        is_cold = start.warm_up_left_ms > 0
        self.warm_report_s = float("-inf") if is_cold else read_s
        self.warm_report_sent_s = max(self.warm_report_sent_s, sent_s)

    def is_warm_by_report_after(self, time_s: float) -> bool:
        """Return whether it says that it is warm in a report sent after a time."""
        return self.warm_report_s > float("-inf") and self.warm_report_sent_s > time_s


@define(kw_only=True)
class RestoredStart:
    """A start that a previous process saved.

    Attributes:
        start: Saved record.
        position: Its position in the feed.
    """

    start: UpstreamStart
    position: int
