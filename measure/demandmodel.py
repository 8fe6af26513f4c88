"""A fluid model of data centres that serve recorded demand for one service.

Each data centre has one queue. A request that finds it full is rejected by an upstream,
which counts as a quick answer, as it does for entry instances.
"""

import random
from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from attrs import define, evolve, field, frozen

from arbutuslift.state.loadfigures import ServiceLoad

from .demandpattern import Centre, Pattern

STEP_S = 0.1
ROW_INTERVAL_S = 1.0
# Control instances drop rows after this time.
ROW_RETENTION_S = 3.0
SLOTS_PER_UPSTREAM = 2
# Requests that wait at one upstream; it rejects further ones.
QUEUE_LENGTH = 8
SERVICE = "alerts"
SEED = 1
ROUND_TRIP_S = 0.003
# Time until a data centre knows that another one is cut off, or reachable again.
CUT_DELAY_S = 1.0
# Highest utilisation for which the wait follows from random arrivals. It grows without
# bound towards 1, where the backlog determines it.
MAX_UTILISATION = 0.95


class Policy(Protocol):
    """Decides for the entry instances of one data centre."""

    def learn(
        self, rows: Sequence[ServiceLoad], out_of_service: frozenset[str]
    ) -> None:
        """Take in the rows of a summary."""

    def observe(self, responses_s: Mapping[str, float]) -> None:
        """Take in the response times of the last requests, by data centre."""

    def fractions(self, slots: Mapping[str, int]) -> Mapping[str, float]:
        """Return the part of new flows for each data centre with eligible slots."""

    def advance(self, duration_s: float) -> None:
        """Advance the policy's clock."""


@define
class Second:
    """What happened in one second.

    Attributes:
        now_s: Its end.
        sent: Requests per second by origin and destination.
        loads: Demand of a data centre's own callers over its capacity.
        totals: Requests sent to a data centre over its capacity.
        waits_s: Wait at a data centre.
        late: Requests by origin that were late or rejected.
        requests: Requests by origin.
    """

    now_s: float
    sent: dict[tuple[str, str], float] = field(factory=lambda: defaultdict(float))
    loads: dict[str, float] = field(factory=dict)
    totals: dict[str, float] = field(factory=dict)
    waits_s: dict[str, float] = field(factory=dict)
    late: dict[str, float] = field(factory=lambda: defaultdict(float))
    requests: dict[str, float] = field(factory=lambda: defaultdict(float))

    def fraction(self, origin: str) -> float:
        """Return the part of a data centre's requests that went to others."""
        remote = sum(v for (o, d), v in self.sent.items() if o == origin != d)
        return remote / self.requests[origin] if self.requests[origin] else 0.0


