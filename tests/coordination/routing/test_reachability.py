"""A data centre that is out of service is cut off from all others.

Packets of its callers go to its own entry instances. Their own upstreams may get no new
flows, and no other upstream can be reached. The callers have to be served by the
instances of other data centres, and until then must not wait for nothing.
"""

import asyncio
import random

import pytest
from attrs import evolve

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.routing.flowtagrouter import FlowTagRouter, Verdict
from arbutuslift.coordination.routing.healthchecker import (
    Connector,
    ConnectResult,
    HealthChecker,
)
from arbutuslift.coordination.routing.outlierdetector import OutlierDetector
from arbutuslift.coordination.routing.reachability import Reachability
from arbutuslift.coordination.routing.upstreamdirectory import UpstreamDirectory
from arbutuslift.coordination.routing.upstreamselector import UpstreamSelector
from arbutuslift.entry import EXPIRE_INTERVAL_S
from arbutuslift.protocol.feed import StartNews
from arbutuslift.state.starts import Phase

from ...builders import caller_packet, routing_table, start

CENTRES = ("dc-1", "dc-2", "dc-3")
ROUND_TRIP_S = 0.002
SYN_INTERVAL_S = 0.02
# A caller gives up an attempt that nobody answers after 1.4 s.
CALLER_WAIT_S = 1.4


class Network(Connector):
    """Answers from all addresses but those of ``silent``; ``ended`` ones refuse."""

    def __init__(self, clock):
        self.silent = set()
        self.ended = set()
        self.attempts = 0
        self._clock = clock

    async def connect(self, address, timeout_s):
        self.attempts += 1
        if address in self.silent:
            await self._clock.sleep(timeout_s)
            return ConnectResult.SILENT
        await self._clock.sleep(ROUND_TRIP_S)
        is_ended = address in self.ended
        return ConnectResult.REFUSED if is_ended else ConnectResult.ACCEPTED


class Instance:
    """The parts of an entry instance that decide, in one data centre."""

    def __init__(self, data_centre, per_centre=4, out_of_service=()):
        self.clock = ManualClock()
        self.network = Network(self.clock)
        self.starts = [
            start(n + 1, data_centre=CENTRES[n % 3]) for n in range(3 * per_centre)
        ]
        self.directory = UpstreamDirectory(self.clock)
        news = [StartNews(start=item, is_silent=False) for item in self.starts]
        self.directory.merge_feed_answer("a", news, is_first=True, is_settled=True)
        outliers = OutlierDetector(self.clock)
        self.reachability = Reachability(
            self.directory, data_centre, lambda tracked: self.checker.check(tracked)
        )
        self.checker = HealthChecker(
            self.clock,
            outliers,
            self.network,
            asyncio.ensure_future,
            lambda tracked: None,
            self.reachability.references,
            self.reachability.record_answer,
            self.reachability.record_silence,
            self.reachability.is_beyond_reach,
        )
        selector = UpstreamSelector(
            self.clock, self.directory, outliers, data_centre, random.Random(1)
        )
        selector.can_reach = self.reachability.can_reach
        self.router = FlowTagRouter(
            self.clock,
            self.directory,
            outliers,
            selector,
            self.checker.check,
            on_answer=self.reachability.record_answer,
        )
        self.table = routing_table(out_of_service=frozenset(out_of_service))
        self.router.apply(self.table)
        self.packets = 0

    def cut_off(self, *centres):
        self.network.silent = {
            item.address for item in self.starts if item.data_centre in centres
        }

    @property
    def can_serve(self):
        return self.reachability.can_serve(self.table)

    async def load(self, duration_s):
        """Let callers open flows; return the last verdicts and who got the flows."""
        verdicts = []
        for _ in range(round(duration_s / SYN_INTERVAL_S)):
            self.packets += 1
            packet = caller_packet(self.packets, is_syn=True)
            decision = self.router.route(packet)
            verdicts.append(decision.verdict)
            upstream = decision.upstream
            await self.clock.advance(SYN_INTERVAL_S)
            unanswering = self.network.silent | self.network.ended
            is_reached = (
                upstream is not None and upstream.start.address not in unanswering
            )
            if is_reached:
                self._answer(upstream)
        return verdicts

    def _answer(self, upstream):
        """Let the caller acknowledge the start of its flow and an answer."""
        for ack in (1, 2):
            packet = caller_packet(
                self.packets, tag=upstream.tag, ack=ack, data_length_bytes=10
            )
            self.router.route(packet)


