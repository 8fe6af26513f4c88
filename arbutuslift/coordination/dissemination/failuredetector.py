"""Failure detection by direct and indirect probes, as in SWIM."""

import asyncio
from collections.abc import Callable

import structlog
from attrs import evolve, frozen

from ...clock import Clock
from ...errors import ArbutusliftError, MessageError, PeerTimeout
from ...protocol.channel import Channel
from ...protocol.gossip import IndirectProbe, Probe, ProbeAnswer
from ...state.instances import InstanceRecord, InstanceStatus
from .gossip import Gossip
from .peers import PeerSelector

PERIOD_S = 1.0
DIRECT_TIMEOUT_S = 0.4
INDIRECT_TIMEOUT_S = 0.9
INDIRECT_PROBES = 2
SUSPICION_S = 3.0

_log = structlog.get_logger()


@frozen
class Suspicion:
    """A suspicion that hasn't been refuted.

    Attributes:
        record: Record that states the suspicion.
        expires_s: Monotonic time from which the instance counts as dead.
    """

    record: InstanceRecord
    expires_s: float


class FailureDetector:
    """Probes one random instance a second and answers the probes of peers.

    Attributes:
        own_record: Record of this instance.
        is_superseded: Whether another process has taken over the name.

    Args:
        clock: Source of time.
        channel: Connection to the peers.
        peers: Selects random peers.
        gossip: Propagates status changes.
        own_record: Record of this instance.
        on_superseded: Called once when another process has taken over the name of
            this instance, so that this process has to stop.
    """

    def __init__(
        self,
        clock: Clock,
        channel: Channel,
        peers: PeerSelector,
        gossip: Gossip,
        own_record: InstanceRecord,
        on_superseded: Callable[[], None],
    ) -> None:
        self.own_record = own_record
        self.is_superseded = False
        self._clock = clock
        self._channel = channel
        self._peers = peers
        self._gossip = gossip
        self._on_superseded = on_superseded
        self._is_announced = False
        self._is_leaving = False
        self._suspicions: dict[str, Suspicion] = {}
        channel.register_handler(Probe, self._answer_probe)
        channel.register_handler(IndirectProbe, self._answer_indirect)
        peers.instances.on_change(self._on_record)

    async def run(self) -> None:
        """Probe instances until cancelled or superseded."""
        self.announce()
        # A random delay staggers the probes of instances that start together.
        await self._clock.sleep(self._peers.rng.uniform(0, PERIOD_S))
        while not self.is_superseded:
            started_s = self._clock.monotonic_s()
            self._expire_suspicions()
            for target in self._peers.sample_alive(1):
                await self._probe(target)
            elapsed_s = self._clock.monotonic_s() - started_s
            await self._clock.sleep(max(0.0, PERIOD_S - elapsed_s))

    def announce(self) -> None:
        """Publish the record of this instance as alive.

        The record gets a higher heartbeat if a record in the view outranks it, and
        this process stops if that record is of a newer incarnation.
        """
        self._is_announced = True
        known = self._peers.instances.get(self.own_record.name)
        if known and known.incarnation > self.own_record.incarnation:
            self._stop_as_superseded()
            return
        if known and known.rank > self.own_record.rank:
            self.own_record = evolve(self.own_record, heartbeat=known.heartbeat + 1)
        self._gossip.publish("instance", self.own_record)

    def resume(self, gap_s: float) -> None:
        """Refute suspicions that arose while this process was frozen.

        Args:
            gap_s: Duration of the freeze; unused.
        """
        del gap_s
        # The deadlines of pending suspicions may have passed during the freeze, so each
        # suspect gets the full time again.
        now_s = self._clock.monotonic_s()
        self._suspicions = {
            name: Suspicion(suspicion.record, now_s + SUSPICION_S)
            for name, suspicion in self._suspicions.items()
        }
        self.own_record = evolve(
            self.own_record, heartbeat=self.own_record.heartbeat + 1
        )
        self.announce()

    def leave(self) -> None:
        """Publish this instance as dead, since it stops."""
        self._is_leaving = True
        self.own_record = evolve(
            self.own_record,
            heartbeat=self.own_record.heartbeat + 1,
            status=InstanceStatus.DEAD,
        )
        self._gossip.publish("instance", self.own_record)

    async def _probe(self, target: InstanceRecord) -> None:
        if await self._probe_directly(target.name):
            return
        others = self._peers.sample_alive(INDIRECT_PROBES + 1)
        relays = [record for record in others if record.name != target.name]
        question = IndirectProbe(target=target.name, endpoint=target.endpoint)
        answers = await asyncio.gather(
            *(
                self._is_answered(relay.name, question, INDIRECT_TIMEOUT_S)
                for relay in relays[:INDIRECT_PROBES]
            )
        )
        if any(answers):
            return
        current = self._peers.instances.get(target.name)
        if current and current.rank == target.rank and not self.is_superseded:
            _log.info("instance_suspect", peer=target.name)
            suspect = evolve(current, status=InstanceStatus.SUSPECT)
            self._gossip.publish("instance", suspect)

    async def _probe_directly(self, peer: str) -> bool:
        probe = Probe(incarnation=self.own_record.incarnation)
        return await self._is_answered(peer, probe, DIRECT_TIMEOUT_S)

    async def _is_answered(
        self, peer: str, question: Probe | IndirectProbe, timeout_s: float
    ) -> bool:
        try:
            answer = await self._channel.request(peer, question, timeout_s)
        except ArbutusliftError:
            return False
        return isinstance(answer, ProbeAnswer)

    async def _answer_probe(self, peer: str, probe: Probe) -> ProbeAnswer:
        return ProbeAnswer(incarnation=self.own_record.incarnation)

    async def _answer_indirect(
        self, peer: str, question: IndirectProbe
    ) -> ProbeAnswer | None:
        known = self._peers.instances.get(question.target)
        if known is None or known.endpoint != question.endpoint:
            # A single peer must not make this instance connect to any endpoint.
            raise MessageError("unknown target or endpoint", step="indirect probe")
        if not await self._probe_directly(question.target):
            raise PeerTimeout(
                "target did not answer", step="probe", peer=question.target
            )
        return ProbeAnswer(incarnation=known.incarnation)

    def _on_record(self, record: InstanceRecord) -> None:
        if record.name == self.own_record.name:
            self._on_own_record(record)
        elif record.status == InstanceStatus.SUSPECT:
            expires_s = self._clock.monotonic_s() + SUSPICION_S
            self._suspicions[record.name] = Suspicion(record, expires_s)
        else:
            self._suspicions.pop(record.name, None)

    def _on_own_record(self, record: InstanceRecord) -> None:
        if not self._is_announced or record.incarnation < self.own_record.incarnation:
            return
        if record.incarnation > self.own_record.incarnation:
            self._stop_as_superseded()
        elif record.status != InstanceStatus.ALIVE and not self._is_leaving:
            _log.info("suspicion_refuted", status=record.status.name)
            self.own_record = evolve(self.own_record, heartbeat=record.heartbeat + 1)
            self._gossip.publish("instance", self.own_record)

    def _stop_as_superseded(self) -> None:
        if not self.is_superseded:
            self.is_superseded = True
            _log.error("superseded", name=self.own_record.name)
            self._on_superseded()

    def _expire_suspicions(self) -> None:
        now_s = self._clock.monotonic_s()
        for name, suspicion in list(self._suspicions.items()):
            if suspicion.expires_s <= now_s:
                del self._suspicions[name]
                _log.info("instance_dead", peer=name)
                dead = evolve(suspicion.record, status=InstanceStatus.DEAD)
                self._gossip.publish("instance", dead)
