"""Failure detection by probes, in the manner of SWIM."""

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
        record: The record that states it.
        ends_s: Monotonic time at which the instance counts as dead.
    """

    record: InstanceRecord
    ends_s: float


class FailureDetector:
    """Probes one instance a second and answers for this one.

    Args:
        clock: Source of time.
        channel: Reaches the peers.
        peers: Chooses them.
        gossip: Spreads what is found.
        own_record: Record of this instance.
        on_superseded: Called once when another process has taken over the name of
            this instance; this process has to stop.
    """

    def __init__(
        self,
        clock: Clock,
        channel: Channel,
        peers: PeerSelector,
        gossip: Gossip,
        own: InstanceRecord,
        on_superseded: Callable[[], None],
    ) -> None:
        self.own_record = own
        self.is_superseded = False
        self._clock = clock
        self._channel = channel
        self._peers = peers
        self._gossip = gossip
        self._on_superseded = on_superseded
        self._is_announced = False
        self._is_leaving = False
        self._suspicions: dict[str, Suspicion] = {}
        channel.on(Probe, self._answer_probe)
        channel.on(IndirectProbe, self._answer_indirect)
        peers.instances.on_change(self._take_record)

    async def run(self) -> None:
        """Probe until cancelled."""
        self.announce()
        # Spreads the probes of instances that start together.
        await self._clock.sleep(self._peers.rng.uniform(0, PERIOD_S))
        while not self.is_superseded:
            started_s = self._clock.monotonic_s()
            self._end_suspicions()
            for target in self._peers.sample_alive(1):
                await self._probe(target)
            elapsed_s = self._clock.monotonic_s() - started_s
            await self._clock.sleep(max(0.0, PERIOD_S - elapsed_s))

    def announce(self) -> None:
        """Make this instance known, or known again."""
        self._is_announced = True
        known = self._peers.instances.get(self.own_record.name)
        if known and known.incarnation > self.own_record.incarnation:
            self._stop()
            return
        if known and known.rank > self.own_record.rank:
            self.own_record = evolve(self.own_record, heartbeat=known.heartbeat + 1)
        self._gossip.publish("instance", self.own_record)

    def resume(self, gap_s: float) -> None:
        """Refute what others concluded while this process was frozen."""
        del gap_s
        # Deadlines passed unseen; the suspects get their whole time again.
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
        """Tell the others that this instance stops."""
        self._is_leaving = True
        self.own_record = evolve(
            self.own_record,
            heartbeat=self.own_record.heartbeat + 1,
            status=InstanceStatus.DEAD,
        )
        self._gossip.publish("instance", self.own_record)

    async def _probe(self, target: InstanceRecord) -> None:
        if await self._answers(target.name):
            return
        others = self._peers.sample_alive(INDIRECT_PROBES + 1)
        helpers = [record for record in others if record.name != target.name]
        question = IndirectProbe(target=target.name, endpoint=target.endpoint)
        answers = await asyncio.gather(
            *(
                self._asks(helper.name, question, INDIRECT_TIMEOUT_S)
                for helper in helpers[:INDIRECT_PROBES]
            )
        )
        if any(answers):
            return
        current = self._peers.instances.get(target.name)
        if current and current.rank == target.rank and not self.is_superseded:
            _log.info("instance_suspect", peer=target.name)
            suspect = evolve(current, status=InstanceStatus.SUSPECT)
            self._gossip.publish("instance", suspect)

    async def _answers(self, peer: str) -> bool:
        probe = Probe(incarnation=self.own_record.incarnation)
        return await self._asks(peer, probe, DIRECT_TIMEOUT_S)

    async def _asks(
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
            # Never connects to an endpoint on the word of one peer.
            raise MessageError("unknown target", step="indirect probe")
        if not await self._answers(question.target):
            raise PeerTimeout("no answer", step="probe", peer=question.target)
        return ProbeAnswer(incarnation=known.incarnation)

    def _take_record(self, record: InstanceRecord) -> None:
        if record.name == self.own_record.name:
            self._take_own(record)
        elif record.status == InstanceStatus.SUSPECT:
            ends_s = self._clock.monotonic_s() + SUSPICION_S
            self._suspicions[record.name] = Suspicion(record, ends_s)
        else:
            self._suspicions.pop(record.name, None)

    def _take_own(self, record: InstanceRecord) -> None:
        if not self._is_announced or record.incarnation < self.own_record.incarnation:
            return
        if record.incarnation > self.own_record.incarnation:
            self._stop()
        elif record.status != InstanceStatus.ALIVE and not self._is_leaving:
            _log.info("suspicion_refuted", status=record.status.name)
            self.own_record = evolve(self.own_record, heartbeat=record.heartbeat + 1)
            self._gossip.publish("instance", self.own_record)

    def _stop(self) -> None:
        if not self.is_superseded:
            self.is_superseded = True
            _log.error("superseded", name=self.own_record.name)
            self._on_superseded()

    def _end_suspicions(self) -> None:
        now_s = self._clock.monotonic_s()
        for name, suspicion in list(self._suspicions.items()):
            if suspicion.ends_s <= now_s:
                del self._suspicions[name]
                _log.info("instance_dead", peer=name)
                dead = evolve(suspicion.record, status=InstanceStatus.DEAD)
                self._gossip.publish("instance", dead)