async def test_callers_behind_the_cut_are_rejected_at_once_and_sent_elsewhere():
    instance = Instance("dc-1", out_of_service=["dc-1"])
    await instance.load(1.0)
    instance.cut_off("dc-2", "dc-3")
    await instance.load(CALLER_WAIT_S)
    verdicts = await instance.load(3.0)
    assert set(verdicts) == {Verdict.REFUSED_NO_UPSTREAM}
    assert not instance.can_serve


async def test_after_the_cut_the_instance_serves_within_a_second():
    instance = Instance("dc-1", out_of_service=["dc-1"])
    instance.cut_off("dc-2", "dc-3")
    await instance.load(5.0)
    assert not instance.can_serve
    instance.cut_off()
    await instance.load(1.0)
    assert instance.can_serve
    assert set(await instance.load(1.0)) == {Verdict.NEW_FLOW}


async def test_an_instance_whose_own_data_centre_is_in_service_stays():
    instance = Instance("dc-1")
    instance.cut_off("dc-2", "dc-3")
    verdicts = await instance.load(5.0)
    assert set(verdicts) == {Verdict.NEW_FLOW}
    assert instance.can_serve


async def test_an_instance_on_the_other_side_goes_on_without_the_cut_off_one():
    instance = Instance("dc-2", out_of_service=["dc-2"])
    instance.cut_off("dc-1")
    await instance.load(CALLER_WAIT_S)
    verdicts = await instance.load(3.0)
    assert Verdict.REFUSED_NO_UPSTREAM not in verdicts
    assert instance.can_serve


async def test_an_instance_that_hears_nobody_at_all_doesnt_withdraw():
    """Its own link may be cut, and it can't tell the others from itself."""
    instance = Instance("dc-1", out_of_service=["dc-1"])
    instance.cut_off(*CENTRES)
    await instance.load(5.0)
    assert instance.can_serve


@pytest.mark.parametrize("lost", [4, 5, 15])
async def test_many_upstreams_that_fall_silent_are_not_their_data_centre(lost):
    """Guards against a data centre that loses its callers with a few upstreams."""
    instance = Instance("dc-1", per_centre=20, out_of_service=["dc-1"])
    remote = [item for item in instance.starts if item.data_centre == "dc-2"]
    instance.network.silent = {item.address for item in remote[:lost]}
    instance.cut_off("dc-3")
    instance.network.silent |= {item.address for item in remote[:lost]}
    for _ in range(20):
        await instance.load(0.5)
        assert instance.can_serve
    assert instance.reachability.unreachable == {"dc-3"}


async def test_where_all_upstreams_have_ended_callers_are_rejected_at_once():
    """Guards against instances that all withdraw, so that callers wait for nothing."""
    instance = Instance("dc-1")
    instance.network.ended = {item.address for item in instance.starts}
    await instance.load(CALLER_WAIT_S)
    verdicts = await instance.load(3.0)
    assert set(verdicts) == {Verdict.REFUSED_NO_UPSTREAM}
    assert instance.can_serve
    assert instance.reachability.unreachable == set()


async def test_a_data_centre_with_one_upstream_can_be_unreachable():
    instance = Instance("dc-1", per_centre=1, out_of_service=["dc-1"])
    instance.cut_off("dc-2", "dc-3")
    await instance.load(CALLER_WAIT_S)
    assert not instance.can_serve


async def test_a_cut_is_found_with_few_attempts():
    """Guards against a storm of checks of all upstreams behind a cut."""
    instance = Instance("dc-1", per_centre=40)
    instance.cut_off("dc-2")
    for tracked in instance.directory.of_data_centre("dc-2")[:2]:
        instance.checker.check(tracked)
    await instance.load(CALLER_WAIT_S)
    assert "dc-2" in instance.reachability.unreachable
    assert instance.network.attempts < 3 * 40


async def test_a_data_centre_whose_upstreams_all_return_under_new_names_is_reached():
    """Guards against a data centre that stays shut, since nobody asks a new one."""
    instance = Instance("dc-1")
    instance.cut_off("dc-2")
    for tracked in instance.directory.of_data_centre("dc-2"):
        instance.checker.check(tracked)
    await instance.load(CALLER_WAIT_S)
    assert instance.reachability.unreachable == {"dc-2"}
    former = [item for item in instance.starts if item.data_centre == "dc-2"]
    gone = [evolve(item, phase=Phase.GONE) for item in former]
    present = [start(100 + n, data_centre="dc-2") for n in range(len(former))]
    news = [StartNews(start=item, is_silent=False) for item in (*gone, *present)]
    instance.directory.merge_feed_answer("a", news, is_first=False, is_settled=True)
    for _ in range(2):
        instance.reachability.probe_unreachable()
        await instance.load(EXPIRE_INTERVAL_S)
    assert instance.reachability.unreachable == set()
