"""Counts of the load that passes through this instance, for its load reports."""

from attrs import define, frozen

from ...clock import Clock
from ...state.loadfigures import ServiceDemand, UpstreamLoad
from ...state.starts import StartKey, UpstreamStart
from .flowobserver import FlowObserver

# A caller ends an attempt after 1.4 s without an answer to its SYN.
OPENING_TIMEOUT_S = 1.4


@frozen(kw_only=True)
class LoadInterval:
    """Load of one interval.

    Attributes:
        interval_ms: Length of the interval, at least 1.
        upstreams: Upstreams that had a request, a failure or a change of their flows.
        services: Services that had an arrival or a request.
    """

    interval_ms: int
    upstreams: tuple[UpstreamLoad, ...]
    services: tuple[ServiceDemand, ...]


@define
class _ServiceCounts:
    """Counts of one service in the present interval; see ``ServiceDemand``.

    Attributes:
        starts: Number of its starts that are counted.
        now: Its outstanding requests at present.
        outstanding: Sum of the averages of its starts, while a report is taken.
    """

    starts: int = 0
    now: int = 0
    outstanding: float = 0.0
    arrivals: int = 0
    rejected: int = 0
    remote: int = 0


@define
class _StartCounts:
    """Counts of one start in the present interval; see ``UpstreamLoad``.

    Attributes:
        service: Counts of its service.
        now: Its outstanding requests at present.
        sum_s: With ``now`` times the present time added, the integral of that number
            over the interval.
        reported_flows: Open flows in the last report.
    """

    service: _ServiceCounts
    now: int = 0
    sum_s: float = 0.0
    open_flows: int = 0
    reported_flows: int = 0
    answered: int = 0
    response_sum_s: float = 0.0
    failures: int = 0

    def take_mean(self, now_s: float, interval_s: float) -> float:
        """Return the average outstanding and begin the next interval."""
        integral_s = self.sum_s + self.now * now_s
        self.sum_s = -self.now * now_s
        return max(0.0, integral_s / interval_s)


@define
class _Outstanding:
    """A flow that waits for an answer, to its SYN or to a request.

    Attributes:
        start: Counts of its start.
        is_opening: Whether its SYN isn't answered yet.
        end_s: When it no longer counts, even if the flow hasn't ended.
    """

    start: _StartCounts
    is_opening: bool
    end_s: float


