"""What a router decides about a packet of a flow with a tag."""

from enum import StrEnum
from typing import TYPE_CHECKING

from attrs import frozen

from .trackedstart import TrackedStart

if TYPE_CHECKING:
    from .flowadmission import AdmissionDecision


class Verdict(StrEnum):
    """What the router does with a packet."""

    NEW_FLOW = "new_flow"
    SYN_REPEATED = "syn_repeated"
    SYN_MOVED = "syn_moved"
    SYN_HEDGED = "syn_hedged"
    SYN_WAITS = "syn_waits"
    SYN_WAITS_COLD = "syn_waits_cold"
    FORWARDED = "forwarded"
    REPEATED = "repeated"
    REFUSED_NO_ROUTE = "refused_no_route"
    REFUSED_NO_UPSTREAM = "refused_no_upstream"
    REJECTED_BUSY = "rejected_busy"
    RESET_ROUTE_REMOVED = "reset_route_removed"
    RESET_UPSTREAM_GONE = "reset_upstream_gone"
    RESET_UPSTREAM_LOST = "reset_upstream_lost"
    DROPPED_UNKNOWN_TAG = "dropped_unknown_tag"
    DROPPED_NO_TABLE = "dropped_no_table"
    DROPPED_MALFORMED = "dropped_malformed"
    DROPPED_FAILED = "dropped_failed"
    DROPPED_STALE = "dropped_stale"
    DROPPED_LINK_FULL = "dropped_link_full"
    DROPPED_BUSY = "dropped_busy"


RESET_VERDICTS = frozenset(
    {
        Verdict.REFUSED_NO_ROUTE,
        Verdict.REFUSED_NO_UPSTREAM,
        Verdict.REJECTED_BUSY,
        Verdict.RESET_ROUTE_REMOVED,
        Verdict.RESET_UPSTREAM_GONE,
        Verdict.RESET_UPSTREAM_LOST,
    }
)


@frozen
class Decision:
    """Decision about one packet.

    Attributes:
        verdict: What the router does with it.
        upstream: Start that the packet belongs to, if there is one. It receives the
            packet unless the verdict is a reset.
        admission: Why the flow waits or is rejected, if it is.
    """

    verdict: Verdict
    upstream: TrackedStart | None = None
    admission: "AdmissionDecision | None" = None
