"""Functions that send operators' requests to the instances."""

from collections.abc import Sequence
from typing import TypeVar

from attrs import field, frozen

from .clock import Clock
from .errors import (
    ChangeNotAccepted,
    ConfigurationConflict,
    DocumentError,
    Fault,
    MessageError,
    OutcomeUnknown,
    PeerFailure,
    PeerTimeout,
    ServersUnreachable,
)
from .protocol.channel import Channel
from .protocol.document import (
    Configuration,
    Document,
    from_canonical_json,
    to_canonical_json,
)
from .protocol.loadquery import LoadShown, ShowLoad
from .protocol.messages import Message
from .protocol.operators import (
    ApplyDocument,
    DocumentApplied,
    DocumentConflict,
    DocumentRejected,
    HistoryShown,
    MemberReplaced,
    MembersShown,
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
)

MAX_PING_TIMEOUT_S = 2.0

AnswerT = TypeVar("AnswerT", bound=Message)


@frozen(kw_only=True)
class Session:
    """Connection of an operator to the system.

    Attributes:
        channel: Channel on which requests are sent.
        clock: Source of time.
        servers: Names of the instances to ask, in this order.
        timeout_s: Longest wait for an answer.
        author: Name of the operator.
    """

    channel: Channel
    clock: Clock
    servers: tuple[str, ...]
    timeout_s: float
    author: str


@frozen(kw_only=True)
class Revision:
    """An accepted revision with its document.

    Attributes:
        entry: Entry in the history; None if no revision has been accepted yet.
        configuration: Revision number, 0 if there is none, and document.
    """

    entry: RevisionEntry | None = None
    configuration: Configuration = field(factory=Configuration)


async def apply_document(
    session: Session, document: Document, expected_revision: int, request_id: str
) -> int:
    """Submit a document.

    Args:
        session: Connection to the system.
        document: The document.
        expected_revision: Revision on which the document is based.
        request_id: Identifier of the request; a resend must repeat it.

    Returns:
        The revision under which it was accepted.

    Raises:
        DocumentError: The document is invalid.
        ConfigurationConflict: Another revision is current; the error holds it as a
            :class:`Configuration`.
        ChangeNotAccepted: It was refused.
        OutcomeUnknown: It is unknown whether it was accepted.
        ServersUnreachable: No server answered.
    """
    request = ApplyDocument(
        timeout_s=session.timeout_s,
        document=to_canonical_json(document),
        expected_revision=expected_revision,
        request_id=request_id,
        author=session.author,
        submitted_at_s=session.clock.wall_s(),
    )
    return (await _ask_servers(session, request, DocumentApplied)).revision


async def fetch_revision(session: Session, revision: int = 0) -> Revision:
    """Return a revision; ``revision`` 0 stands for the current one.

    Raises:
        ChangeNotAccepted: No quorum confirmed it, or there is no such revision.
        ServersUnreachable: No server answered.
    """
    request = ShowRevision(timeout_s=session.timeout_s, revision=revision)
    shown = await _ask_servers(session, request, RevisionShown)
    if shown.entry is not None:
        document = from_canonical_json(shown.document)
        number = shown.entry.revision
        return Revision(
            entry=shown.entry,
            configuration=Configuration(revision=number, document=document),
        )
    if revision:
        raise ChangeNotAccepted(f"there is no revision {revision}", step="show")
    return Revision()


async def fetch_history(session: Session, limit: int) -> tuple[RevisionEntry, ...]:
    """Return the history entries of the newest revisions, newest first."""
    request = ShowHistory(timeout_s=session.timeout_s, limit=limit)
    return (await _ask_servers(session, request, HistoryShown)).entries


async def fetch_status(
    session: Session, *, service: str, data_centre: str, limit: int
) -> StatusShown:
    """Return the instances and upstreams in the view of the server that answers."""
    request = ShowStatus(
        timeout_s=session.timeout_s,
        service=service,
        data_centre=data_centre,
        limit=limit,
    )
    return await _ask_servers(session, request, StatusShown)