class LoadTracker(FlowObserver):
    """Counts flows, requests and answers of each start and service.

    A flow also counts as outstanding from its SYN to the caller's next packet, so that
    the flows of a burst count before their first requests arrive.

    Args:
        clock: Source of time.
        data_centre: Data centre of this instance; flows to another one are counted as
            remote. If it is empty, none are.
    """

    def __init__(self, clock: Clock, data_centre: str = "") -> None:
        self._clock = clock
        self._data_centre = data_centre
        self._began_s = clock.monotonic_s()
        self._starts: dict[StartKey, _StartCounts] = {}
        self._services: dict[str, _ServiceCounts] = {}
        self._outstanding: dict[bytes, _Outstanding] = {}

    def outstanding(self, key: StartKey) -> int:
        """Return the requests and opening flows at a start that wait for an answer."""
        counts = self._starts.get(key)
        return counts.now if counts else 0

    def outstanding_of_service(self, service: str) -> int:
        """Return the same number for all starts of a service."""
        counts = self._services.get(service)
        return counts.now if counts else 0

    def take_report(self) -> LoadInterval:
        """Return the load since the last report and begin the next interval."""
        now_s = self._clock.monotonic_s()
        self.expire()
        interval_ms = max(1, round(1000 * (now_s - self._began_s)))
        self._began_s = now_s
        upstreams = [
            self._take_start(key, counts, now_s, interval_ms / 1000)
            for key, counts in list(self._starts.items())
        ]
        services = [
            self._take_service(name, counts)
            for name, counts in list(self._services.items())
        ]
        return LoadInterval(
            interval_ms=interval_ms,
            upstreams=tuple(row for row in upstreams if row is not None),
            services=tuple(row for row in services if row is not None),
        )

    def record_arrival(self, service: str, start: UpstreamStart | None) -> None:
        """Count a new flow and whether it was rejected or sent elsewhere."""
        counts = self._service(service)
        counts.arrivals += 1
        if start is None:
            counts.rejected += 1
        elif self._data_centre and start.data_centre != self._data_centre:
            counts.remote += 1

    def open_flow(self, flow: bytes, start: UpstreamStart, *, is_opening: bool) -> None:
        """Count a flow as open, and as outstanding if its SYN has just been sent."""
        counts = self._start(start)
        counts.open_flows += 1
        if is_opening:
            now_s = self._clock.monotonic_s()
            self._add(flow, counts, now_s, now_s + OPENING_TIMEOUT_S, is_opening=True)

    def close_flow(self, start: UpstreamStart) -> None:
        """Count a flow as no longer open."""
        counts = self._starts.get(start.key)
        if counts is not None and counts.open_flows:
            counts.open_flows -= 1

    def begin_request(
        self, flow: bytes, start: UpstreamStart, timeout_s: float
    ) -> None:
        """Count a request as outstanding until its end or its time-out."""
        now_s = self._clock.monotonic_s()
        if flow in self._outstanding:
            self._remove(flow, now_s)
        end_s = now_s + timeout_s if timeout_s > 0 else float("inf")
        self._add(flow, self._start(start), now_s, end_s, is_opening=False)

    def record_progress(self, flow: bytes) -> None:
        """Count a flow as open if it was opening."""
        outstanding = self._outstanding.get(flow)
        if outstanding is not None and outstanding.is_opening:
            self._remove(flow, self._clock.monotonic_s())

    def end_request(self, flow: bytes, response_s: float | None) -> None:
        """Count the end of a request and its response time if it is known."""
        if flow not in self._outstanding:
            return
        ended = self._remove(flow, self._clock.monotonic_s())
        if response_s is not None:
            ended.start.answered += 1
            ended.start.response_sum_s += response_s

    def record_failure(self, start: UpstreamStart) -> None:
        """Count a failure of a start."""
        self._start(start).failures += 1

    def expire(self) -> None:
        """Remove requests whose callers have given up without ending their flows."""
        now_s = self._clock.monotonic_s()
        expired = [k for k, item in self._outstanding.items() if item.end_s <= now_s]
        for flow in expired:
            self._remove(flow, now_s)

    def _add(
        self,
        flow: bytes,
        counts: _StartCounts,
        now_s: float,
        end_s: float,
        *,
        is_opening: bool,
    ) -> None:
        counts.now += 1
        counts.sum_s -= now_s
        counts.service.now += 1
        self._outstanding[flow] = _Outstanding(counts, is_opening, end_s)

    def _remove(self, flow: bytes, now_s: float) -> _Outstanding:
        outstanding = self._outstanding.pop(flow)
        counts = outstanding.start
        counts.now -= 1
        counts.sum_s += now_s
        counts.service.now -= 1
        return outstanding

    def _start(self, start: UpstreamStart) -> _StartCounts:
        counts = self._starts.get(start.key)
        if counts is None:
            service = self._service(start.service)
            service.starts += 1
            counts = self._starts[start.key] = _StartCounts(service)
        return counts

    def _service(self, name: str) -> _ServiceCounts:
        counts = self._services.get(name)
        if counts is None:
            counts = self._services[name] = _ServiceCounts()
        return counts

    def _take_start(
        self,
        key: StartKey,
        counts: _StartCounts,
        now_s: float,
        interval_s: float,
    ) -> UpstreamLoad | None:
        """Return the figures of a start, None if there is nothing to report."""
        outstanding = counts.take_mean(now_s, interval_s)
        counts.service.outstanding += outstanding
        is_changed = counts.open_flows != counts.reported_flows
        if not (outstanding or counts.answered or counts.failures or is_changed):
            if not counts.open_flows and not counts.now:
                counts.service.starts -= 1
                del self._starts[key]
            return None
        load = UpstreamLoad(
            upstream_id=key[0],
            born_ms=key[1],
            open_flows=counts.open_flows,
            outstanding=outstanding,
            answered=counts.answered,
            response_sum_ms=round(1000 * counts.response_sum_s),
            failures=counts.failures,
        )
        counts.reported_flows = counts.open_flows
        counts.answered = counts.failures = 0
        counts.response_sum_s = 0.0
        return load

    def _take_service(self, name: str, counts: _ServiceCounts) -> ServiceDemand | None:
        """Return the demand for a service, None if there is none."""
        outstanding, counts.outstanding = counts.outstanding, 0.0
        if not (outstanding or counts.arrivals):
            if not counts.starts:
                del self._services[name]
            return None
        demand = ServiceDemand(
            service=name,
            arrivals=counts.arrivals,
            rejected=counts.rejected,
            remote=counts.remote,
            outstanding=outstanding,
        )
        counts.arrivals = counts.rejected = counts.remote = 0
        return demand
