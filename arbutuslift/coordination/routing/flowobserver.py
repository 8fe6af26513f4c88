"""Interface through which a router reports flows, requests and answers."""

from ...state.starts import UpstreamStart


class FlowObserver:
    """Receives what a router sees of flows; this base class ignores it."""

    def record_arrival(self, service: str, start: UpstreamStart | None) -> None:
        """Record a new flow.

        Args:
            service: Name of its service.
            start: Start that it was sent to, None if it was rejected.
        """

    def open_flow(self, flow: bytes, start: UpstreamStart, *, is_opening: bool) -> None:
        """Record that the router begins to track a flow.

        Args:
            flow: Key of the flow.
            start: Start that holds it.
            is_opening: Whether its SYN has just been sent and isn't answered yet.
        """

    def close_flow(self, start: UpstreamStart) -> None:
        """Record that a flow no longer counts as open."""

    def begin_request(
        self, flow: bytes, start: UpstreamStart, timeout_s: float
    ) -> None:
        """Record a data packet on a flow without an outstanding request.

        Args:
            flow: Key of the flow.
            start: Start that holds it.
            timeout_s: Time after which the caller gives up, 0 if it isn't known.
        """

    def record_progress(self, flow: bytes) -> None:
        """Record a packet by which the caller shows that its flow is open."""

    def end_request(self, flow: bytes, response_s: float | None) -> None:
        """Record that nothing is outstanding on a flow any more; may be repeated.

        Args:
            flow: Key of the flow.
            response_s: Measured response time, None if there was no answer or if the
                time isn't known.
        """

    def record_failure(self, start: UpstreamStart) -> None:
        """Record a flow or request that got no answer in time."""

    def expire(self) -> None:
        """Remove what has outlived its time-out; called at least every second."""
