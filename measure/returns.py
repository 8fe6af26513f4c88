"""Time until upstreams of a data centre that came back are trusted again."""

import asyncio
import logging
import random

import structlog
from attrs import define, frozen

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.concurrency import TaskSet
from arbutuslift.coordination.dissemination.reportserver import ReportServer
from arbutuslift.coordination.dissemination.returnchecks import ReturnChecks
from arbutuslift.coordination.dissemination.startregistry import StartRegistry
from arbutuslift.protocol.channel import Channel
from arbutuslift.state.routingtable import RoutingTable, ServiceLimits
from arbutuslift.state.starts import UpstreamStart
from arbutuslift.transport.bus import MemoryNetwork

from .result import Measure, at_most

CONTROLS = ("c1", "c2", "c3")
COUNTS = (9, 50, 300)
UPSTREAMS = 20
REPORT_INTERVAL_S = 1.2
COLD_START_S = 2.0
STEP_S = 0.02
# An upstream is asked about once more after its report, and reports that were about to
# be sent when the data centre came back come one interval later.
TRUST_LIMIT_S = 2 * REPORT_INTERVAL_S
LIMITS = ServiceLimits(
    name="alerts",
    max_connections=2000,
    cold_new_flows_per_s=4.0,
    cold_start_s=COLD_START_S,
)
STARTS = tuple(
    UpstreamStart(
        upstream_id=f"i-{number}",
        number=number,
        born_ms=1,
        service=LIMITS.name,
        ip=f"127.0.0.{number + 1}",
        port=1,
        data_centre="dc-1",
    )
    for number in range(UPSTREAMS)
)


@frozen(kw_only=True)
class ReturnPlay:
    """What followed the return of a data centre.

    Attributes:
        mean_s: Mean time until an instance trusted an upstream.
        longest_s: Longest such time.
        requests: Requests that an instance sent to control instances.
    """

    mean_s: float
    longest_s: float
    requests: float


def measure() -> list[Measure]:
    """Bring a data centre back at instances of several numbers."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    measures = []
    for count in COUNTS:
        play = asyncio.run(play_return(count))
        note = f"mean {play.mean_s:.2f} s, {play.requests:.0f} requests an instance"
        name = f"return of a warm data centre, {count} entry instances: all trusted"
        measures.append(at_most(name, play.longest_s, "s", TRUST_LIMIT_S, note=note))
    play = asyncio.run(play_return(9, renews_while_out=False))
    name = "the same, 9 instances, connections that are kept while out of service"
    note = f"mean {play.mean_s:.2f} s"
    measures.append(
        Measure(name=name, figure=play.longest_s, unit="s", target=None, note=note)
    )
    play = asyncio.run(play_return(9, is_cut_off=True))
    name = "the same, cut off from control: all trusted"
    bound_s = COLD_START_S + 0.5
    measures.append(at_most(name, play.longest_s, "s", bound_s))
    return measures


async def play_return(
    count: int, *, is_cut_off: bool = False, renews_while_out: bool = True
) -> ReturnPlay:
    """Play the return of a data centre whose upstreams are warm.

    Args:
        count: Number of entry instances.
        is_cut_off: Whether they reach no control instance from the return on.
        renews_while_out: Whether each report gets a connection of its own while the
            data centre is out of service, or only after its return.
    """
    clock = ManualClock()
    network = MemoryNetwork(clock)
    registries = [StartRegistry(clock, REPORT_INTERVAL_S, _ignore) for _ in CONTROLS]
    out, back = (
        RoutingTable(
            revision=revision,
            version=1,
            services=(LIMITS,),
            out_of_service=frozenset(data_centres),
        )
        for revision, data_centres in ((1, {"dc-1"}), (2, ()))
    )
    servers = [
        ReportServer(Channel(network.bus(name)), clock, registry, out)
        for name, registry in zip(CONTROLS, registries, strict=True)
    ]
    tasks = TaskSet(_raise)
    reporters = [
        _Reporter(
            clock,
            servers[n % len(CONTROLS)],
            registries[n % len(CONTROLS)],
            renews_while_out,
        )
        for n in range(UPSTREAMS)
    ]
    tasks.spawn(_report(clock, reporters))
    instances = [
        _CountingChecks(Channel(network.bus(f"e{number}")), clock, tasks, count)
        for number in range(count)
    ]
    for instance in instances:
        instance.apply(out)
    await clock.advance(2 * REPORT_INTERVAL_S)
    for server in servers:
        server.publish(back, tuple)
    if is_cut_off:
        network.partition([f"e{n}" for n in range(count)], list(CONTROLS))
    for instance in instances:
        instance.apply(back)
    times_s = await _wait_for_trust(clock, instances)
    await tasks.close()
    asked = sum(len(instance.asked) for instance in instances)
    return ReturnPlay(
        mean_s=sum(times_s) / len(times_s),
        longest_s=max(times_s),
        requests=asked / count,
    )


class _CountingChecks(ReturnChecks):
    """Counts the requests of an instance."""

    def __init__(
        self, channel: Channel, clock: ManualClock, tasks: TaskSet, count: int
    ) -> None:
        super().__init__(
            channel, clock, tasks.spawn, lambda: CONTROLS, lambda: count, _ignore
        )
        self.asked: list[str] = []

    async def _ask(self, name: str, *arguments: object) -> None:
        self.asked.append(name)
        await super()._ask(name, *arguments)


async def _wait_for_trust(
    clock: ManualClock, instances: list[_CountingChecks]
) -> list[float]:
    """Offer flows to all upstreams until none is in doubt; return when each ended."""
    began_s, times_s = clock.monotonic_s(), []
    doubted = [(instance, start) for instance in instances for start in STARTS]
    while doubted:
        still = [(i, start) for i, start in doubted if i.is_doubtful(start, LIMITS)]
        ended_s = clock.monotonic_s() - began_s
        times_s += [ended_s] * (len(doubted) - len(still))
        doubted = still
        await clock.advance(STEP_S)
    return times_s


@define
class _Reporter:
    """An upstream's connection to the control instance that it reports to."""

    _clock: ManualClock
    _server: ReportServer
    _registry: StartRegistry
    renews_while_out: bool
    _opened_s: float | None = None

    def report(self, start: UpstreamStart) -> None:
        """Report on the open connection, or on a new one."""
        if self._opened_s is None:
            self._opened_s = self._clock.monotonic_s()
        self._registry.announce(start, sent_after_s=self._opened_s)
        is_wanted = self._server.needs_new_connection(start, self._opened_s)
        if is_wanted and (self.renews_while_out or not self._is_out(start)):
            self._opened_s = None

    def _is_out(self, start: UpstreamStart) -> bool:
        table = self._server.table
        return table is not None and start.data_centre in table.out_of_service


async def _report(clock: ManualClock, reporters: list[_Reporter]) -> None:
    """Let each upstream report to one control instance, at its own phase."""
    rng = random.Random(1)
    phases = [rng.randrange(int(REPORT_INTERVAL_S / STEP_S)) for _ in STARTS]
    step = 0
    while True:
        for number, start in enumerate(STARTS):
            if step % int(REPORT_INTERVAL_S / STEP_S) == phases[number]:
                reporters[number].report(start)
        step += 1
        await clock.sleep(STEP_S)


def _ignore() -> None:
    pass


def _raise(error: Exception) -> None:
    raise error
