"""Join procedure: fetches the state and the revision in effect from peers."""

import asyncio
from collections.abc import Callable, Iterable

import structlog
from attrs import evolve, frozen

from ...clock import Clock
from ...errors import ArbutusliftError
from ...protocol.channel import Channel
from ...protocol.gossip import JoinAnswer, JoinQuestion
from ...state.instances import InstanceRecord, RevisionView
from .peers import PeerSelector
from .revisions import RevisionDistributor
from .statetransfer import StateTransfer

TIMEOUT_S = 1.0
RETRY_S = 1.0

_log = structlog.get_logger()


@frozen
class Seed:
    """A peer from the settings.

    Attributes:
        name: Name of the peer.
        endpoint: Its endpoint on the bus.
    """

    name: str
    endpoint: str


@frozen(kw_only=True)
class JoinResult:
    """Outcome of one attempt to join.

    Attributes:
        is_confirmed: Whether enough peers confirmed that no newer revision is in
            effect.
        revision: Highest revision that a peer reported.
        reason: Why the revision isn't confirmed.
    """

    is_confirmed: bool
    revision: int
    reason: str = ""


class Join:
    """Queries the peers when this instance starts, and answers peers that start.

    Attributes:
        own_record: Record of this instance; once joined, its incarnation exceeds every
            previous one.
        is_joined: Whether this instance has joined.

    Args:
        clock: Source of time.
        channel: Connection to the peers.
        peers: Selects peers from the view of instances.
        state_transfer: Fetches all records.
        revision_distributor: Fetches the configuration from a peer.
        reported_revisions: Last revision that each instance reported.
        own_record: Record of this instance.
        seeds: Peers from the settings.
        members: Returns the names of the control members if they are known from
            elsewhere than the instance records; if it returns none, the members in
            the instance records are used.
    """

    def __init__(
        self,
        clock: Clock,
        channel: Channel,
        peers: PeerSelector,
        state_transfer: StateTransfer,
        revision_distributor: RevisionDistributor,
        reported_revisions: RevisionView,
        own_record: InstanceRecord,
        seeds: list[Seed],
        members: Callable[[], Iterable[str]] = tuple,
    ) -> None:
        self.own_record = own_record
        self.is_joined = False
        self._clock = clock
        self._channel = channel
        self._peers = peers
        self._state_transfer = state_transfer
        self._revision_distributor = revision_distributor
        self._reported_revisions = reported_revisions
        self._seeds = [seed for seed in seeds if seed.name != own_record.name]
        self._members = members
        channel.register_handler(JoinQuestion, self._answer)

    async def run(self) -> JoinResult:
        """Try to join until the revision is confirmed."""
        while True:
            result = await self.attempt()
            if result.is_confirmed:
                return result
            _log.warning("join_waits", reason=result.reason, revision=result.revision)
            await self._clock.sleep(RETRY_S)

    async def attempt(self) -> JoinResult:
        """Try to join once."""
        for seed in self._seeds:
            self._channel.connect(seed.name, seed.endpoint)
        try:
            await self._state_transfer.fetch(self._transfer_peers())
        except ArbutusliftError as error:
            return JoinResult(
                is_confirmed=False, revision=0, reason=f"no peer answers: {error}"
            )
        answers = await self._query_peers()
        highest_revision = max(
            (max(a.revision, a.reported_revision) for a in answers.values()), default=0
        )
        reason = self._insufficiency_reason(answers)
        if not reason and highest_revision > self._revision_distributor.revision:
            reason = await self._fetch_revision(answers, highest_revision)
        if reason:
            return JoinResult(
                is_confirmed=False, revision=highest_revision, reason=reason
            )
        self._complete(answers)
        return JoinResult(
            is_confirmed=True, revision=self._revision_distributor.revision
        )

    def _transfer_peers(self) -> list[str]:
        known = [record.name for record in self._peers.sample_alive(3)]
        return [*(seed.name for seed in self._seeds), *known]

    async def _query_peers(self) -> dict[str, JoinAnswer]:
        # A member that is listed as dead may have recovered, so it is queried too.
        names = {record.name for record in self._peers.local_peers()}
        names |= self._member_names() | {seed.name for seed in self._seeds}
        asked = sorted(names - {self.own_record.name})
        answers = await asyncio.gather(*(self._query_peer(name) for name in asked))
        return {
            name: answer
            for name, answer in zip(asked, answers, strict=True)
            if answer is not None
        }

    async def _query_peer(self, peer: str) -> JoinAnswer | None:
        question = JoinQuestion(name=self.own_record.name)
        try:
            answer = await self._channel.request(peer, question, TIMEOUT_S)
        except ArbutusliftError:
            return None
        return answer if isinstance(answer, JoinAnswer) else None

    def _insufficiency_reason(self, answers: dict[str, JoinAnswer]) -> str:
        """Return why the answers aren't sufficient, or an empty string if they are."""
        members = self._member_names()
        answered = members & (answers.keys() | {self.own_record.name})
        if members and len(answered) > len(members) // 2:
            return ""
        local = {record.name for record in self._peers.local_peers()}
        if any(answers[name].is_joined for name in local & answers.keys()):
            return ""
        return (
            f"{len(answered)} of {len(members)} members and no joined peer of "
            f"{self.own_record.data_centre} answered"
        )

    def _member_names(self) -> set[str]:
        known = (record.name for record in self._peers.instances.members())
        return set(self._members()) or set(known)

    async def _fetch_revision(
        self, answers: dict[str, JoinAnswer], highest_revision: int
    ) -> str:
        holders = [
            n for n, answer in answers.items() if answer.revision >= highest_revision
        ]
        for peer in holders:
            try:
                await self._revision_distributor.fetch(peer)
            except ArbutusliftError as error:
                _log.info("revision_not_fetched", peer=peer, error=str(error))
            if self._revision_distributor.revision >= highest_revision:
                return ""
        return f"no peer provides revision {highest_revision}"

    def _complete(self, answers: dict[str, JoinAnswer]) -> None:
        previous_incarnation = max(
            (answer.incarnation for answer in answers.values()), default=0
        )
        # The incarnation comes from the wall clock, which may have been set back since
        # the previous start.
        incarnation = max(self.own_record.incarnation, previous_incarnation + 1)
        self.own_record = evolve(self.own_record, incarnation=incarnation)
        self.is_joined = True
        self._revision_distributor.accept_from_peers()

    async def _answer(self, peer: str, question: JoinQuestion) -> JoinAnswer:
        mark = self._reported_revisions.get(question.name)
        known = self._peers.instances.get(question.name)
        return JoinAnswer(
            revision=self._revision_distributor.revision,
            reported_revision=mark.revision if mark else 0,
            incarnation=known.incarnation if known else 0,
            is_joined=self.is_joined,
        )
