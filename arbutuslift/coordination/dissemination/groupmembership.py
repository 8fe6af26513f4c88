"""Group membership and gossip of one instance."""

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
from ...state.revisionstore import RevisionStore
from ..bandwidth import BandwidthLimiter
from ..concurrency import keep_running
from ..freezedetector import FreezeDetector
from .activeconfiguration import ActiveConfiguration
from .failuredetector import FailureDetector
from .gossip import Gossip
from .join import Join, Seed
from .peers import PeerSelector
from .revisions import RevisionDistributor
from .statetransfer import StateTransfer


class GroupMembership:
    """Builds and runs the components by which an instance takes part in the group.

    Attributes:
        active_configuration: Configuration in effect.
        instances: View of all instances.
        reported_revisions: Revisions that the instances of the data centre reported.
        gossip: Propagates records; call ``publish`` after a change on this instance.
        freeze_detector: Detects that this process was frozen.
        revision_distributor: Distributes revisions.
        join: Join procedure.
        failure_detector: Detects failed instances.

    Args:
        clock: Source of time.
        channel: Connection to the peers.
        own_record: Record of this instance.
        on_superseded: Called when another process has taken over the name.
        registers: Further record sets that gossip synchronizes.
        store: Saves the revision in effect, if there is a data folder.
        seeds: Peers from the settings.
        members: Returns the names of the control members, if known.
        rng: Source of randomness.
    """

    def __init__(
        self,
        clock: Clock,
        channel: Channel,
        own_record: InstanceRecord,
        on_superseded: Callable[[], None],
        *,
        registers: Sequence[Register] = (),
        store: RevisionStore | None = None,
        seeds: Sequence[Seed] = (),
        members: Callable[[], Iterable[str]] = tuple,
        rng: random.Random | None = None,
    ) -> None:
        self.instances = InstanceView()
        self.active_configuration = ActiveConfiguration(store)
        self.freeze_detector = FreezeDetector(clock)
        self._clock = clock
        self._channel = channel
        self.reported_revisions = RevisionView()
        bandwidth = BandwidthLimiter(clock)
        peers = PeerSelector(
            own_record.name,
            own_record.data_centre,
            self.instances,
            rng or random.Random(),
        )
        self.revision_distributor = RevisionDistributor(
            channel, peers, self.active_configuration, bandwidth
        )
        self.gossip = Gossip(
            clock,
            channel,
            peers,
            [self.instances, self.reported_revisions, *registers],
            self.revision_distributor,
            bandwidth,
            own_record.incarnation,
            tuple(seed.name for seed in seeds if seed.name != own_record.name),
        )
        state_transfer = StateTransfer(channel, self.gossip, own_record.data_centre)
        self.join = Join(
            clock,
            channel,
            peers,
            state_transfer,
            self.revision_distributor,
            self.reported_revisions,
            own_record,
            list(seeds),
            members,
        )
        self.failure_detector = FailureDetector(
            clock, channel, peers, self.gossip, own_record, on_superseded
        )
        self.freeze_detector.on_freeze(self.failure_detector.resume)

    async def run(self) -> None:
        """Join the group, then run all components until cancelled."""
        try:
            await self.join.run()
            self.failure_detector.own_record = evolve(
                self.join.own_record, status=InstanceStatus.ALIVE, heartbeat=0
            )
            self.gossip.incarnation = self.join.own_record.incarnation
            async with asyncio.TaskGroup() as group:
                for run in (
                    self.gossip.run,
                    self.failure_detector.run,
                    self.freeze_detector.run,
                ):
                    group.create_task(keep_running(run, self._clock, _ignore))
        finally:
            await self.revision_distributor.close()


def _ignore(error: Exception) -> None:
    """Ignore an error, which is logged."""
    del error
