"""Flows as an entry instance has seen them, and requests that got no answer."""

from enum import StrEnum

from attrs import define, frozen

from .trackedstart import TrackedStart


@define(eq=False)
class TrackedFlow:
    """A flow as this instance has seen it.

    Attributes:
        upstream: The start that holds it.
        last_seen_s: When its last packet came.
        opened_s: When its SYN was forwarded.
        is_open: Whether a packet after the SYN came.
        ack: Last acknowledgement of the caller.
        sent_seq: Sequence number of the newest data.
        sent_s: When that data was first forwarded.
        is_awaiting_answer: Whether the caller has acknowledged nothing since.
        request: Packet that began what is waited for, empty if it isn't kept.
        is_counted: Whether it counts as load of the upstream.
        is_failure_recorded: Whether it was taken as evidence against the upstream since
            the last answer.
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


class EndReason(StrEnum):
    """Why nobody waits any more for the answer of a request."""

    IDLE = "idle"
    CALLER_ENDED = "caller_ended"
    CALLER_RESET = "caller_reset"
    REOPENED = "reopened"
    RESET_HERE = "reset_here"
    FORGOTTEN = "forgotten"


@frozen(kw_only=True)
class UnansweredRequest:
    """A request that got no answer while this instance saw its flow.

    Attributes:
        flow: The flow.
        upstream: The start that had it.
        datagram: Packet that began the request, empty if it wasn't kept.
        waited_s: Time since that packet.
        ending: Why nobody waits any more.
    """

    flow: bytes
    upstream: TrackedStart
    datagram: bytes
    waited_s: float
    ending: EndReason
