"""Formation of a cluster from initial members that are known by name only."""

import structlog

from ...errors import ArbutusliftError, BootstrapError, MessageError
from ...protocol.agreement import BootstrapRequest, IdentityAnswer, IdentityRequest
from ...protocol.channel import Channel
from ...protocol.messages import Message
from ...state.identity import new_identity
from ...state.logstore import EntryKind, LogEntry
from ...state.membership import MemberRecord, Membership
from .memberstate import AgreementTiming, MemberState, encode_membership

_log = structlog.get_logger()


class Bootstrapper:
    """Writes the first membership entry on the first initial member.

    Only the first member of the list forms a cluster, and only after every initial
    member has answered that it belongs to no other cluster and has stored the
    identity of the new one. One member that has stored another cluster is
    therefore enough to prevent a second one, and a member that lost its disk
    waits until it is replaced. If the first member loses its disk before the first
    election, nothing was accepted yet, and an operator must empty the data folders
    of the others.

    Args:
        state: State of the member.
        channel: Reaches the other members.
        initial_member_names: Names of the initial members, the same list on all.
        timing: Intervals.

    Attributes:
        fault: Why no cluster can be formed until an operator acts; None otherwise.
    """

    def __init__(
        self,
        state: MemberState,
        channel: Channel,
        initial_member_names: tuple[str, ...],
        timing: AgreementTiming,
    ) -> None:
        self.fault: str | None = None
        self._state = state
        self._channel = channel
        self._initial_member_names = initial_member_names
        self._timing = timing
        channel.register_handler(BootstrapRequest, self._on_bootstrap)
        channel.register_handler(IdentityRequest, self._on_identity)

    async def run(self) -> None:
        """Try to form a cluster until the member belongs to one that has members."""
        state = self._state
        if (
            not self._initial_member_names
            or self._initial_member_names[0] != state.name
        ):
            return
        while not state.membership.members:
            try:
                await self._form_cluster()
            except BootstrapError as error:
                self._report_fault(str(error))
            except ArbutusliftError as error:
                _log.info("bootstrap_waits", reason=str(error))
            await state.clock.sleep(self._timing.heartbeat_interval_s)
        self.fault = None

    async def _form_cluster(self) -> None:
        state = self._state
        others = self._initial_member_names[1:]
        for name in others:
            self._check_not_in_other_cluster(
                name, await self._request_identity(name, IdentityRequest())
            )
        if state.membership.members:
            return
        state.join_cluster(new_identity())
        members = [MemberRecord(name=state.name, identity=state.identity)]
        for name in others:
            answer = await self._request_identity(
                name, BootstrapRequest(cluster=state.cluster)
            )
            self._check_not_in_other_cluster(name, answer)
            self._check_joined(name, answer)
            members.append(MemberRecord(name=name, identity=answer.identity))
        if state.last_index == 0 and state.term == 0:
            self._append_membership(
                Membership(cluster=state.cluster, members=tuple(members))
            )

    def _append_membership(self, membership: Membership) -> None:
        body = encode_membership(membership)
        entry = LogEntry(index=1, term=0, kind=EntryKind.MEMBERSHIP, body=body)
        self._state.append((entry,))

    def _check_not_in_other_cluster(self, name: str, answer: IdentityAnswer) -> None:
        if answer.cluster not in (b"", self._state.cluster) or answer.last_index > 0:
            message = "already belongs to a cluster; replace this member instead"
            raise BootstrapError(message, step="form cluster", peer=name)

    def _check_joined(self, name: str, answer: IdentityAnswer) -> None:
        if answer.cluster != self._state.cluster:
            message = "doesn't list this member as an initial member"
            raise BootstrapError(message, step="form cluster", peer=name)

    async def _request_identity(self, name: str, message: Message) -> IdentityAnswer:
        timeout_s = self._timing.request_timeout_s
        answer = await self._channel.request(name, message, timeout_s)
        if not isinstance(answer, IdentityAnswer):
            raise MessageError("not an IdentityAnswer", step="form cluster", peer=name)
        return answer

    async def _on_bootstrap(
        self, peer: str, request: BootstrapRequest
    ) -> IdentityAnswer:
        if peer in self._initial_member_names and self._state.last_index == 0:
            self._state.join_cluster(request.cluster)
        return self._identity_answer()

    async def _on_identity(self, peer: str, request: IdentityRequest) -> IdentityAnswer:
        del peer, request
        return self._identity_answer()

    def _identity_answer(self) -> IdentityAnswer:
        state = self._state
        return IdentityAnswer(
            identity=state.identity,
            cluster=state.cluster,
            last_index=state.last_index,
        )

    def _report_fault(self, fault: str) -> None:
        if fault != self.fault:
            _log.error("bootstrap_refused", reason=fault)
        self.fault = fault
