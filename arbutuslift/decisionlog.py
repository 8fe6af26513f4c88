"""Log lines about packets: each decision that an operator may have to explain."""

import zlib

import structlog

from . import logs
from .coordination.routing.flowtagrouter import Decision, Verdict
from .coordination.routing.trackedflows import UnansweredRequest
from .state.routingtable import RoutingTable
from .transport.callerpackets import CallerPacket, PacketCodec

UNANSWERED_EVENT = "request_unanswered"
LOGGED_VERDICTS = frozenset(Verdict) - {Verdict.FORWARDED, Verdict.SYN_REPEATED}
# Of requests that go their way one flow in so many is logged, all of its requests.
SAMPLED_FLOWS = 16

_log = structlog.get_logger()


class DecisionLog:
    """Writes lines within the budget of their events.

    Args:
        codec: Finds request ids in packets.
    """

    def __init__(self, codec: PacketCodec) -> None:
        self._codec = codec

    def log_decision(
        self, packet: CallerPacket, decision: Decision, table: RoutingTable | None
    ) -> None:
        """Log a decision unless it is one of many that go their way.

        Args:
            packet: The packet.
            decision: What became of it.
            table: Routing table by which that was decided.
        """
        verdict = decision.verdict
        is_logged = verdict in LOGGED_VERDICTS or _is_sampled(packet)
        if not is_logged or logs.should_drop(verdict.value):
            return
        known = decision.upstream
        start = known.start if known else None
        _log.info(
            verdict.value,
            flow=packet.flow.hex(),
            copies=packet.ack if packet.is_syn else 0,
            request=self._codec.request_id(packet.datagram),
            upstream=start.upstream_id if start else "",
            upstream_phase=start.phase.name.lower() if start else "",
            upstream_sequence=start.sequence if start else 0,
            load_flows=known.flow_count if known else 0,
            version=table.version if table else 0,
            revision=table.revision if table else 0,
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


def _is_sampled(packet: CallerPacket) -> bool:
    is_request = packet.data_length_bytes > 0
    return is_request and zlib.crc32(packet.flow) % SAMPLED_FLOWS == 0
