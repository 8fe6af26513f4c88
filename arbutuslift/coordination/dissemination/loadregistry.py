"""Load reports of entry instances and of other control instances, and their sums."""

import heapq
from collections import Counter, OrderedDict

from attrs import evolve, frozen

from ...clock import Clock
from ...errors import MessageError
from ...protocol.loads import (
    LoadReport,
    LoadSummary,
    LoadTotals,
    check_report,
    check_totals,
)
from ...state.loadfigures import ServiceLoad
from ...state.starts import StartKey, UpstreamStart
from .loadsums import UpstreamSums
from .serviceloads import LocatedLoad, merge_rows, rows_of_reports
from .startregistry import StartRegistry

# Reports and totals are sent every second. This tolerates two lost ones.
RETENTION_S = 3.0
# Rows of services are computed at most this often. Computing them takes time in
# proportion to the number of instances, each of which requests them every second.
SERVICES_INTERVAL_S = 0.1
# Upstreams in a summary, beside those that the requester reported. Of more than these,
# the busiest are sent. Summaries of all of them would make the traffic of control grow
# with the number of instances times that of upstreams. 32 rows take about 1 KB.
MAX_SUMMARY_UPSTREAMS = 32
# Bound on the retained reports, several times the number of entry instances.
MAX_INSTANCES = 5000
# Characters of a reported name in an error.
MAX_NAME_IN_ERROR = 64


@frozen
class _Received:
    """A report and when it arrived."""

    report: LoadReport
    received_s: float


@frozen
class _ReceivedTotals:
    """Totals of another control instance and when they arrived."""

    totals: LoadTotals
    received_s: float


