"""Forms a cluster from initial members that are known by name only."""

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

    Only the first name of the list forms a cluster, and only after every initial
    member has answered that it belongs to no other cluster and has stored to
    which one it now belongs. One member that remembers a cluster is therefore
    enough to prevent a second one, and a wiped member waits for its replacement.
    If the first member loses its disk before the first election, nothing was
    accepted yet, and the data folders of the others must be emptied.

    Args:
        state: State of the member.
        channel: Reaches the other members.
        initial_member_names: Names of the initial members, the same list on all.
        timing: Intervals.

    Attributes:
        fault: Why no cluster could be formed so far; None if there is no reason
            for an operator to act.
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
        self._names = initial_member_names
        self._timing = timing
        channel.on(BootstrapRequest, self._on_bootstrap)
        channel.on(IdentityRequest, self._on_identity)

    async def run(self) -> None:
        """Try until the member belongs to a cluster with members."""
        state = self._state
        if not self._names or self._names[0] != state.name:
            return
        while not state.membership.members:
            try:
                await self._form()
            except BootstrapError as error:
                self._report(str(error))
            except ArbutusliftError as error:
                _log.info("bootstrap_waits", reason=str(error))
            await state.clock.sleep(self._timing.heartbeat_interval_s)
        self.fault = None

    async def _form(self) -> None:
        state = self._state
        others = self._names[1:]
        for name in others:
            self._check(name, await self._ask(name, IdentityRequest()))
        if state.membership.members:
            return
        state.join_cluster(new_identity())
        members = [MemberRecord(name=state.name, identity=state.identity)]
        for name in others:
            answer = await self._ask(name, BootstrapRequest(cluster=state.cluster))
            self._check(name, answer)
            self._check_joined(name, answer)
            members.append(MemberRecord(name=name, identity=answer.identity))
        if state.last_index == 0 and state.term == 0:
            self._write(Membership(cluster=state.cluster, members=tuple(members)))

    def _write(self, membership: Membership) -> None:
        body = encode_membership(membership)
        entry = LogEntry(index=1, term=0, kind=EntryKind.MEMBERSHIP, body=body)
        self._state.append((entry,))

    def _check(self, name: str, answer: IdentityAnswer) -> None:
        if answer.cluster not in (b"", self._state.cluster) or answer.last_index > 0:
            message = "already belongs to a cluster; replace this member instead"
            raise BootstrapError(message, step="form cluster", peer=name)

    def _check_joined(self, name: str, answer: IdentityAnswer) -> None:
        if answer.cluster != self._state.cluster:
            message = "doesn't list this member as an initial one"
            raise BootstrapError(message, step="form cluster", peer=name)

    async def _ask(self, name: str, message: Message) -> IdentityAnswer:
        timeout_s = self._timing.request_timeout_s
        answer = await self._channel.request(name, message, timeout_s)
        if not isinstance(answer, IdentityAnswer):
            raise MessageError("not an IdentityAnswer", step="form cluster", peer=name)
        return answer

    async def _on_bootstrap(
        self, peer: str, request: BootstrapRequest
    ) -> IdentityAnswer:
        if peer in self._names and self._state.last_index == 0:
            self._state.join_cluster(request.cluster)
        return self._identity()

    async def _on_identity(self, peer: str, request: IdentityRequest) -> IdentityAnswer:
        del peer, request
        return self._identity()

    def _identity(self) -> IdentityAnswer:
        state = self._state
        return IdentityAnswer(
            identity=state.identity,
            cluster=state.cluster,
            last_index=state.last_index,
        )

    def _report(self, fault: str) -> None:
        if fault != self.fault:
            _log.error("bootstrap_refused", reason=fault)
        self.fault = fault
