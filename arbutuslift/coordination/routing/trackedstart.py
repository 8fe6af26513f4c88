"""A start of an upstream with what an entry instance knows of it."""

from attrs import define

from ...state.starts import Phase, UpstreamStart

# Weight of a new response time: about the last ten count.
RESPONSE_WEIGHT = 0.1
# Longer than the pauses of callers between requests.
RESPONSE_MAX_AGE_S = 5.0


@define(kw_only=True, eq=False)
class TrackedStart:
    """A start with what this instance knows of it.

    Attributes:
        start: The newest record.
        tag: Its flow tag.
        cold_until_s: End of its cold start, 0 if it isn't cold.
        gone_since_s: When it was learned to be gone.
        flow_count: Flows that this instance has seen there lately.
        is_lost: Whether no connection to it can be made, so that its flows are lost.
        is_remembered: Whether no control instance has heard of it since its own start.
        response_s: Smoothed time from a request to the first acknowledged answer.
        measured_s: When it was measured last.
    """

    start: UpstreamStart
    tag: int
    cold_until_s: float = 0.0
    gone_since_s: float = 0.0
    flow_count: int = 0
    is_lost: bool = False
    is_remembered: bool = False
    response_s: float = 0.0
    measured_s: float = 0.0

    def observe_response(self, duration_s: float, now_s: float) -> None:
        """Take one measured response time into the smoothed one."""
        self.measured_s = now_s
        if self.response_s == 0.0:
            self.response_s = duration_s
        self.response_s += RESPONSE_WEIGHT * (duration_s - self.response_s)

    def recent_response_s(self, now_s: float) -> float:
        """Return the smoothed response time, 0 if none was measured lately.

        An upstream that is avoided for being slow isn't measured; once the measure
        is old, new flows try the upstream again.
        """
        is_recent = now_s - self.measured_s < RESPONSE_MAX_AGE_S
        return self.response_s if is_recent else 0.0

    @property
    def is_gone(self) -> bool:
        """Return whether its flows have ended with it."""
        return self.start.phase is Phase.GONE
