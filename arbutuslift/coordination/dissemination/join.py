"""Joining: learns the state and the revision in effect before taking part."""

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
    """A peer known from settings.

    Attributes:
        name: Its name.
        endpoint: Its endpoint on the bus.
    """

    name: str
    endpoint: str


@frozen(kw_only=True)
class JoinResult:
    """Outcome of one attempt.

    Attributes:
        is_confirmed: Whether the revision in effect is the one to start with.
        revision: The highest revision that was heard of.
        reason: Why it isn't confirmed.
    """

    is_confirmed: bool
    revision: int
    reason: str = ""


class Join:
    """Asks the peers at the start, and answers peers that start.

    Attributes:
        own_record: Record of this instance; its incarnation exceeds every earlier one.

    Args:
        clock: Source of time.
        channel: Reaches the peers.
        peers: The known instances.
        state_transfer: Fetches all records.
        revision_distributor: Fetches the configuration.
        marks: Revisions that instances reported.
        own_record: Record of this instance.
        seeds: Peers known from settings.
        members: Returns the names of the control members, as far as known other
            than from instance records; those are used if it returns none.
    """

    def __init__(
        self,
        clock: Clock,
        channel: Channel,
        peers: PeerSelector,
        state_transfer: StateTransfer,
        spread: RevisionDistributor,
        marks: RevisionView,
        own: InstanceRecord,
        seeds: list[Seed],
        members: Callable[[], Iterable[str]] = tuple,
    ) -> None:
        self.own_record = own
        self.is_joined = False
        self._clock = clock
        self._channel = channel
        self._peers = peers
        self._full_state = state_transfer
        self._spread = spread
        self._marks = marks
        self._seeds = [seed for seed in seeds if seed.name != own.name]
        self._members = members
        channel.on(JoinQuestion, self._answer)

    async def run(self) -> JoinResult:
        """Try until the revision is confirmed."""
        while True:
            result = await self.attempt()
            if result.is_confirmed:
                return result
            _log.warning("join_waits", reason=result.reason, revision=result.revision)
            await self._clock.sleep(RETRY_S)

    async def attempt(self) -> JoinResult:
        """Try once."""
        for seed in self._seeds:
            self._channel.connect(seed.name, seed.endpoint)
        try:
            await self._full_state.fetch(self._first_peers())
        except ArbutusliftError as error:
            return JoinResult(
                is_confirmed=False, revision=0, reason=f"no peer answers: {error}"
            )
        answers = await self._ask_all()
        highest = max(
            (max(a.revision, a.reported_revision) for a in answers.values()), default=0
        )
        reason = self._missing(answers)
        if not reason and highest > self._spread.revision:
            reason = await self._fetch(answers, highest)
        if reason:
            return JoinResult(is_confirmed=False, revision=highest, reason=reason)
        self._complete(answers)
        return JoinResult(is_confirmed=True, revision=self._spread.revision)

    def _first_peers(self) -> list[str]:
        known = [record.name for record in self._peers.sample_alive(3)]
        return [*(seed.name for seed in self._seeds), *known]

    async def _ask_all(self) -> dict[str, JoinAnswer]:
        # A dead member may have come back, so members are asked in any case.
        names = {record.name for record in self._peers.local_peers()}
        names |= self._member_names() | {seed.name for seed in self._seeds}
        asked = sorted(names - {self.own_record.name})
        answers = await asyncio.gather(*(self._ask(name) for name in asked))
        return {
            name: answer
            for name, answer in zip(asked, answers, strict=True)
            if answer is not None
        }

    async def _ask(self, peer: str) -> JoinAnswer | None:
        question = JoinQuestion(name=self.own_record.name)
        try:
            answer = await self._channel.request(peer, question, TIMEOUT_S)
        except ArbutusliftError:
            return None
        return answer if isinstance(answer, JoinAnswer) else None

    def _missing(self, answers: dict[str, JoinAnswer]) -> str:
        """Return why the answers don't suffice; empty if they do."""
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

    async def _fetch(self, answers: dict[str, JoinAnswer], highest: int) -> str:
        holders = [n for n, answer in answers.items() if answer.revision >= highest]
        for peer in holders:
            try:
                await self._spread.fetch(peer)
            except ArbutusliftError as error:
                _log.info("revision_not_fetched", peer=peer, error=str(error))
            if self._spread.revision >= highest:
                return ""
        return f"no peer provides revision {highest}"

    def _complete(self, answers: dict[str, JoinAnswer]) -> None:
        earlier = max((answer.incarnation for answer in answers.values()), default=0)
        # The wall clock may have gone back since the previous start.
        incarnation = max(self.own_record.incarnation, earlier + 1)
        self.own_record = evolve(self.own_record, incarnation=incarnation)
        self.is_joined = True
        self._spread.accept_from_peers()

    async def _answer(self, peer: str, question: JoinQuestion) -> JoinAnswer:
        mark = self._marks.get(question.name)
        known = self._peers.instances.get(question.name)
        return JoinAnswer(
            revision=self._spread.revision,
            reported_revision=mark.revision if mark else 0,
            incarnation=known.incarnation if known else 0,
            is_joined=self.is_joined,
        )