class LoadRegistry:
    """Keeps the newest report of each instance and adds them up.

    Args:
        clock: Source of time.
        starts: Starts of upstreams, for their services, data centres and slots.

    Attributes:
        outcomes: Numbers of accepted reports, and of refused reports and totals by
            the reason.
    """

    def __init__(self, clock: Clock, starts: StartRegistry) -> None:
        self.outcomes: Counter[str] = Counter()
        self._clock = clock
        self._starts = starts
        self._reports: OrderedDict[str, _Received] = OrderedDict()
        self._sums = UpstreamSums()
        self._instances: Counter[str] = Counter()
        self._totals: dict[str, _ReceivedTotals] = {}
        self._services: tuple[ServiceLoad, ...] = ()
        self._services_computed_s = float("-inf")

    @property
    def instance_count(self) -> int:
        """Return the number of instances whose reports count now."""
        self._expire()
        return len(self._reports)

    def receive(self, peer: str, report: LoadReport) -> LoadSummary:
        """Replace the report of an instance and return the sums.

        Args:
            peer: Name of the instance.
            report: Its report.

        Raises:
            MessageError: The report is malformed, older than the newest one or of
                another data centre, or there are too many instances.
        """
        self._expire()
        previous = self._reports.get(peer)
        try:
            check_report(report)
        except MessageError:
            self.outcomes["malformed"] += 1
            raise
        if previous is not None:
            self._check_successor(peer, report, previous.report)
            self._remove(peer)
        elif len(self._reports) >= MAX_INSTANCES:
            raise self._refusal("too_many", f"over {MAX_INSTANCES} instances", peer)
        self.outcomes["accepted"] += 1
        self._reports[peer] = _Received(report, self._clock.monotonic_s())
        self._sums.add(report.upstreams)
        self._instances[report.data_centre] += 1
        return self._summary(report)

    def receive_totals(
        self, peer: str, totals: LoadTotals, controls: tuple[str, ...]
    ) -> None:
        """Replace the rows of another control instance.

        Args:
            peer: Name of the sender.
            totals: Its rows.
            controls: Names of the other control instances.

        Raises:
            MessageError: The rows are malformed or the sender is unknown.
        """
        if peer not in controls:
            raise self._refusal("unknown_sender", "not a control instance", peer)
        try:
            check_totals(totals)
        except MessageError:
            self.outcomes["malformed"] += 1
            raise
        self._totals[peer] = _ReceivedTotals(totals, self._clock.monotonic_s())

    def totals(self) -> LoadTotals:
        """Return the rows of the data centres that report here, for other controls."""
        self._expire()
        now_s = self._clock.monotonic_s()
        ages_ms = {
            item.report.data_centre: round(1000 * (now_s - item.received_s))
            for item in self._reports.values()
        }
        rows = rows_of_reports(
            self._starts.ready_starts(),
            self._located_loads(),
            [item.report for item in self._reports.values()],
            ages_ms,
        )
        return LoadTotals(services=tuple(rows))

    def services(self) -> tuple[ServiceLoad, ...]:
        """Return the load of all services in the data centres of which it is known."""
        now_s = self._clock.monotonic_s()
        elapsed_s = now_s - self._services_computed_s
        if elapsed_s >= SERVICES_INTERVAL_S:
            self._services_computed_s = now_s
            self._services = self._merged_services(now_s)
        return self._services

    def _merged_services(self, now_s: float) -> tuple[ServiceLoad, ...]:
        senders = [self.totals().services]
        senders.extend(
            [
                evolve(row, age_ms=row.age_ms + round(1000 * (now_s - item.received_s)))
                for row in item.totals.services
            ]
            for item in self._totals.values()
        )
        upstreams: Counter[tuple[str, str]] = Counter()
        slots: Counter[tuple[str, str]] = Counter()
        for start in self._starts.ready_starts():
            upstreams[start.service, start.data_centre] += 1
            slots[start.service, start.data_centre] += start.slots
        return tuple(
            self._with_capacity(row, upstreams, slots) for row in merge_rows(senders)
        )

    def _with_capacity(
        self,
        row: ServiceLoad,
        upstreams: Counter[tuple[str, str]],
        slots: Counter[tuple[str, str]],
    ) -> ServiceLoad:
        """Return a row with the capacity that this instance knows.

        Until all upstreams have had time to announce themselves here, the sender of the
        row may know more of them.
        """
        key = (row.service, row.data_centre)
        if not self._starts.is_settled and slots[key] < row.slots:
            return row
        return evolve(row, upstreams=upstreams[key], slots=slots[key])

    def _check_successor(
        self, peer: str, report: LoadReport, previous: LoadReport
    ) -> None:
        if report.data_centre != previous.data_centre:
            reported = report.data_centre[:MAX_NAME_IN_ERROR]
            reason = f"{reported} instead of {previous.data_centre}"
            raise self._refusal("data_centre", reason, peer)
        if report.sequence <= previous.sequence:
            reason = f"sequence {report.sequence}, not over {previous.sequence}"
            raise self._refusal("old", reason, peer)

    def _refusal(self, outcome: str, reason: str, peer: str) -> MessageError:
        self.outcomes[outcome] += 1
        return MessageError(reason, step="receive load", peer=peer)

    def _summary(self, report: LoadReport) -> LoadSummary:
        reported = {load.key for load in report.upstreams}
        others = [
            key for key in self._keys_in(report.data_centre) if key not in reported
        ]
        room = max(0, MAX_SUMMARY_UPSTREAMS - len(reported))
        if len(others) > room:
            others = heapq.nlargest(room, others, key=self._sums.outstanding)
        return LoadSummary(
            instances=self._instances[report.data_centre],
            upstreams=tuple(self._sums.load(key) for key in [*reported, *others]),
            services=self.services(),
        )

    def _keys_in(self, data_centre: str) -> list[StartKey]:
        """Return the keys of the starts in a data centre that have a sum."""
        located = ((self._start_of(key), key) for key in self._sums)
        return [
            key
            for start, key in located
            if start is not None and start.data_centre == data_centre
        ]

    def _located_loads(self) -> list[LocatedLoad]:
        """Return the sums for the starts that are known here."""
        located = ((self._start_of(key), key) for key in self._sums)
        return [
            LocatedLoad(start=start, load=self._sums.load(key))
            for start, key in located
            if start is not None
        ]

    def _start_of(self, key: StartKey) -> UpstreamStart | None:
        """Return the start with a key, None if it isn't known or was replaced."""
        start = self._starts.find(key[0])
        return start if start is not None and start.key == key else None

    def _expire(self) -> None:
        oldest_s = self._clock.monotonic_s() - RETENTION_S
        while self._reports:
            peer, received = next(iter(self._reports.items()))
            if received.received_s >= oldest_s:
                break
            self._remove(peer)
        for name, item in list(self._totals.items()):
            if item.received_s < oldest_s:
                del self._totals[name]

    def _remove(self, peer: str) -> None:
        report = self._reports.pop(peer).report
        self._sums.subtract(report.upstreams)
        self._instances[report.data_centre] -= 1
        if not self._instances[report.data_centre]:
            del self._instances[report.data_centre]
