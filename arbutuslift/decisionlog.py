"""Log lines about packets: the decisions that an operator may have to explain."""

import zlib
from typing import TYPE_CHECKING

import structlog

from . import logs
from .coordination.routing.flowtagrouter import Decision, Verdict
from .coordination.routing.trackedflows import UnansweredRequest
from .state.routingtable import RoutingTable
from .state.starts import UpstreamStart
from .transport.callerpackets import CallerPacket, PacketCodec

if TYPE_CHECKING:
    from .coordination.routing.flowadmission import AdmissionDecision

UNANSWERED_EVENT = "request_unanswered"
LOGGED_VERDICTS = frozenset(Verdict) - {Verdict.FORWARDED, Verdict.SYN_REPEATED}
# Of successfully forwarded requests, those of one flow in this number are logged.
SAMPLING_DIVISOR = 16

_log = structlog.get_logger()


class DecisionLog:
    """Logs routing decisions within the rate limit of each event.

    Args:
        codec: Finds request identifiers in packets.
    """

    def __init__(self, codec: PacketCodec) -> None:
        self._codec = codec

    def log_decision(
        self, packet: CallerPacket, decision: Decision, table: RoutingTable | None
    ) -> None:
        """Log a decision, but successful ones only of sampled flows.

        Args:
            packet: The packet.
            decision: Routing decision on the packet.
            table: Routing table on which the decision is based.
        """
        verdict = decision.verdict
        is_logged = verdict in LOGGED_VERDICTS or _is_sampled(packet)
        if not is_logged or logs.should_drop(verdict.value):
            return
        tracked = decision.upstream
        start = tracked.start if tracked else None
        _log.info(
            verdict.value,
            flow=packet.flow.hex(),
            copies=packet.ack if packet.is_syn else 0,
            request=self._codec.request_id(packet.datagram),
            upstream=start.upstream_id if start else "",
            upstream_phase=start.phase.name.lower() if start else "",
            upstream_sequence=start.sequence if start else 0,
            load_flows=tracked.flow_count if tracked else 0,
            version=table.version if table else 0,
            revision=table.revision if table else 0,
            **_figures(decision.admission),
        )

    def log_unanswered_request(self, request: UnansweredRequest) -> None:
        """Log a request that ended without an answer."""
        if logs.should_drop(UNANSWERED_EVENT):
            return
        start = request.upstream.start
        _log.info(
            UNANSWERED_EVENT,
            flow=request.flow.hex(),
            request=self._codec.request_id(request.datagram),
            upstream=start.upstream_id,
            upstream_phase=start.phase.name.lower(),
            waited_ms=round(1000 * request.waited_s),
            ending=request.ending,
        )


def log_changed_starts(changed: list[UpstreamStart], source: str) -> None:
    """Log the starts that an answer of a control instance changed.

    Args:
        changed: Their new records.
        source: Name of the control instance.
    """
    for start in changed:
        _log.info(
            "upstream_changed",
            upstream=start.upstream_id,
            service=start.service,
            phase=start.phase.name.lower(),
            sequence=start.sequence,
            warm_up_left_ms=start.warm_up_left_ms,
            source=source,
        )


def _figures(admission: "AdmissionDecision | None") -> dict[str, object]:
    """Return the fields that explain why a flow waits or is rejected."""
    if admission is None:
        return {}
    figures = admission.figures
    return {
        "reason": admission.reason.value,
        "outstanding": figures.outstanding,
        "capacity": round(figures.capacity, 2),
        "limit": round(figures.limit, 2),
        "waiting": figures.waiting,
        "share": round(figures.share, 5),
        "work_ms": round(figures.work_ms, 1),
    }


def _is_sampled(packet: CallerPacket) -> bool:
    is_request = packet.data_length_bytes > 0
    return is_request and zlib.crc32(packet.flow) % SAMPLING_DIVISOR == 0
