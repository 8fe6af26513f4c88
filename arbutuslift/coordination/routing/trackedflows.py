"""Flows that an entry instance tracks, and requests without an answer."""

from enum import StrEnum

from attrs import define, frozen

from .trackedstart import TrackedStart


@define(eq=False)
class TrackedFlow:
    """A flow, as far as its packets passed through this instance.

    Attributes:
        upstream: The start that holds it.
        last_seen_s: Arrival time of its last packet.
        opened_s: When its SYN was forwarded; on a flow that another instance opened,
            when its first packet arrived here.
        is_open: Whether a packet after the SYN has arrived.
        ack: Last acknowledgement number of the caller.
        sent_seq: Sequence number of the newest data.
        sent_s: When that data was first forwarded.
        is_awaiting_answer: Whether the caller has acknowledged nothing since.
        request: First packet of the pending request, empty if it isn't retained.
        is_counted: Whether it counts as load of the upstream.
        is_failure_recorded: Whether a failure of the upstream was recorded for it since
            the last answer.
        answered_s: When the first packet after the SYN arrived.
        hedge: The same flow at the second upstream that its SYN was sent to, until a
            packet of the caller tells which one holds the flow.
    """

    upstream: TrackedStart
    last_seen_s: float
    opened_s: float
    is_open: bool = False
    ack: int = -1
    sent_seq: int = -1
    sent_s: float = 0.0
    is_awaiting_answer: bool = False
    request: bytes = b""
    is_counted: bool = True
    is_failure_recorded: bool = False
    answered_s: float = 0.0
    hedge: "TrackedFlow | None" = None

    def add_hedge(self, upstream: TrackedStart, now_s: float) -> "TrackedFlow":
        """Return the same flow at a second upstream, whose load it counts as."""
        self.hedge = TrackedFlow(upstream, now_s, now_s)
        upstream.flow_count += 1
        return self.hedge

    def settle(self, upstream: TrackedStart, now_s: float) -> "TrackedFlow":
        """Return the flow at the upstream whose answer the caller has acknowledged.

        The one at the other upstream ends. If that is the second one, it hasn't failed:
        the first one was only earlier.
        """
        hedge, self.hedge = self.hedge, None
        if hedge is None:
            self.answered_s = now_s
            return self
        kept, other = (hedge, self) if hedge.upstream is upstream else (self, hedge)
        other.uncount()
        hedge.is_open = True
        kept.answered_s = now_s
        return kept

    def uncount(self) -> None:
        """Stop counting the flow as load of its upstream, or of both upstreams."""
        if self.is_counted:
            self.is_counted = False
            self.upstream.flow_count -= 1
        if self.hedge is not None:
            self.hedge.uncount()


class EndReason(StrEnum):
    """Why a request is no longer awaited."""

    IDLE = "idle"
    CALLER_ENDED = "caller_ended"
    CALLER_RESET = "caller_reset"
    REOPENED = "reopened"
    RESET_HERE = "reset_here"
    FORGOTTEN = "forgotten"


@frozen(kw_only=True)
class UnansweredRequest:
    """A request that got no answer while this instance tracked its flow.

    Attributes:
        flow: The flow.
        upstream: The start that received it.
        datagram: First packet of the request, empty if it wasn't retained.
        waited_s: Time since that packet.
        ending: Why it is no longer awaited.
    """

    flow: bytes
    upstream: TrackedStart
    datagram: bytes
    waited_s: float
    ending: EndReason