async def fetch_load(
    session: Session, *, service: str, data_centre: str, limit: int
) -> LoadShown:
    """Return the load of services that the first server that answers knows."""
    request = ShowLoad(
        timeout_s=session.timeout_s,
        service=service,
        data_centre=data_centre,
        limit=limit,
    )
    return await _ask_servers(session, request, LoadShown)


async def fetch_members(session: Session) -> MembersShown:
    """Return the members of the agreement."""
    return await _ask_servers(
        session, ShowMembers(timeout_s=session.timeout_s), MembersShown
    )


async def replace_member(session: Session, old_name: str, new_name: str) -> None:
    """Replace a member whose disk or machine is failures.

    Raises:
        ChangeNotAccepted: Another change is under way, or the new member can't be
            reached.
        OutcomeUnknown: It is unknown whether the replacement continues.
        ServersUnreachable: No server answered.
    """
    request = ReplaceMember(
        timeout_s=session.timeout_s, old_name=old_name, new_name=new_name
    )
    await _ask_servers(session, request, MemberReplaced)


async def _ask_servers(
    session: Session, request: OperatorRequest, expected: type[AnswerT]
) -> AnswerT:
    """Send a request to one server after the other until one decides.

    A server gets the request only after it answered a ping, so if no server answers
    pings, no request was sent. After a lost answer, the request is sent to the next
    server only if that can't have an effect twice: reads have none, and documents carry
    a request identifier.
    """
    failures: list[str] = []
    for server in session.servers:
        if failures and isinstance(request, ReplaceMember):
            break
        if not await _answers_ping(session, server):
            continue
        answer = await _send_request(session, server, request, session.timeout_s)
        if isinstance(answer, OutcomeUndecided):
            failures.append(f"{server}: {answer.reason}")
        elif answer is None:
            failures.append(f"{server}: no answer")
        elif isinstance(answer, RequestRefused) and (failures or _is_read(request)):
            failures.append(f"{server}: {answer.reason}")
        else:
            return _check_answer(answer, expected, server)
    step = type(request).__name__
    if not failures:
        raise ServersUnreachable(
            "no server answers; nothing was sent",
            step=step,
            peer=", ".join(session.servers),
        )
    if _is_read(request):
        raise ChangeNotAccepted("; ".join(failures), step=step)
    raise OutcomeUnknown("; ".join(failures), step=step)


def _is_read(request: OperatorRequest) -> bool:
    return not isinstance(request, (ApplyDocument, ReplaceMember))


async def _answers_ping(session: Session, server: str) -> bool:
    timeout_s = min(MAX_PING_TIMEOUT_S, session.timeout_s)
    ping = OperatorPing(timeout_s=timeout_s)
    return isinstance(
        await _send_request(session, server, ping, timeout_s), OperatorPong
    )


async def _send_request(
    session: Session, server: str, request: OperatorRequest, timeout_s: float
) -> Message | None:
    try:
        return await session.channel.request(server, request, timeout_s)
    except (PeerTimeout, PeerFailure, MessageError):
        return None


def _check_answer(answer: Message, expected: type[AnswerT], server: str) -> AnswerT:
    """Return the expected answer, or raise the error that another one represents."""
    match answer:
        case DocumentRejected():
            faults = tuple(Fault(fault.path, fault.reason) for fault in answer.faults)
            raise DocumentError(faults, step="apply", peer=server)
        case DocumentConflict():
            raise ConfigurationConflict(
                f"the current revision is {answer.revision}",
                current=_conflict_configuration(answer),
                step="apply",
                peer=server,
            )
        case RequestRefused():
            raise ChangeNotAccepted(answer.reason, step="apply", peer=server)
    if not isinstance(answer, expected):
        # The server may have processed the request before it sent this answer.
        name = type(answer).__name__
        raise OutcomeUnknown(f"unexpected answer {name}", step="apply", peer=server)
    return answer


def _conflict_configuration(conflict: DocumentConflict) -> Configuration:
    if not conflict.document:
        return Configuration()
    document = from_canonical_json(conflict.document)
    return Configuration(revision=conflict.revision, document=document)


def server_names(servers: Sequence[str]) -> tuple[str, ...]:
    """Return the names in a list of ``name=ip:port``."""
    return tuple(server.partition("=")[0] for server in servers)