class DemandModel:
    """Plays a pattern against a policy.

    Args:
        pattern: The recorded demand.
        make_policy: Makes the policy of a data centre.
        work_s: Time that a request takes without waiting.
        aim_s: Time within which callers want an answer.
    """

    def __init__(
        self,
        pattern: Pattern,
        make_policy: Callable[[str], Policy],
        work_s: float = 0.055,
        aim_s: float = 0.5,
    ) -> None:
        self._pattern = pattern
        self._policies = {c.name: make_policy(c.name) for c in pattern.centres}
        self._work_s = work_s
        self._aim_s = aim_s
        self._backlog = dict.fromkeys(self._policies, 0.0)
        self._outstanding: dict[tuple[str, str], float] = defaultdict(float)
        self._demand_outstanding: dict[str, float] = defaultdict(float)
        self._response_s = dict.fromkeys(self._policies, work_s)
        self._rows: list[_SentRow] = []
        self._rng = random.Random(SEED)

    def run(self) -> list[Second]:
        """Return what happened in each second."""
        seconds = []
        steps = round(ROW_INTERVAL_S / STEP_S)
        for number in range(round(self._pattern.duration_s)):
            self._outstanding.clear()
            self._demand_outstanding.clear()
            second = Second(number + 1.0)
            for step in range(steps):
                self._step(second, number + step * STEP_S, STEP_S / ROW_INTERVAL_S)
            self._report(second)
            seconds.append(second)
        return seconds

    def _step(self, second: Second, now_s: float, part: float) -> None:
        """Divide the demand of a step, serve it and add it to its second.

        Args:
            second: The second that contains the step.
            now_s: Begin of the step.
            part: Length of the step in seconds.
        """
        slots = {c.name: self._slots(c, now_s) for c in self._pattern.centres}
        streams = self._divide(slots, now_s)
        inflow = dict.fromkeys(slots, 0.0)
        for stream in streams:
            if not stream.is_lost:
                inflow[stream.destination] += stream.rate_per_s
        served = {
            c.name: self._serve(c, slots[c.name], inflow[c.name], now_s)
            for c in self._pattern.centres
        }
        for stream in streams:
            served_part = 0.0 if stream.is_lost else served[stream.destination]
            self._count(second, stream, stream.rate_per_s * part, served_part)
        for centre in self._pattern.centres:
            second.requests[centre.name] += self._rate(centre, now_s) * part
            self._record(second, centre, slots, inflow, now_s)
        self._inform_policies(streams)

    def _divide(self, slots: Mapping[str, int], now_s: float) -> list["_Stream"]:
        """Return the streams into which the policies divide the demand.

        Policies know of a cut only a second after it began or ended.
        """
        pattern = self._pattern
        streams = []
        for centre in pattern.centres:
            rate_per_s = self._rate(centre, now_s)
            reachable = {
                name: count
                for name, count in slots.items()
                if count and not pattern.is_cut(centre.name, name, now_s - CUT_DELAY_S)
            }
            parts = self._policies[centre.name].fractions(reachable)
            streams += [
                _Stream(
                    origin=centre.name,
                    destination=name,
                    rate_per_s=rate_per_s * fraction,
                    is_lost=pattern.is_cut(centre.name, name, now_s),
                )
                for name, fraction in parts.items()
            ]
        return streams

    def _record(
        self,
        second: Second,
        centre: Centre,
        slots: Mapping[str, int],
        inflow: Mapping[str, float],
        now_s: float,
    ) -> None:
        """Record the load and the wait of a data centre in a step."""
        name, work_s = centre.name, self._centre_work_s(centre, now_s)
        capacity = slots[name] / work_s
        second.loads[name] = self._rate(centre, now_s) / capacity if capacity else 0.0
        second.totals[name] = inflow[name] / capacity if capacity else 0.0
        second.waits_s[name] = self._response_s[name] - work_s

    def _inform_policies(self, streams: Sequence["_Stream"]) -> None:
        for origin, policy in self._policies.items():
            policy.observe(
                {
                    stream.destination: self._response_s[stream.destination]
                    for stream in streams
                    if stream.origin == origin and stream.rate_per_s
                }
            )
            policy.advance(STEP_S)

    def _slots(self, centre: Centre, now_s: float) -> int:
        if centre.name in self._pattern.out_of_service(now_s):
            return 0
        return SLOTS_PER_UPSTREAM * centre.upstreams(now_s)

    def _rate(self, centre: Centre, now_s: float) -> float:
        slots = SLOTS_PER_UPSTREAM * centre.reference_upstreams
        return centre.load(now_s) * slots / self._work_s

    def _centre_work_s(self, centre: Centre, now_s: float) -> float:
        return self._work_s * centre.slowness(now_s)

    def _serve(self, centre: Centre, slots: int, inflow: float, now_s: float) -> float:
        """Advance the queue of a data centre; return the part that is served."""
        name, work_s = centre.name, self._centre_work_s(centre, now_s)
        capacity = slots / work_s
        if not capacity:
            self._backlog[name] = 0.0
            return 0.0
        limit = slots / SLOTS_PER_UPSTREAM * QUEUE_LENGTH
        backlog = self._backlog[name] + (inflow - capacity) * STEP_S
        rejected = max(0.0, backlog - limit)
        self._backlog[name] = min(limit, max(0.0, backlog))
        utilisation = min(MAX_UTILISATION, inflow / capacity)
        # The exact wait of two slots with one queue (M/M/2).
        random_s = work_s * utilisation**2 / (1 - utilisation**2)
        wait_s = min(max(random_s, self._backlog[name] / capacity), limit / capacity)
        self._response_s[name] = work_s + wait_s
        return 1 - rejected / (inflow * STEP_S) if inflow else 1.0

    def _count(
        self, second: Second, stream: "_Stream", requests: float, served: float
    ) -> None:
        """Add the requests of a stream, of which a part is served."""
        origin, name = stream.origin, stream.destination
        response_s = self._response_s[name] + (ROUND_TRIP_S if origin != name else 0.0)
        second.sent[origin, name] += requests
        late = 1.0 if response_s > self._aim_s else 1 - served
        second.late[origin] += late * requests
        self._outstanding[origin, name] += requests * served * self._response_s[name]
        self._demand_outstanding[origin] += requests * served * response_s

    def _report(self, second: Second) -> None:
        """Send the rows of the second, and give each data centre what has arrived."""
        now_s = second.now_s
        for centre in self._pattern.centres:
            sent = {
                d: self._noisy(v)
                for (o, d), v in self._outstanding.items()
                if o == centre.name
            }
            self._rows.append(_SentRow(now_s, self._row(centre, second), sent))
        out_of_service = self._pattern.out_of_service(now_s)
        for name, policy in self._policies.items():
            policy.learn(self._rows_at(name, now_s), out_of_service)

    def _row(self, centre: Centre, second: Second) -> ServiceLoad:
        name = centre.name
        inflow = sum(v for (_, d), v in second.sent.items() if d == name)
        outstanding = sum(v for (_, d), v in self._outstanding.items() if d == name)
        upstreams = self._slots(centre, second.now_s) // SLOTS_PER_UPSTREAM
        return ServiceLoad(
            service=SERVICE,
            data_centre=name,
            upstreams=upstreams,
            slots=SLOTS_PER_UPSTREAM * upstreams,
            outstanding=outstanding,
            demand_outstanding=self._noisy(self._demand_outstanding[name]),
            arrivals_per_s=second.requests[name],
            rejected_per_s=0.0,
            remote_per_s=second.fraction(name) * second.requests[name],
            response_ms=self._noisy(1000 * outstanding / inflow) if inflow else 0.0,
            age_ms=0,
        )

    def _noisy(self, figure: float) -> float:
        return figure * max(0.0, self._rng.gauss(1.0, self._pattern.noise))

    def _rows_at(self, name: str, now_s: float) -> list[ServiceLoad]:
        """Return the newest row of each data centre that reached one, with its age.

        What is outstanding is the sum of what each known data centre sent there.
        """
        newest: dict[str, _SentRow] = {}
        for sent in self._rows:
            if self._has_arrived(sent, name, now_s):
                newest[sent.row.data_centre] = sent
        return [
            evolve(
                sent.row,
                outstanding=sum(o.outstanding.get(key, 0.0) for o in newest.values()),
                age_ms=round(1000 * (now_s - sent.sent_s)),
            )
            for key, sent in newest.items()
        ]

    def _has_arrived(self, sent: "_SentRow", name: str, now_s: float) -> bool:
        """Return whether a row reached a data centre and is in use there."""
        sender = sent.row.data_centre
        if sender == name:
            return sent.sent_s == now_s
        delay_s = self._pattern.row_delay_s
        return delay_s <= now_s - sent.sent_s <= delay_s + ROW_RETENTION_S and not (
            self._pattern.is_row_lost(sender, name, sent.sent_s)
            or self._pattern.is_cut(sender, name, sent.sent_s)
        )


@frozen(kw_only=True)
class _Stream:
    """Requests per second from one data centre to one; a cut may lose them."""

    origin: str
    destination: str
    rate_per_s: float
    is_lost: bool


@frozen
class _SentRow:
    """A row, when it was sent, and its callers' outstanding requests by data centre."""

    sent_s: float
    row: ServiceLoad
    outstanding: dict[str, float]


def reversals(values: Sequence[float], band: float) -> int:
    """Return how often a series changes direction by more than ``band``."""
    count, direction, extreme = 0, 0, values[0]
    for value in values:
        change = value - extreme
        if direction and change * direction > 0 or not direction and not change:
            extreme = value
        elif abs(change) > band:
            count += direction != 0
            direction, extreme = (1 if change > 0 else -1), value
    return count
