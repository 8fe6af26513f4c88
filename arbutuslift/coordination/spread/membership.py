"""Builds the parts of membership and gossip of one instance."""

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence

from attrs import evolve

from ...clock import Clock
from ...protocol.channel import Channel
from ...state.instances import (
    InstanceRecord,
    InstanceStatus,
    InstanceView,
    RevisionView,
)
from ...state.registers import Register
from ...state.revisionfile import RevisionStore
from ..budget import Budget
from ..freeze import FreezeWatch
from .fullstate import FullState
from .gossip import Gossip
from .inforce import InForce
from .join import Join, Seed
from .peers import PeerChoice
from .probing import Probing
from .revisions import RevisionSpread


class Membership:
    """What one instance needs to take part.

    Attributes:
        in_force: The configuration in effect.
        instances: The known instances.
        marks: Revisions that the instances of the data centre reported.
        gossip: Spreads records; call ``publish`` after a change that arose here.
        freeze: Tells when this process was frozen.
        spread: Spreads revisions.
        join: State of joining.
        probing: Failure detection.

    Args:
        clock: Source of time.
        channel: Reaches the peers.
        own: Record of this instance.
        on_superseded: Called when another process took over the name.
        registers: Further sets that gossip keeps alike.
        store: Keeps the revision in effect, if there is a data folder.
        seeds: Peers known from settings.
        members: Returns the names of the control members, if known.
        rng: Source of randomness.
    """

    def __init__(
        self,
        clock: Clock,
        channel: Channel,
        own: InstanceRecord,
        on_superseded: Callable[[], None],
        *,
        registers: Sequence[Register] = (),
        store: RevisionStore | None = None,
        seeds: Sequence[Seed] = (),
        members: Callable[[], Iterable[str]] = tuple,
        rng: random.Random | None = None,
    ) -> None:
        self.instances = InstanceView()
        self.in_force = InForce(store)
        self.freeze = FreezeWatch(clock)
        self._channel = channel
        self.marks = RevisionView()
        budget = Budget(clock)
        peers = PeerChoice(
            own.name, own.data_centre, self.instances, rng or random.Random()
        )
        self.spread = RevisionSpread(channel, peers, self.in_force, budget)
        self.gossip = Gossip(
            clock,
            channel,
            peers,
            [self.instances, self.marks, *registers],
            self.spread,
            budget,
            own.incarnation,
            tuple(seed.name for seed in seeds if seed.name != own.name),
        )
        full_state = FullState(channel, self.gossip, own.data_centre)
        self.join = Join(
            clock,
            channel,
            peers,
            full_state,
            self.spread,
            self.marks,
            own,
            list(seeds),
            members,
        )
        self.probing = Probing(clock, channel, peers, self.gossip, own, on_superseded)
        self.freeze.on_freeze(self.probing.resume)

    async def run(self) -> None:
        """Join, then take part until cancelled."""
        try:
            await self.join.run()
            self.probing.own = evolve(
                self.join.own, status=InstanceStatus.ALIVE, heartbeat=0
            )
            self.gossip.incarnation = self.join.own.incarnation
            async with asyncio.TaskGroup() as group:
                group.create_task(self.gossip.run())
                group.create_task(self.probing.run())
                group.create_task(self.freeze.run())
        finally:
            await self.spread.close()
