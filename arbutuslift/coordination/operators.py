"""Operators' service of an instance: answers requests or forwards them to a member."""

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

# Upper bound of the revisions that are searched; the store retains fewer documents.
MAX_HISTORY = 1000
MAX_STATUS_ENTRIES = 5000

# Fractions of the client's timeout: an instance that forwards a request must answer
# before the client's timeout expires.
FORWARD_FRACTION = 0.8
ATTEMPT_FRACTION = 0.4
MAX_PING_TIMEOUT_S = 1.0
PING_FRACTION = 0.1

# Longer documents are checked in a thread. The checks take 0.7 s for 2,100 services
# (0.4 MB), during which the event loop would forward no packet.
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
    """Answers the requests of operators' clients on a channel.

    Args:
        channel: Receives the requests.
        clock: Source of time.
        store: The replicated log; None if this instance isn't a member.
        members: Returns the names of members, those most likely to answer first.
        instances: Returns the known instances.
        upstreams: Returns the known upstreams.
        tracer: Records the spans of changes.
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
            channel.register_handler(
                message_class, self._on_request, for_operators=True
            )

    async def _on_request(self, peer: str, request: OperatorRequest) -> Message:
        del peer
        deadline_s = self._clock.monotonic_s() + request.timeout_s * FORWARD_FRACTION
        if self._store is None and not isinstance(request, (OperatorPing, ShowStatus)):
            return await self._forward(request, deadline_s)
        answer = await self._answer_locally(request)
        if not _may_forward(request, answer):
            return answer
        return await self._forward(request, deadline_s, undecided_reason=answer.reason)

    async def _answer_locally(self, request: OperatorRequest) -> Message:
        """Return the answer of this instance; errors become answers as well."""
        try:
            return await self._handle(request)
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
    async def _handle(self, request: OperatorRequest) -> Message:
        raise ChangeNotAccepted(f"unknown {type(request).__name__}", step="answer")

    @_handle.register
    async def _(self, request: OperatorPing) -> Message:
        return OperatorPong()

    @_handle.register
    async def _(self, request: ApplyDocument) -> Message:
        if len(request.document) > CHECK_IN_THREAD_BYTES:
            is_canonical = await asyncio.to_thread(_check_document, request.document)
        else:
            is_canonical = _check_document(request.document)
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

    @_handle.register
    async def _(self, request: ShowRevision) -> Message:
        current = await self._store.current()
        if request.revision == 0:
            return _revision_shown(current)
        if current is None or request.revision > current.revision:
            return _revision_shown(None)
        for stored in await self._store.history(MAX_HISTORY):
            if stored.revision == request.revision:
                return _revision_shown(stored)
        return _revision_shown(None)

    @_handle.register
    async def _(self, request: ShowHistory) -> Message:
        limit = max(0, min(request.limit, MAX_HISTORY))
        revisions = await self._store.history(limit)
        return HistoryShown(entries=tuple(_entry_of(stored) for stored in revisions))

    @_handle.register
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

    @_handle.register
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

    @_handle.register
    async def _(self, request: ReplaceMember) -> Message:
        await self._store.replace_member(request.old_name, request.new_name)
        return MemberReplaced()

    async def _forward(
        self, request: OperatorRequest, deadline_s: float, undecided_reason: str = ""
    ) -> Message:
        """Forward a request to one member after another until one decides it.

        A read or a document, which carries a request identifier, can safely be sent
        to several members. A replacement of a member is sent to one member only.
        """
        if request.forwarded:
            return NotControlMember()
        members = [name for name in self._members() if name != self._channel.name]
        for member in members:
            if undecided_reason and isinstance(request, ReplaceMember):
                break
            if not await self._is_reachable(member, request, deadline_s):
                continue
            answer = await self._request_member(member, request, deadline_s)
            if answer is None:
                undecided_reason = f"no answer from {member}"
            elif _is_undecided(request, answer):
                undecided_reason = answer.reason
            elif undecided_reason and isinstance(answer, RequestRefused):
                continue
            elif not isinstance(answer, NotControlMember):
                return answer
        if undecided_reason:
            return _undecided(request, undecided_reason)
        member_names = ", ".join(members) or "none known"
        return RequestRefused(reason=f"no control member answers ({member_names})")

    async def _is_reachable(
        self, member: str, request: OperatorRequest, deadline_s: float
    ) -> bool:
        timeout_s = min(MAX_PING_TIMEOUT_S, request.timeout_s * PING_FRACTION)
        ping = OperatorPing(timeout_s=timeout_s)
        return isinstance(
            await self._request_member(member, ping, deadline_s), OperatorPong
        )

    async def _request_member(
        self, member: str, request: OperatorRequest, deadline_s: float
    ) -> Message | None:
        remaining_s = deadline_s - self._clock.monotonic_s()
        if remaining_s <= 0:
            return None
        timeout_s = remaining_s
        if isinstance(request, OperatorPing):
            timeout_s = min(remaining_s, request.timeout_s)
        elif not isinstance(request, ReplaceMember):
            timeout_s = min(remaining_s, request.timeout_s * ATTEMPT_FRACTION)
        forwarded = evolve(request, forwarded=True, timeout_s=timeout_s)
        try:
            return await self._channel.request(member, forwarded, timeout_s)
        except (PeerTimeout, PeerFailure, MessageError):
            return None


def upstream_statuses(view: UpstreamView) -> list[UpstreamStatus]:
    """Return the statuses of the upstreams of a view that are alive."""
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


def _check_document(body: bytes) -> bool:
    """Check a document and return whether the bytes are its canonical form."""
    return to_canonical_json(structure_document(parse_json(body))) == body


def _is_undecided(request: OperatorRequest, answer: Message) -> bool:
    """Return whether the answer may only mean that its member has no quorum."""
    if isinstance(request, (ApplyDocument, ReplaceMember)):
        return isinstance(answer, OutcomeUndecided)
    return isinstance(answer, RequestRefused)


def _may_forward(request: OperatorRequest, answer: Message) -> bool:
    """Return whether a member that couldn't decide a request may forward it."""
    if request.forwarded or isinstance(request, ReplaceMember):
        return False
    return _is_undecided(request, answer)


def _undecided(request: OperatorRequest, reason: str) -> Message:
    if isinstance(request, (ApplyDocument, ReplaceMember)):
        return OutcomeUndecided(reason=reason)
    return RequestRefused(reason=reason)


def _conflict_of(current: StoredRevision | None) -> DocumentConflict:
    if current is None:
        return DocumentConflict(revision=0, document=b"")
    return DocumentConflict(
        revision=current.revision, document=current.submission.document
    )


def _revision_shown(stored: StoredRevision | None) -> RevisionShown:
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
