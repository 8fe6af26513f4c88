"""What losses of control instances cost, with few voters and with all that fit."""

import asyncio
import random
import statistics
import tempfile
import time
from contextlib import AsyncExitStack
from pathlib import Path

from attrs import define, field

from arbutuslift.clock import Clock, ManualClock, SystemClock
from arbutuslift.coordination.agreement.enrolment import Enrolment
from arbutuslift.coordination.agreement.member import Member
from arbutuslift.coordination.agreement.membershipmanager import MembershipPolicy
from arbutuslift.errors import NoQuorum
from arbutuslift.membersupervisor import TIMING
from arbutuslift.protocol.channel import Channel
from arbutuslift.state.configuration import Submission
from arbutuslift.state.storage import MemberStorage
from arbutuslift.transport.bus import MemoryNetwork

from .result import Measure, at_most

COUNTS = (3, 4, 5, 6, 7)
NETWORK_DELAY_S = 0.0015
# Time that a cluster gets until all that may vote do, and after which one counts as
# repaired.
SETTLING_S = 8.0
CATCH_UP_S = 4.0
ACK_LIMIT_S = 5.0
STEP_S = 0.05
ORDERS = 200
POLICIES = {
    "three voters": MembershipPolicy(max_voter_count=3),
    "all that fit": MembershipPolicy(),
}


@define
class _Instances:
    """Control instances in three data centres, in one process."""

    count: int
    policy: MembershipPolicy
    clock: Clock
    storages: dict[str, MemberStorage]
    members: dict[str, Member] = field(factory=dict)
    _network: MemoryNetwork = field(init=False)
    _enrolling: dict[str, asyncio.Task[None]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._network = MemoryNetwork(self.clock, NETWORK_DELAY_S)
        initial = tuple(self.storages)[:3]
        for number, (name, storage) in enumerate(self.storages.items()):
            channel = Channel(self._network.bus(name))
            data_centre = f"dc-{number % 3}"
            member = Member(
                name=name,
                storage=storage,
                channel=channel,
                clock=self.clock,
                rng=random.Random(number),
                initial_member_names=initial if name in initial else (),
                timing=TIMING,
                membership_policy=self.policy,
                data_centre=data_centre,
            )
            member.start()
            enrolment = Enrolment(member, channel, self.clock, data_centre, initial)
            self._enrolling[name] = asyncio.ensure_future(enrolment.run())
            self.members[name] = member

    @property
    def leader(self) -> str:
        """Return the name of a leader."""
        return next(name for name, member in self.members.items() if member.is_leader)

    async def lose(self, name: str) -> None:
        """Remove an instance for good, without a signal."""
        self._network.remove(name)
        self._enrolling.pop(name).cancel()
        await self.members.pop(name).close()

    async def close(self) -> None:
        """Remove all instances."""
        for name in list(self.members):
            await self.lose(name)


def _in_memory(count: int, policy: MembershipPolicy) -> _Instances:
    names = [f"n{number}" for number in range(count)]
    storages = {name: MemberStorage.in_memory() for name in names}
    return _Instances(count, policy, ManualClock(), storages)


def _order(number: int, expected_revision: int) -> Submission:
    return Submission(
        document=b"document",
        expected_revision=expected_revision,
        request_id=f"r{number}",
        author="operator",
        submitted_at_s=0.0,
    )


async def _ack_time_s(instances: _Instances, number: int, limit_s: float) -> float:
    """Return the time until an order is acknowledged, infinity beyond the limit."""
    clock = instances.clock
    member = next(iter(instances.members.values()))
    started_s = clock.monotonic_s()
    while clock.monotonic_s() - started_s < limit_s:
        work = asyncio.ensure_future(member.submit(_order(number, number)))
        while not work.done():
            await clock.advance(STEP_S)
        if not isinstance(work.exception(), NoQuorum):
            work.result()
            return clock.monotonic_s() - started_s
    return float("inf")


async def _ack_after_losses_s(
    count: int, policy: MembershipPolicy, lost: int, gap_s: float
) -> float:
    """Return the time from the last loss, the leader's first, to an acknowledgement."""
    instances = _in_memory(count, policy)
    await _ack_time_s(instances, 0, SETTLING_S)
    await instances.clock.advance(SETTLING_S)
    names = [instances.leader]
    names += [name for name in instances.members if name not in names]
    for number, name in enumerate(names[:lost]):
        if number:
            await instances.clock.advance(gap_s)
        await instances.lose(name)
    ack_s = await _ack_time_s(instances, 1, ACK_LIMIT_S)
    await instances.close()
    return ack_s


async def _formation_s(count: int, policy: MembershipPolicy) -> float:
    instances = _in_memory(count, policy)
    ack_s = await _ack_time_s(instances, 0, SETTLING_S)
    await instances.close()
    return ack_s


async def _order_latency_ms(count: int, policy: MembershipPolicy) -> float:
    """Return the median time of an order, on real disks."""
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        storages = {}
        for number in range(count):
            storage = MemberStorage.open(folder / f"n{number}")
            stack.callback(storage.close)
            storages[f"n{number}"] = storage
        instances = _Instances(count, policy, SystemClock(), storages)
        stack.push_async_callback(instances.close)
        await instances.members["n0"].submit(_order(0, 0))
        await asyncio.sleep(SETTLING_S)
        leader = instances.members[instances.leader]
        times_ms = []
        for number in range(1, ORDERS + 1):
            started_s = time.perf_counter()
            await leader.submit(_order(number, number))
            times_ms.append((time.perf_counter() - started_s) * 1000)
        return statistics.median(times_ms)


async def _losses_borne(count: int, policy: MembershipPolicy) -> int:
    """Return how many instances may be lost at once, the leader among them."""
    borne = 0
    for lost in range(1, count):
        if await _ack_after_losses_s(count, policy, lost, 0.0) == float("inf"):
            break
        borne = lost
    return borne


def measure() -> list[Measure]:
    """Measure both policies with each number of instances."""
    results = []
    for label, policy in POLICIES.items():
        for count in COUNTS:
            size = f"{count} instances, {label}"
            results += asyncio.run(_measure(size, count, policy))
    return results


async def _measure(size: str, count: int, policy: MembershipPolicy) -> list[Measure]:
    virtual = f"virtual time, {NETWORK_DELAY_S * 1000:g} ms one way"
    results = [
        Measure(
            name=f"losses at once, {size}",
            figure=await _losses_borne(count, policy),
            unit="",
            note=virtual,
        ),
        at_most(
            f"first order from power, {size}",
            await _formation_s(count, policy),
            "s",
            ACK_LIMIT_S,
            virtual,
        ),
        at_most(
            f"order after a lost leader, {size}",
            await _ack_after_losses_s(count, policy, 1, 0.0),
            "s",
            ACK_LIMIT_S,
            virtual,
        ),
        Measure(
            name=f"median order, {size}",
            figure=await _order_latency_ms(count, policy),
            unit="ms",
            note="disks of this machine, all instances in one process",
        ),
    ]
    for gap_s in (1.0, 2.0, CATCH_UP_S):
        name = f"order after two losses {gap_s:g} s apart, {size}"
        ack_s = await _ack_after_losses_s(count, policy, 2, gap_s)
        results.append(Measure(name=name, figure=ack_s, unit="s", note=virtual))
    return results
