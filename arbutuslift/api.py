"""Plain functions over the operators' interface."""

from collections.abc import Callable, Sequence
from typing import TypeVar

from attrs import evolve, field, frozen

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
    DataCentre,
    Document,
    from_canonical_json,
    to_canonical_json,
)
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

MAX_CONFLICT_RETRIES = 5
MAX_PING_TIMEOUT_S = 2.0

A = TypeVar("A", bound=Message)


@frozen(kw_only=True)
class Session:
    """How an operator reaches the system.

    Attributes:
        channel: Carries the requests.
        clock: Source of time.
        servers: Names of instances to ask, in this order.
        timeout_s: How long to wait for an answer.
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
        entry: What is recorded about it; None if none was accepted yet.
        configuration: Its number, 0 if there is none, and its document.
    """

    entry: RevisionEntry | None = None
    configuration: Configuration = field(factory=Configuration)


async def apply_document(
    session: Session, document: Document, expected_revision: int, request_id: str
) -> int:
    """Submit a document.

    Args:
        session: How to reach the system.
        document: The document.
        expected_revision: Revision on which the document is based.
        request_id: The same for every resend.

    Returns:
        The revision under which it was accepted.

    Raises:
        DocumentError: The document has faults.
        ConfigurationConflict: Another revision stands; the error carries it as a
            :class:`Configuration`.
        ChangeNotAccepted: It was refused.
        OutcomeUnknown: Nothing tells whether it was accepted.
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
    return (await _ask(session, request, DocumentApplied)).revision


async def fetch_revision(session: Session, revision: int = 0) -> Revision:
    """Return a revision; 0 asks for the standing one.

    Raises:
        ChangeNotAccepted: No quorum confirmed it, or there is no such revision.
        ServersUnreachable: No server answered.
    """
    request = ShowRevision(timeout_s=session.timeout_s, revision=revision)
    shown = await _ask(session, request, RevisionShown)
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
    """Return the newest revisions, newest first."""
    request = ShowHistory(timeout_s=session.timeout_s, limit=limit)
    return (await _ask(session, request, HistoryShown)).entries


async def fetch_status(
    session: Session, *, service: str, data_centre: str, limit: int
) -> StatusShown:
    """Return the instances and upstreams that the asked server knows."""
    request = ShowStatus(
        timeout_s=session.timeout_s,
        service=service,
        data_centre=data_centre,
        limit=limit,
    )
    return await _ask(session, request, StatusShown)


async def members(session: Session) -> MembersShown:
    """Return the control members."""
    return await _ask(session, ShowMembers(timeout_s=session.timeout_s), MembersShown)


async def replace_member(session: Session, old_name: str, new_name: str) -> None:
    """Replace a member whose disk or machine is lost.

    Raises:
        ChangeNotAccepted: Another change is under way, or the new member can't be
            reached.
        OutcomeUnknown: Nothing tells whether the replacement goes on.
        ServersUnreachable: No server answered.
    """
    request = ReplaceMember(
        timeout_s=session.timeout_s, old_name=old_name, new_name=new_name
    )
    await _ask(session, request, MemberReplaced)


async def set_in_service(
    session: Session,
    name: str,
    in_service: bool,
    new_request_id: Callable[[], str],
) -> Revision:
    """Take a data centre out of service or bring it back.

    A conflict is retried on top of the standing document as long as that document
    has the same entry for the data centre. Every try has its own request
    identifier, since a try's answer is recorded under its identifier.

    Args:
        session: How to reach the system.
        name: Name of the data centre.
        in_service: Whether it shall be in service.
        new_request_id: Returns an unused request identifier.

    Returns:
        The revision that has the wanted state. Its entry is None if this call
        submitted it.

    Raises:
        ChangeNotAccepted: There is no such data centre.
        ConfigurationConflict: Another operator changed the data centre.
        OutcomeUnknown: Nothing tells whether the change was accepted.
        ServersUnreachable: No server answered.
    """
    standing = await fetch_revision(session)
    centre = _find(standing.configuration.document, name)
    if centre is None:
        raise ChangeNotAccepted(f"there is no data centre {name}", step="show")
    if centre.in_service == in_service:
        return standing
    base = standing.configuration
    for _ in range(MAX_CONFLICT_RETRIES):
        changed = _with_state(base.document, name, in_service)
        try:
            number = await apply_document(
                session, changed, base.revision, new_request_id()
            )
        except ConfigurationConflict as error:
            base = error.current
            if _find(base.document, name) != centre:
                raise
        else:
            return Revision(
                configuration=Configuration(revision=number, document=changed)
            )
    reason = f"{MAX_CONFLICT_RETRIES} tries met a newer revision"
    raise ConfigurationConflict(reason, current=base, step="apply")


def _find(document: Document, name: str) -> DataCentre | None:
    found = (centre for centre in document.data_centres if centre.name == name)
    return next(found, None)


def _with_state(document: Document, name: str, in_service: bool) -> Document:
    centres = tuple(
        evolve(centre, in_service=in_service) if centre.name == name else centre
        for centre in document.data_centres
    )
    return evolve(document, data_centres=centres)


async def _ask(session: Session, request: OperatorRequest, wanted: type[A]) -> A:
    """Ask servers in turn until one decides.

    A server gets the request only after it answered a ping. If none does, nothing
    was asked. After a lost answer, the next server is asked only for requests that
    can't be made twice: reads, and documents, which carry a request identifier.
    """
    lost: list[str] = []
    for server in session.servers:
        if lost and isinstance(request, ReplaceMember):
            break
        if not await _answers_ping(session, server):
            continue
        answer = await _request(session, server, request, session.timeout_s)
        if isinstance(answer, OutcomeUndecided):
            lost.append(f"{server}: {answer.reason}")
        elif answer is None:
            lost.append(f"{server}: no answer")
        elif isinstance(answer, RequestRefused) and (lost or _is_read(request)):
            lost.append(f"{server}: {answer.reason}")
        else:
            return _accept(answer, wanted, server)
    step = type(request).__name__
    if not lost:
        raise ServersUnreachable(
            "no server answers; nothing was sent",
            step=step,
            peer=", ".join(session.servers),
        )
    if _is_read(request):
        raise ChangeNotAccepted("; ".join(lost), step=step)
    raise OutcomeUnknown("; ".join(lost), step=step)


def _is_read(request: OperatorRequest) -> bool:
    return not isinstance(request, (ApplyDocument, ReplaceMember))


async def _answers_ping(session: Session, server: str) -> bool:
    timeout_s = min(MAX_PING_TIMEOUT_S, session.timeout_s)
    ping = OperatorPing(timeout_s=timeout_s)
    return isinstance(await _request(session, server, ping, timeout_s), OperatorPong)


async def _request(
    session: Session, server: str, request: OperatorRequest, timeout_s: float
) -> Message | None:
    try:
        return await session.channel.request(server, request, timeout_s)
    except (PeerTimeout, PeerFailure, MessageError):
        return None


def _accept(answer: Message, wanted: type[A], server: str) -> A:
    """Return the wanted answer or raise the error that another answer stands for."""
    match answer:
        case DocumentRejected():
            faults = tuple(Fault(fault.path, fault.reason) for fault in answer.faults)
            raise DocumentError(faults, step="apply", peer=server)
        case DocumentConflict():
            raise ConfigurationConflict(
                f"revision {answer.revision} stands",
                current=_standing(answer),
                step="apply",
                peer=server,
            )
        case RequestRefused():
            raise ChangeNotAccepted(answer.reason, step="apply", peer=server)
    if not isinstance(answer, wanted):
        # The server may have acted on the request before it gave this answer.
        name = type(answer).__name__
        raise OutcomeUnknown(f"unexpected answer {name}", step="apply", peer=server)
    return answer


def _standing(conflict: DocumentConflict) -> Configuration:
    if not conflict.document:
        return Configuration()
    document = from_canonical_json(conflict.document)
    return Configuration(revision=conflict.revision, document=document)


def server_names(servers: Sequence[str]) -> tuple[str, ...]:
    """Return the names in a list of ``name=ip:port``."""
    return tuple(server.partition("=")[0] for server in servers)
