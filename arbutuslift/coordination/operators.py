"""The operators' service of an instance: answers, or passes on to a member."""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from functools import singledispatchmethod

from attrs import evolve

from ..clock import Clock
from ..errors import (
    ChangeNotAccepted,
    ConfigurationConflict,
    DocumentError,
    MembershipChangeError,
    MessageError,
    NoQuorum,
    OutcomeUnknown,
    PeerFailure,
    PeerTimeout,
)
from ..protocol.channel import Channel
from ..protocol.document import structure_document, to_canonical_json
from ..protocol.documentfile import parse_json
from ..protocol.messages import Message
from ..protocol.operators import (
    ApplyDocument,
    DocumentApplied,
    DocumentConflict,
    DocumentFault,
    DocumentRejected,
    HistoryShown,
    InstanceStatus,
    MemberEntry,
    MemberReplaced,
    MembersShown,
    NotControlMember,
    OperatorPing,
    OperatorPong,
    OperatorRequest,
    OutcomeUndecided,
    ReplaceMember,
    RequestRefused,
    RevisionEntry,
    RevisionShown,
    ShowHistory,
    ShowMembers,
    ShowRevision,
    ShowStatus,
    StatusShown,
    UpstreamStatus,
)
from ..state.configuration import StoredRevision, Submission
from ..state.upstreams import UpstreamView
from ..tracer import SUBMIT, NoOpTracer, Tracer
from .agreement.store import ConfigurationStore

# A revision is looked up among this many; the store keeps fewer documents.
MAX_HISTORY = 1000
MAX_STATUS_ENTRIES = 5000

# An instance that passes a request on must answer before its client gives up.
FORWARD_FRACTION = 0.8
ATTEMPT_FRACTION = 0.4
MAX_PING_TIMEOUT_S = 1.0
PING_FRACTION = 0.1

# The checks take 0.7 s for 2,100 services (0.4 MB), during which the event loop
# would forward no packet.
CHECK_IN_THREAD_BYTES = 32 * 1024

_REQUESTS = (
    OperatorPing,
    ApplyDocument,
    ShowRevision,
    ShowHistory,
    ShowStatus,
    ShowMembers,
    ReplaceMember,
)


