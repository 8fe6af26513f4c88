"""Messages between operators' clients and instances."""

from attrs import frozen

from .messages import Message, register


@frozen(kw_only=True)
class OperatorRequest(Message):
    """Base of all requests.

    Attributes:
        timeout_s: How long the client waits for the answer.
        forwarded: Whether an instance has forwarded the request, which may be done
            only once.
    """

    timeout_s: float
    forwarded: bool = False


@register
@frozen(kw_only=True)
class OperatorPing(OperatorRequest):
    """Asks whether an instance is reachable."""


@register
@frozen(kw_only=True)
class OperatorPong(Message):
    """Answers an OperatorPing."""


@register
@frozen(kw_only=True)
class ApplyDocument(OperatorRequest):
    """Submits a document.

    Attributes:
        document: Canonical JSON.
        expected_revision: Revision on which the document is based.
        request_id: Identifier of the submission, the same for every resend.
        author: Name of the operator.
        submitted_at_s: Seconds since the Unix epoch at the client.
    """

    document: bytes
    expected_revision: int
    request_id: str
    author: str
    submitted_at_s: float


@register
@frozen(kw_only=True)
class DocumentApplied(Message):
    """The document was accepted under this revision."""

    revision: int


@register
@frozen(kw_only=True)
class DocumentConflict(Message):
    """The current revision isn't the expected one; nothing was changed.

    Attributes:
        revision: The current revision; 0 if there is none.
        document: Its document in canonical JSON; empty if there is none.
    """

    revision: int
    document: bytes


@register
@frozen(kw_only=True)
class DocumentFault(Message):
    """One fault of a document."""

    path: str
    reason: str


@register
@frozen(kw_only=True)
class DocumentRejected(Message):
    """The document has faults; nothing was changed."""

    faults: tuple[DocumentFault, ...]


@register
@frozen(kw_only=True)
class RequestRefused(Message):
    """The request was refused and changes nothing, now or later."""

    reason: str


@register
@frozen(kw_only=True)
class NotControlMember(Message):
    """A request was forwarded to an instance that isn't a control member."""


@register
@frozen(kw_only=True)
class OutcomeUndecided(Message):
    """It is unknown whether the change was made or will be made."""

    reason: str


@register
@frozen(kw_only=True)
class ShowRevision(OperatorRequest):
    """Asks for a revision with its document; 0 asks for the current one."""

    revision: int = 0


@register
@frozen(kw_only=True)
class RevisionEntry(Message):
    """Metadata of an accepted revision."""

    revision: int
    author: str
    request_id: str
    submitted_at_s: float


@register
@frozen(kw_only=True)
class RevisionShown(Message):
    """A revision and its document.

    Attributes:
        entry: The revision; None if there is no such revision.
        document: Canonical JSON; empty if there is no such revision.
    """

    entry: RevisionEntry | None
    document: bytes


@register
@frozen(kw_only=True)
class ShowHistory(OperatorRequest):
    """Asks for the newest revisions."""

    limit: int


@register
@frozen(kw_only=True)
class HistoryShown(Message):
    """The newest revisions, newest first, without their documents."""

    entries: tuple[RevisionEntry, ...]


@register
@frozen(kw_only=True)
class ShowStatus(OperatorRequest):
    """Asks for the answering instance's view of instances and upstreams.

    Attributes:
        service: Restricts the upstreams to this service; empty for all.
        data_centre: Restricts the answer to this data centre; empty for all.
        limit: Maximum number of entries in each list.
    """

    service: str = ""
    data_centre: str = ""
    limit: int


@register
@frozen(kw_only=True)
class InstanceStatus(Message):
    """Status of an entry instance.

    Attributes:
        name: Its name.
        data_centre: Its data centre.
        endpoint: Endpoint on which its bus listens.
        state: ``alive``, ``suspect`` or ``dead``.
        revision: The revision in effect there; 0 if unknown to the answering
            instance. Revisions are reported only within a data centre.
    """

    name: str
    data_centre: str
    endpoint: str
    state: str
    revision: int


@register
@frozen(kw_only=True)
class UpstreamStatus(Message):
    """Status of an upstream.

    Attributes:
        name: Its name.
        upstream_id: Identity of the process.
        data_centre: Its data centre.
        service: The service that it serves.
        address: ip:port that receives encapsulated packets.
        state: ``cold``, ``ready``, ``draining`` or ``leaving``.
        open_connections: Connections open at its last announcement.
        busy_slots: Slots in use at its last announcement.
    """

    name: str
    upstream_id: str
    data_centre: str
    service: str
    address: str
    state: str
    open_connections: int
    busy_slots: int


@register
@frozen(kw_only=True)
class StatusShown(Message):
    """Instances and upstreams, up to the limit, and the number that match."""

    instances: tuple[InstanceStatus, ...]
    instances_total: int
    upstreams: tuple[UpstreamStatus, ...]
    upstreams_total: int


@register
@frozen(kw_only=True)
class ShowMembers(OperatorRequest):
    """Asks for the control members."""


@register
@frozen(kw_only=True)
class MemberEntry(Message):
    """A control member.

    Attributes:
        name: Name of the instance.
        identity: Random identity stored on its disk, 32 hex digits.
        role: ``leader``, ``voter`` or ``learner``.
        matched_index: Last log index known to be stored on its disk.
    """

    name: str
    identity: str
    role: str
    matched_index: int


@register
@frozen(kw_only=True)
class MembersShown(Message):
    """All control members."""

    members: tuple[MemberEntry, ...]


@register
@frozen(kw_only=True)
class ReplaceMember(OperatorRequest):
    """Asks to replace a member whose disk or machine is lost."""

    old_name: str
    new_name: str


@register
@frozen(kw_only=True)
class MemberReplaced(Message):
    """Answers a ReplaceMember: the new member is a voter."""
