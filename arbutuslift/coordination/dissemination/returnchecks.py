"""Entry side: which upstreams may have turned cold while they were out of service."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence

import structlog
from attrs import define, field

from ...clock import Clock
from ...errors import ArbutusliftError
from ...protocol.channel import Channel
from ...protocol.reporting import ReportedAnswer, ReportedRequest
from ...state.routingtable import RoutingTable, ServiceLimits
from ...state.starts import UpstreamStart

# Upstreams report about once a second, each at its own time.
ASK_INTERVAL_S = 0.15
# More instances ask less often, so that control instances bear all of them.
UNCROWDED_INSTANCES = 50
REQUEST_TIMEOUT_S = 0.3
# What the end of a cold start may be late by.
MARGIN_S = 0.3

_log = structlog.get_logger()

Spawn = Callable[[Coroutine[object, object, None]], None]


@define(kw_only=True)
class _Check:
    """What is known about a data centre that may have come back.

    Attributes:
        revision: Revision of the table that may have brought it back.
        since_s: When that table took effect here.
        reported: Upstreams that have reported since.
        after_us: Where the answers of each control instance go on.
        is_wanted: Whether a flow might have gone to an upstream in doubt since the
            control instances were asked last.
    """

    revision: int
    since_s: float
    reported: set[str] = field(factory=set)
    after_us: dict[str, int] = field(factory=dict)
    is_wanted: bool = True


class ReturnChecks:
    """Asks control instances about data centres that may have come back.

    Which these are can be told from two tables only if none is missing between them.
    Otherwise each one may have come back, and it takes one answer to know that it
    hasn't. A data centre is asked about when a flow might go there.

    Args:
        channel: Connection to the control instances.
        clock: Source of time.
        spawn: Runs a check.
        controls: Returns the names of the control instances to ask.
        entry_count: Returns the number of entry instances, which may all ask.
        on_change: Called when an answer has come.
    """

    def __init__(
        self,
        channel: Channel,
        clock: Clock,
        spawn: Spawn,
        controls: Callable[[], Sequence[str]],
        entry_count: Callable[[], int],
        on_change: Callable[[], None],
    ) -> None:
        self._channel = channel
        self._clock = clock
        self._spawn = spawn
        self._controls = controls
        self._entry_count = entry_count
        self._on_change = on_change
        self._table: RoutingTable | None = None
        self._in_effect_s = clock.monotonic_s()
        self._returned_s: dict[str, float] = {}
        self._checks: dict[str, _Check] = {}

    def apply(self, table: RoutingTable) -> None:
        """Doubt the data centres that a new table may have brought back."""
        former, self._table = self._table, table
        now_s = self._clock.monotonic_s()
        if former is None or table.revision != former.revision + 1:
            self._in_effect_s = now_s
            self._returned_s.clear()
            self._checks.clear()
            return
        for data_centre in former.out_of_service - table.out_of_service:
            self._returned_s[data_centre] = now_s
            self._checks.pop(data_centre, None)

    def is_doubtful(self, start: UpstreamStart, limits: ServiceLimits) -> bool:
        """Return whether a start may be in a cold start that isn't known here."""
        if self._table is None:
            return True
        check = self._checks.get(start.data_centre) or self._start(start.data_centre)
        if start.upstream_id in check.reported:
            return False
        age_s = self._clock.monotonic_s() - check.since_s
        is_doubtful = age_s <= limits.cold_start_s + MARGIN_S
        check.is_wanted = check.is_wanted or is_doubtful
        return is_doubtful

    def _start(self, data_centre: str) -> _Check:
        since_s = self._returned_s.get(data_centre, self._in_effect_s)
        check = _Check(revision=self._table.revision, since_s=since_s)
        self._checks[data_centre] = check
        self._spawn(self._run(data_centre, check))
        return check

    async def _run(self, data_centre: str, check: _Check) -> None:
        """Ask as long as a flow might go to an upstream that may be cold."""
        end_s = check.since_s + self._longest_cold_start_s() + MARGIN_S
        while self._checks.get(data_centre) is check:
            if check.is_wanted:
                check.is_wanted = False
                await self._ask_all(data_centre, check)
            if self._clock.monotonic_s() > end_s:
                break
            crowd = max(1.0, self._entry_count() / UNCROWDED_INSTANCES)
            await self._clock.sleep(ASK_INTERVAL_S * crowd)
        _log.info(
            "data_centre_checked", data_centre=data_centre, reported=len(check.reported)
        )
        self._on_change()

    def _longest_cold_start_s(self) -> float:
        limited = (s for s in self._table.services if s.cold_new_flows_per_s > 0)
        return max((service.cold_start_s for service in limited), default=0.0)

    async def _ask_all(self, data_centre: str, check: _Check) -> None:
        """Add what any control instance has heard; each report goes to one of them."""
        known = len(check.reported)
        names = self._controls()
        await asyncio.gather(*(self._ask(name, data_centre, check) for name in names))
        if len(check.reported) > known:
            self._on_change()

    async def _ask(self, name: str, data_centre: str, check: _Check) -> None:
        is_last = False
        while not is_last:
            request = ReportedRequest(
                data_centre=data_centre,
                revision=check.revision,
                after_us=check.after_us.get(name, 0),
            )
            try:
                answer = await self._channel.request(name, request, REQUEST_TIMEOUT_S)
            except ArbutusliftError as error:
                _log.debug("reports_not_answered", peer=name, reason=str(error))
                return
            if not isinstance(answer, ReportedAnswer) or not answer.is_current:
                return
            check.reported.update(answer.upstream_ids)
            check.after_us[name] = answer.until_us
            is_last = answer.is_last