class OperatorsService:
    """Answers operators' clients on a channel.

    Args:
        channel: Receives the requests.
        clock: Source of time.
        store: The replicated log; None if this instance isn't a member.
        members: Returns the names of members, the likeliest to answer first.
        instances: Returns the known instances.
        upstreams: Returns the known upstreams.
        tracer: Records the hops of changes.
    """

    def __init__(
        self,
        channel: Channel,
        clock: Clock,
        *,
        store: ConfigurationStore | None,
        members: Callable[[], Sequence[str]],
        instances: Callable[[], Iterable[InstanceStatus]] = tuple,
        upstreams: Callable[[], Iterable[UpstreamStatus]] = tuple,
        tracer: Tracer | None = None,
    ) -> None:
        self._channel = channel
        self._clock = clock
        self._store = store
        self._members = members
        self._instances = instances
        self._upstreams = upstreams
        self._tracer = tracer or NoOpTracer()
        for message_class in _REQUESTS:
            channel.on(message_class, self._answer, for_operators=True)

    async def _answer(self, peer: str, request: OperatorRequest) -> Message:
        del peer
        deadline_s = self._clock.monotonic_s() + request.timeout_s * FORWARD_FRACTION
        if self._store is None and not isinstance(request, (OperatorPing, ShowStatus)):
            return await self._forward(request, deadline_s)
        answer = await self._run_safely(request)
        if not _may_ask_another(request, answer):
            return answer
        return await self._forward(request, deadline_s, undecided=answer.reason)

    async def _run_safely(self, request: OperatorRequest) -> Message:
        """Return the answer of this instance, also if it's an error."""
        try:
            return await self._run(request)
        except DocumentError as error:
            faults = tuple(
                DocumentFault(path=f.path, reason=f.reason) for f in error.faults
            )
            return DocumentRejected(faults=faults)
        except ConfigurationConflict as error:
            return _conflict_of(error.current)
        except (ChangeNotAccepted, MembershipChangeError) as error:
            return RequestRefused(reason=error.message)
        except (NoQuorum, OutcomeUnknown) as error:
            return _undecided(request, f"no quorum: {error.message}")

    @singledispatchmethod
    async def _run(self, request: OperatorRequest) -> Message:
        raise ChangeNotAccepted(f"unknown {type(request).__name__}", step="answer")

    @_run.register
    async def _(self, request: OperatorPing) -> Message:
        return OperatorPong()

    @_run.register
    async def _(self, request: ApplyDocument) -> Message:
        if len(request.document) > CHECK_IN_THREAD_BYTES:
            is_canonical = await asyncio.to_thread(_check, request.document)
        else:
            is_canonical = _check(request.document)
        if not is_canonical:
            raise ChangeNotAccepted("the document isn't canonical", step="apply")
        submission = Submission(
            document=request.document,
            expected_revision=request.expected_revision,
            request_id=request.request_id,
            author=request.author,
            submitted_at_s=request.submitted_at_s,
        )
        with self._tracer.change_span(SUBMIT, request.request_id) as span:
            stored = await self._store.submit(submission)
            span.set_attribute("revision", stored.revision)
        if stored.submission.document != request.document:
            reason = (
                f"request identifier {request.request_id} was already used for "
                f"another document, accepted as revision {stored.revision}"
            )
            raise ChangeNotAccepted(reason, step="apply")
        return DocumentApplied(revision=stored.revision)

    @_run.register
    async def _(self, request: ShowRevision) -> Message:
        standing = await self._store.current()
        if request.revision == 0:
            return _shown(standing)
        if standing is None or request.revision > standing.revision:
            return _shown(None)
        for stored in await self._store.history(MAX_HISTORY):
            if stored.revision == request.revision:
                return _shown(stored)
        return _shown(None)

    @_run.register
    async def _(self, request: ShowHistory) -> Message:
        limit = max(0, min(request.limit, MAX_HISTORY))
        revisions = await self._store.history(limit)
        return HistoryShown(entries=tuple(_entry_of(stored) for stored in revisions))

    @_run.register
    async def _(self, request: ShowStatus) -> Message:
        limit = max(0, min(request.limit, MAX_STATUS_ENTRIES))
        instances = [
            instance
            for instance in self._instances()
            if request.data_centre in ("", instance.data_centre)
        ]
        upstreams = [
            upstream
            for upstream in self._upstreams()
            if request.data_centre in ("", upstream.data_centre)
            and request.service in ("", upstream.service)
        ]
        return StatusShown(
            instances=tuple(instances[:limit]),
            instances_total=len(instances),
            upstreams=tuple(upstreams[:limit]),
            upstreams_total=len(upstreams),
        )

    @_run.register
    async def _(self, request: ShowMembers) -> Message:
        members = tuple(
            MemberEntry(
                name=member.name,
                identity=member.identity,
                role=member.role,
                matched_index=member.matched_index,
            )
            for member in await self._store.members()
        )
        return MembersShown(members=members)

    @_run.register
    async def _(self, request: ReplaceMember) -> Message:
        await self._store.replace_member(request.old_name, request.new_name)
        return MemberReplaced()

    async def _forward(
        self, request: OperatorRequest, deadline_s: float, undecided: str = ""
    ) -> Message:
        """Pass a request on to members in turn until one decides.

        Asking another member is safe for reads and for documents, which carry a
        request identifier. A replacement of a member goes to one member only.
        """
        if request.forwarded:
            return NotControlMember()
        members = [name for name in self._members() if name != self._channel.name]
        for member in members:
            if undecided and isinstance(request, ReplaceMember):
                break
            if not await self._answers_ping(member, request, deadline_s):
                continue
            answer = await self._ask(member, request, deadline_s)
            if answer is None:
                undecided = f"no answer from {member}"
            elif _is_undecided(request, answer):
                undecided = answer.reason
            elif undecided and isinstance(answer, RequestRefused):
                continue
            elif not isinstance(answer, NotControlMember):
                return answer
        if undecided:
            return _undecided(request, undecided)
        known = ", ".join(members) or "none known"
        return RequestRefused(reason=f"no control member answers ({known})")

    async def _answers_ping(
        self, member: str, request: OperatorRequest, deadline_s: float
    ) -> bool:
        timeout_s = min(MAX_PING_TIMEOUT_S, request.timeout_s * PING_FRACTION)
        ping = OperatorPing(timeout_s=timeout_s)
        return isinstance(await self._ask(member, ping, deadline_s), OperatorPong)

    async def _ask(
        self, member: str, request: OperatorRequest, deadline_s: float
    ) -> Message | None:
        left_s = deadline_s - self._clock.monotonic_s()
        if left_s <= 0:
            return None
        timeout_s = left_s
        if isinstance(request, OperatorPing):
            timeout_s = min(left_s, request.timeout_s)
        elif not isinstance(request, ReplaceMember):
            timeout_s = min(left_s, request.timeout_s * ATTEMPT_FRACTION)
        forwarded = evolve(request, forwarded=True, timeout_s=timeout_s)
        try:
            return await self._channel.request(member, forwarded, timeout_s)
        except (PeerTimeout, PeerFailure, MessageError):
            return None


def upstream_statuses(view: UpstreamView) -> list[UpstreamStatus]:
    """Return the upstreams of a view that are alive, for the operators' service."""
    return [
        UpstreamStatus(
            name=record.name,
            upstream_id=record.upstream_id,
            data_centre=record.data_centre,
            service=record.service,
            address=f"{record.address}:{record.port}",
            state=record.state.name.lower(),
            open_connections=record.open_connections,
            busy_slots=record.busy_slots,
        )
        for record in view
        if record.is_alive
    ]


def _check(body: bytes) -> bool:
    """Check a document and return whether the bytes are its canonical form."""
    return to_canonical_json(structure_document(parse_json(body))) == body


def _is_undecided(request: OperatorRequest, answer: Message) -> bool:
    """Whether the answer may only mean that its member reaches no quorum."""
    if isinstance(request, (ApplyDocument, ReplaceMember)):
        return isinstance(answer, OutcomeUndecided)
    return isinstance(answer, RequestRefused)


def _may_ask_another(request: OperatorRequest, answer: Message) -> bool:
    """Whether a member that can't decide may pass the request on."""
    if request.forwarded or isinstance(request, ReplaceMember):
        return False
    return _is_undecided(request, answer)


def _undecided(request: OperatorRequest, reason: str) -> Message:
    if isinstance(request, (ApplyDocument, ReplaceMember)):
        return OutcomeUndecided(reason=reason)
    return RequestRefused(reason=reason)


def _conflict_of(standing: StoredRevision | None) -> DocumentConflict:
    if standing is None:
        return DocumentConflict(revision=0, document=b"")
    return DocumentConflict(
        revision=standing.revision, document=standing.submission.document
    )


def _shown(stored: StoredRevision | None) -> RevisionShown:
    if stored is None:
        return RevisionShown(entry=None, document=b"")
    return RevisionShown(entry=_entry_of(stored), document=stored.submission.document)


def _entry_of(stored: StoredRevision) -> RevisionEntry:
    submission = stored.submission
    return RevisionEntry(
        revision=stored.revision,
        author=submission.author,
        request_id=submission.request_id,
        submitted_at_s=submission.submitted_at_s,
    )
