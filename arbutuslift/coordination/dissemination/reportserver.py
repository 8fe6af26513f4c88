"""Control side: which upstreams are warm by a report since their data centre came back.

An upstream may turn cold while its data centre is out of service, and says so with its
next report only. What it said before doesn't count once the data centre is back, and a
partition may hold up a report that was sent before. A report on a connection that was
opened after the return was sent after it.
"""

from collections.abc import Callable, Iterable

from ...clock import Clock
from ...errors import ArbutusliftError
from ...protocol.channel import Channel
from ...protocol.reporting import ReportedAnswer, ReportedRequest
from ...state.agreedstate import AgreedState
from ...state.configuration import StoredRevision
from ...state.routingtable import RoutingTable
from ...state.starts import UpstreamStart
from .startregistry import StartRegistry

# An answer of about 10 KB.
MAX_IDS = 500
# Revisions without a table of their own that are looked through for a data centre that
# was out of service. With more, each one counts as if it had been.
MAX_SKIPPED = 16

History = Callable[[], Iterable[StoredRevision]]


class ReportServer:
    """Answers entry instances from the time at which each data centre came back.

    Nothing is known of the time before this object was made, so that at first no
    upstream counts as heard.

    Args:
        channel: Connection to the peers; the handler is set on it.
        clock: Source of time.
        starts: Starts of upstreams.
        table: Routing table in effect, None without one.
    """

    def __init__(
        self,
        channel: Channel,
        clock: Clock,
        starts: StartRegistry,
        table: RoutingTable | None,
    ) -> None:
        self._clock = clock
        self._starts = starts
        self._table = table
        self._began_s = clock.monotonic_s()
        self._returned_s: dict[str, float] = {}
        channel.register_handler(ReportedRequest, self._on_request)

    @property
    def table(self) -> RoutingTable | None:
        """Return the routing table in effect, None without one."""
        return self._table

    def publish(self, table: RoutingTable, history: History) -> None:
        """Note which data centres a new table brings back into service.

        Args:
            table: The new table.
            history: Returns the revisions that are known, newest first.
        """
        now_s = self._clock.monotonic_s()
        skipped_out = self._out_since_last(table, history)
        if skipped_out is None:
            self._began_s = now_s
            self._returned_s.clear()
        else:
            before = self._table.out_of_service if self._table else frozenset()
            for data_centre in (before | skipped_out) - table.out_of_service:
                self._returned_s[data_centre] = now_s
        self._table = table

    def _out_since_last(
        self, table: RoutingTable, history: History
    ) -> frozenset[str] | None:
        """Return what revisions without a table took out; None if that isn't known."""
        last = self._table.revision if self._table else 0
        wanted = set(range(last + 1, table.revision))
        if len(wanted) > MAX_SKIPPED:
            return None
        out: set[str] = set()
        for stored in history() if wanted else ():
            if stored.revision not in wanted:
                continue
            try:
                out.update(
                    AgreedState.decode(stored.submission.document).out_of_service
                )
            except ArbutusliftError:
                return None
            wanted.discard(stored.revision)
        return None if wanted else frozenset(out)

    def needs_new_connection(self, start: UpstreamStart, opened_s: float) -> bool:
        """Return whether an upstream should open a connection for its next report.

        While a data centre is out of service each report gets a connection of its own,
        so that the first one after the return shows that it was sent after it.

        Args:
            start: The upstream that has reported.
            opened_s: Since when the connection of its report is open, at the earliest.
        """
        if self._table is None or not self._table.is_cold_limited(start.service):
            return False
        is_out = start.data_centre in self._table.out_of_service
        return is_out or opened_s <= self._since_s(start.data_centre)

    def _since_s(self, data_centre: str) -> float:
        return self._returned_s.get(data_centre, self._began_s)

    async def _on_request(self, peer: str, request: ReportedRequest) -> ReportedAnswer:
        del peer
        if self._table is None or self._table.revision < request.revision:
            return ReportedAnswer(is_current=False)
        since_s = self._since_s(request.data_centre)
        after_us = _microseconds(since_s)
        # A machine that restarts begins to count anew.
        if request.after_us <= _microseconds(self._clock.monotonic_s()):
            after_us = max(after_us, request.after_us)
        reports = [
            (_microseconds(reported_s), upstream_id)
            for reported_s, upstream_id in self._starts.warm_reports(
                request.data_centre, since_s
            )
        ]
        return _answer([report for report in reports if report[0] > after_us], after_us)


def _answer(reports: list[tuple[int, str]], after_us: int) -> ReportedAnswer:
    """Return the oldest reports; those of the same time are never divided."""
    until_us = reports[:MAX_IDS][-1][0] if reports else after_us
    page = [upstream_id for time_us, upstream_id in reports if time_us <= until_us]
    return ReportedAnswer(
        is_current=True,
        upstream_ids=tuple(page),
        until_us=until_us,
        is_last=len(page) == len(reports),
    )


def _microseconds(time_s: float) -> int:
    return int(time_s * 1e6)
