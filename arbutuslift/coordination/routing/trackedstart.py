"""A start of an upstream with an entry instance's observations of it."""

from attrs import define

from ...state.routingtable import RoutingTable
from ...state.starts import Phase, UpstreamStart

# Weight of a new response time in the moving average, which spans about ten values.
RESPONSE_WEIGHT = 0.1
# Longer than callers pause between two requests.
RESPONSE_MAX_AGE_S = 5.0


@define(kw_only=True, eq=False)
class TrackedStart:
    """A start with this instance's observations of it.

    Attributes:
        start: The newest record.
        tag: Its flow tag.
        cold_until_s: End of its cold start, 0 if it isn't cold.
        gone_since_s: When this instance learned that it is gone.
        flow_count: Its flows that this instance tracks and that haven't ended.
        is_lost: Whether no connection to it can be made, so that its flows are lost.
        is_remembered: Whether control instances restored it from disk and haven't
            received its announcements since.
        response_s: Moving average of the time from a request to the first
            acknowledged answer.
        response_measured_s: When it was measured last.
    """

    start: UpstreamStart
    tag: int
    cold_until_s: float = 0.0
    gone_since_s: float = 0.0
    flow_count: int = 0
    is_lost: bool = False
    is_remembered: bool = False
    response_s: float = 0.0
    response_measured_s: float = 0.0

    def observe_response(self, duration_s: float, now_s: float) -> None:
        """Add a measured response time to the moving average."""
        self.response_measured_s = now_s
        if self.response_s == 0.0:
            self.response_s = duration_s
        self.response_s += RESPONSE_WEIGHT * (duration_s - self.response_s)

    def recent_response_s(self, now_s: float) -> float:
        """Return the average response time, 0 if the last measurement is too old.

        A slow upstream gets few flows and is hardly measured. Once its measurement is
        too old, it gets new flows again, which measure it anew.
        """
        is_recent = now_s - self.response_measured_s < RESPONSE_MAX_AGE_S
        return self.response_s if is_recent else 0.0

    def may_get_new_flows(self, table: RoutingTable) -> bool:
        """Return whether it is ready and its data centre is in service."""
        is_ready = self.start.phase is Phase.READY
        return is_ready and self.start.data_centre not in table.out_of_service

    @property
    def is_gone(self) -> bool:
        """Return whether the start is gone and its flows have ended with it."""
        return self.start.phase is Phase.GONE
