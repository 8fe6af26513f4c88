"""Control plane of one instance: group membership, gossip, agreement, operators."""

import asyncio
import random
from collections.abc import Callable, Iterable
from contextlib import AsyncExitStack

import structlog

from ..clock import Clock
from ..protocol.channel import Channel
from ..protocol.document import Configuration, from_canonical_json
from ..protocol.operators import InstanceStatus
from ..settings import Settings
from ..state.configuration import StoredRevision
from ..state.generations import GenerationRecord
from ..state.instances import InstanceRecord
from ..state.loads import LoadRegister, UpstreamLoad
from ..state.registers import DelegatingRegister, UpstreamRegister
from ..state.revisionstore import DiskRevisionStore
from ..state.spillovermarks import SpilloverMark
from ..state.storage import MemberStorage
from ..state.upstreams import UpstreamRecord
from ..tracer import APPLY, Tracer
from ..transport.bus import Bus
from .agreement.member import Member
from .dissemination.announcedload import announced_load
from .dissemination.groupmembership import GroupMembership
from .dissemination.instancedirectory import InstanceDirectory
from .dissemination.join import Seed
from .dissemination.loadquery import LoadQueryServer
from .operators import OperatorsService, upstream_statuses
from .routing.services import ServiceTable

GENERATION = "generation"
MARK = "mark"
JOIN_POLL_S = 0.1

_log = structlog.get_logger()


class ControlPlane:
    """Runs everything of an instance except the forwarding of packets.

    Attributes:
        channel: Reaches other instances.
        directory: The alive instances.

    Args:
        settings: Validated settings.
        clock: Source of time.
        bus: Opened bus.
        own_record: Record of this instance.
        services: Services and upstreams.
        on_superseded: Called when another process has started under the same name.
        rng: Source of randomness.
        tracer: Records the spans of changes.

    Raises:
        StorageError: The data folder can't be used.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        bus: Bus,
        own_record: InstanceRecord,
        services: ServiceTable,
        *,
        on_superseded: Callable[[], None],
        rng: random.Random,
        tracer: Tracer,
    ) -> None:
        self.channel = Channel(bus)
        self._settings = settings
        self._clock = clock
        self._services = services
        self._tracer = tracer
        self._stack = AsyncExitStack()
        self._loads = LoadRegister(services.view)
        seeds = [
            Seed(seed.name, f"tcp://{seed.address.ip}:{seed.address.port}")
            for seed in settings.seeds
        ]
        for seed in seeds:
            self.channel.connect(seed.name, seed.endpoint)
        self._membership = GroupMembership(
            clock,
            self.channel,
            own_record,
            on_superseded,
            registers=self._make_registers(),
            store=self._make_revision_store(),
            seeds=seeds,
            members=lambda: settings.members,
            rng=rng,
        )
        self.directory = InstanceDirectory(own_record.name, self._membership.instances)
        self._member = self._make_member(rng) if settings.is_member else None
        self._operators = OperatorsService(
            self.channel,
            clock,
            store=self._member,
            members=self._member_names,
            instances=self._instance_statuses,
            upstreams=lambda: upstream_statuses(services.view),
            tracer=tracer,
        )
        LoadQueryServer(
            self.channel,
            lambda: announced_load(
                clock, services.view, services.configuration.document
            ),
        )
        self._subscribe_to_state()

    def on_configuration(self, listener: Callable[[Configuration], None]) -> None:
        """Call ``listener`` with every configuration that takes effect."""
        self._membership.active_configuration.on_change(listener)

    async def run(self) -> None:
        """Join the group and run until cancelled."""
        if self._member is not None:
            self._member.on_commit(self._activate)
            self._member.start()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._membership.run())
            group.create_task(self._wait_for_join())

    def leave(self) -> None:
        """Notify the other instances that this one stops."""
        if self._membership.join.is_joined:
            self._membership.failure_detector.leave()

    async def close(self) -> None:
        """Release the data folder."""
        await self._stack.aclose()

    async def _wait_for_join(self) -> None:
        """Set the history of generations to known once the instance has joined."""
        while not self._membership.join.is_joined:
            await self._clock.sleep(JOIN_POLL_S)
        self._services.is_history_known = True
        _log.info("joined", revision=self._membership.active_configuration.revision)

    def _make_member(self, rng: random.Random) -> Member:
        storage = MemberStorage.open(self._settings.data_folder)
        self._stack.callback(storage.close)
        member = Member(
            name=self._settings.name,
            storage=storage,
            channel=self.channel,
            clock=self._clock,
            rng=rng,
            initial_member_names=self._settings.members,
            tracer=self._tracer,
        )
        self._stack.push_async_callback(member.close)
        return member

    def _activate(self, stored: StoredRevision) -> None:
        document = from_canonical_json(stored.submission.document)
        configuration = Configuration(revision=stored.revision, document=document)
        with self._tracer.change_span(APPLY, stored.submission.request_id):
            self._membership.active_configuration.activate_if_newer(configuration)

    def _make_registers(self) -> list[object]:
        services = self._services
        return [
            UpstreamRegister(services.view),
            self._loads,
            DelegatingRegister(
                GENERATION,
                GenerationRecord,
                services.generation_records,
                services.merge_generation,
            ),
            DelegatingRegister(
                MARK,
                SpilloverMark,
                services.spillover_mark_records,
                services.merge_spillover_mark,
            ),
        ]

    def _make_revision_store(self) -> DiskRevisionStore | None:
        folder = self._settings.data_folder
        return DiskRevisionStore(folder) if folder else None

    def _subscribe_to_state(self) -> None:
        """Publish local changes by gossip and keep the registers up to date."""
        gossip = self._membership.gossip
        view = self._services.view

        def publish_change(change: GenerationRecord | SpilloverMark) -> None:
            kind = MARK if isinstance(change, SpilloverMark) else GENERATION
            gossip.publish(kind, change)

        def publish_load(record: UpstreamRecord) -> None:
            if record.data_centre != self._settings.data_centre:
                return
            if record.is_alive:
                gossip.publish(LoadRegister.kind, UpstreamLoad.of(record))
            else:
                self._loads.remove(record.upstream_id)
                gossip.record_changed(LoadRegister.kind, record.upstream_id)

        self._services.on_change.append(publish_change)
        view.on_change(publish_load)
        view.on_eligibility_change(
            lambda record: gossip.record_changed(
                UpstreamRegister.kind, record.upstream_id
            )
        )

    def _member_names(self) -> Iterable[str]:
        leader = self._member.leader_name if self._member else None
        names = [record.name for record in self._membership.instances.members()]
        member_names = dict.fromkeys([*names, *self._settings.members])
        return [leader, *member_names] if leader else list(member_names)

    def _instance_statuses(self) -> list[InstanceStatus]:
        return [
            InstanceStatus(
                name=record.name,
                data_centre=record.data_centre,
                endpoint=record.endpoint,
                state=record.status.name.lower(),
                revision=self._revision_of(record.name),
            )
            for record in self._membership.instances.records()
        ]

    def _revision_of(self, name: str) -> int:
        """Return the revision in effect at an instance, or 0 if it is unknown."""
        if name == self._settings.name:
            return self._membership.active_configuration.revision
        reported = self._membership.reported_revisions.get(name)
        return reported.revision if reported else 0
