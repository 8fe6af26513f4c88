"""Formation of a cluster from initial members that are known by name only."""

import asyncio

import structlog

from ...errors import ArbutusliftError, BootstrapError, MessageError
from ...protocol.agreement import IdentityAnswer, IdentityRequest
from ...protocol.channel import Channel
from ...protocol.formation import (
    FormationAnswer,
    FormationInvitation,
    FormationRequest,
)
from ...protocol.messages import Message
from ...state.formation import FormationIntent
from ...state.identity import new_identity
from ...state.logstore import EntryKind, LogEntry
from ...state.membership import MemberRecord, Membership
from .agreementtiming import AgreementTiming
from .memberstate import MemberState, encode_membership

# A cluster forms within a second once all initial members run.
LATE_S = 10.0

_log = structlog.get_logger()


class Bootstrapper:
    """Writes the first membership entry on the first initial member.

    Only the first member of the list forms a cluster, and only after every initial
    member has answered that it holds no entry of another cluster and has stored the
    identity of the new one. One member with entries is therefore enough to prevent a
    second cluster. Each step is durable before another member is told of it, and can
    be repeated, so that any process may end and start again at any moment.

    - If the first member doesn't know the list, since its process ended before it was
      stored, the others tell it.
    - If a member lost its disk before there was an entry, the first member, which may
      be that one, forms the cluster with the new identity. Nothing was accepted yet.

    Args:
        state: State of the member.
        channel: Reaches the other members.
        intent: Names of the initial members, the same list on all.
        timing: Intervals.

    Attributes:
        fault: Why no cluster can be formed until an operator acts; None otherwise.
    """

    def __init__(
        self,
        state: MemberState,
        channel: Channel,
        intent: FormationIntent,
        timing: AgreementTiming,
    ) -> None:
        self.fault: str | None = None
        self._state = state
        self._channel = channel
        self._intent = intent
        self._timing = timing
        channel.register_handler(FormationInvitation, self._on_invitation)
        channel.register_handler(FormationRequest, self._on_request)
        channel.register_handler(IdentityRequest, self._on_identity)

    async def run(self) -> None:
        """Try to form a cluster until the member belongs to one that has members."""
        state = self._state
        started_s = state.clock.monotonic_s()
        is_late = False
        while not state.membership.members:
            try:
                await self._take_step()
            except BootstrapError as error:
                self._report_fault(str(error))
            except ArbutusliftError as error:
                _log.info("bootstrap_waits", reason=str(error))
            await state.clock.sleep(self._timing.heartbeat_interval_s)
            if not is_late and state.clock.monotonic_s() - started_s > LATE_S:
                is_late = True
                names = ",".join(self._intent.names)
                _log.warning("no_cluster", initial=names, cluster=state.cluster.hex())
        self.fault = None

    async def _take_step(self) -> None:
        names = self._intent.names
        if not names:
            return
        if names[0] == self._state.name:
            await self._form_cluster(names)
            self.fault = None
        else:
            await self._invite(names)

    async def _invite(self, names: tuple[str, ...]) -> None:
        # The first member needs no invitation at most starts.
        await self._state.clock.sleep(self._timing.heartbeat_interval_s)
        if not self._state.membership.members:
            await self._request(names[0], FormationInvitation(names=names))

    async def _form_cluster(self, names: tuple[str, ...]) -> None:
        state = self._state
        others = names[1:]
        asked = await self._request_all(
            {name: FormationRequest(names=names) for name in others}
        )
        for name, answer in asked.items():
            self._check_unused(name, answer)
        if state.membership.members:
            return
        state.join_cluster(new_identity())
        joined = await self._request_all(
            {
                name: FormationRequest(
                    names=names, cluster=state.cluster, former_cluster=answer.cluster
                )
                for name, answer in asked.items()
            }
        )
        for name, answer in joined.items():
            self._check_joined(name, answer)
        self._append_membership({n: a.identity for n, a in joined.items()})

    def _append_membership(self, identities: dict[str, bytes]) -> None:
        state = self._state
        if state.last_index > 0 or state.term > 0:
            return
        own = MemberRecord(name=state.name, identity=state.identity)
        others = (MemberRecord(name=n, identity=i) for n, i in identities.items())
        membership = Membership(cluster=state.cluster, members=(own, *others))
        body = encode_membership(membership)
        entry = LogEntry(index=1, term=0, kind=EntryKind.MEMBERSHIP, body=body)
        state.append((entry,))

    def _check_unused(self, name: str, answer: FormationAnswer) -> None:
        """Refuse a member of another cluster.

        One without entries may have joined a cluster that this member was forming when
        it lost its disk. No entry of that cluster is left.
        """
        is_own = answer.cluster in (b"", self._state.cluster)
        if answer.last_index > 0 or not (is_own or answer.names == self._intent.names):
            message = "already belongs to a cluster; replace this member instead"
            raise BootstrapError(message, step="form cluster", peer=name)

    def _check_joined(self, name: str, answer: FormationAnswer) -> None:
        if answer.cluster != self._state.cluster:
            message = "doesn't list this member as an initial member"
            raise BootstrapError(message, step="form cluster", peer=name)

    async def _request_all(
        self, requests: dict[str, FormationRequest]
    ) -> dict[str, FormationAnswer]:
        """Return the answers of all members, in the order of the requests."""
        answers = await asyncio.gather(
            *(self._request(name, request) for name, request in requests.items())
        )
        return dict(zip(requests, answers, strict=True))

    async def _request(self, name: str, message: Message) -> FormationAnswer:
        timeout_s = self._timing.request_timeout_s
        answer = await self._channel.request(name, message, timeout_s)
        if not isinstance(answer, FormationAnswer):
            raise MessageError("not a FormationAnswer", step="form cluster", peer=name)
        return answer

    async def _on_invitation(
        self, peer: str, invitation: FormationInvitation
    ) -> FormationAnswer:
        del peer
        if self._is_named_in(invitation.names) and not self._state.cluster:
            self._intent.adopt(invitation.names)
        return self._answer()

    async def _on_request(
        self, peer: str, request: FormationRequest
    ) -> FormationAnswer:
        if request.cluster and self._may_join(peer, request):
            self._state.join_cluster(
                request.cluster, former_cluster=request.former_cluster
            )
        return self._answer()

    def _may_join(self, peer: str, request: FormationRequest) -> bool:
        """Return whether a request to join agrees with what this member knows.

        A member that belongs to a cluster and doesn't know the list became a learner
        of that cluster, and isn't taken from it.
        """
        if not self._is_named_in(request.names) or peer != request.names[0]:
            return False
        if self._state.cluster:
            return self._intent.names == request.names
        return self._intent.adopt(request.names)

    def _is_named_in(self, names: tuple[str, ...]) -> bool:
        return self._state.last_index == 0 and self._state.name in names

    async def _on_identity(self, peer: str, request: IdentityRequest) -> IdentityAnswer:
        del peer, request
        state = self._state
        return IdentityAnswer(
            identity=state.identity,
            cluster=state.cluster,
            last_index=state.last_index,
        )

    def _answer(self) -> FormationAnswer:
        state = self._state
        return FormationAnswer(
            names=self._intent.names,
            identity=state.identity,
            cluster=state.cluster,
            last_index=state.last_index,
        )

    def _report_fault(self, fault: str) -> None:
        if fault != self.fault:
            _log.error("bootstrap_refused", reason=fault)
        self.fault = fault
