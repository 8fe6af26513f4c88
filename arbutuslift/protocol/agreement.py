"""Raft messages between the members of the replicated log.

Each request carries the identity of the member that it addresses. A member with a
different identity, for example after its disk was wiped, refuses the request.
"""

from attrs import frozen

from ..state.configuration import Decision, Submission
from ..state.logstore import LogEntry
from .messages import Message, register


@register
@frozen(kw_only=True)
class VoteRequest(Message):
    """Asks for a vote.

    Attributes:
        target: Identity of the voter.
        candidate: Identity of the candidate.
        cluster: Cluster of the candidate.
        term: Term of the election.
        last_index: Index of the candidate's last log entry.
        last_term: Term of that entry.
        pre_vote: Whether this is a pre-vote, which asks only whether the vote would
            be granted.
    """

    target: bytes
    candidate: bytes
    cluster: bytes
    term: int
    last_index: int
    last_term: int
    pre_vote: bool


@register
@frozen(kw_only=True)
class VoteAnswer(Message):
    """Answers a VoteRequest with the voter's identity and term."""

    voter: bytes
    term: int
    granted: bool


@register
@frozen(kw_only=True)
class AppendRequest(Message):
    """Carries log entries; a request without entries is a heartbeat.

    Attributes:
        target: Identity of the receiver.
        cluster: Cluster of the leader.
        term: Term of the leader.
        previous_index: Index of the entry before the first one carried.
        previous_term: Term of that entry.
        commit_index: Index of the last committed entry.
        entries: Entries to append.
    """

    target: bytes
    cluster: bytes
    term: int
    previous_index: int
    previous_term: int
    commit_index: int
    entries: tuple[LogEntry, ...] = ()


@register
@frozen(kw_only=True)
class AppendAnswer(Message):
    """Answers an AppendRequest or the last SnapshotChunk.

    Attributes:
        member: Identity of the receiver.
        term: Its term.
        success: Whether its log matches the leader's up to ``matched_index``.
        matched_index: On success the last matching index, otherwise an index from
            which the leader may try again.
    """

    member: bytes
    term: int
    success: bool
    matched_index: int


@register
@frozen(kw_only=True)
class SnapshotChunk(Message):
    """Carries a part of an encoded snapshot.

    Attributes:
        target: Identity of the receiver.
        cluster: Cluster of the leader.
        term: Term of the leader.
        index: Index of the last log entry that the snapshot includes.
        offset: Offset of ``data`` in the encoded snapshot, in bytes.
        data: The bytes of this part.
        done: Whether it is the last part.
    """

    target: bytes
    cluster: bytes
    term: int
    index: int
    offset: int
    data: bytes
    done: bool


@frozen(kw_only=True)
class MemberSilence:
    """How long a leader hasn't had contact with a member.

    Attributes:
        identity: Identity of the member.
        silence_s: Time since it was last heard of, when the message was sent.

    Raises:
        ValueError: The time is negative.
    """

    identity: bytes
    silence_s: float

    def __attrs_post_init__(self) -> None:
        if self.silence_s < 0:
            raise ValueError(f"silence of {self.silence_s} s")


@register
@frozen(kw_only=True)
class MemberSilences(Message):
    """Tells the members which others are silent; the leader hears all others.

    It is a message of its own, since an instance of a version that doesn't know it
    must still take entries and heartbeats.

    Attributes:
        cluster: Cluster of the leader.
        term: Term of the leader.
        silences: The silent members.
    """

    cluster: bytes
    term: int
    silences: tuple[MemberSilence, ...] = ()


@register
@frozen(kw_only=True)
class TakeOver(Message):
    """Transfers leadership: asks a voter to start an election at once.

    A leader sends it before it stops.

    Attributes:
        target: Identity of the voter.
        cluster: Cluster of the leader.
        term: Term of the leader.
    """

    target: bytes
    cluster: bytes
    term: int


@register
@frozen(kw_only=True)
class IdentityRequest(Message):
    """Asks a process for its identity."""


@register
@frozen(kw_only=True)
class IdentityAnswer(Message):
    """Answers an IdentityRequest.

    Attributes:
        identity: Random identity stored on the disk of the process.
        cluster: Cluster to which the process belongs; empty for none.
        last_index: Index of the last entry of its log.
    """

    identity: bytes
    cluster: bytes
    last_index: int


@register
@frozen(kw_only=True)
class SubmitRequest(Message):
    """Carries a submission to the leader."""

    submission: Submission


@register
@frozen(kw_only=True)
class SubmitAnswer(Message):
    """Answers a SubmitRequest."""

    decision: Decision


@register
@frozen(kw_only=True)
class ReadRequest(Message):
    """Asks the leader for a read index, which covers everything accepted so far."""


@register
@frozen(kw_only=True)
class ReadAnswer(Message):
    """Answers a ReadRequest."""

    index: int


@register
@frozen(kw_only=True)
class MembersRequest(Message):
    """Asks the leader for its members."""


@register
@frozen(kw_only=True)
class MemberReport(Message):
    """The leader's view of a member; see ``MemberStatus``."""

    name: str
    identity: bytes
    role: str
    matched_index: int


@register
@frozen(kw_only=True)
class MembersAnswer(Message):
    """Answers a MembersRequest."""

    members: tuple[MemberReport, ...]


@register
@frozen(kw_only=True)
class ReplaceRequest(Message):
    """Asks the leader to replace a member."""

    old_name: str
    new_name: str


@register
@frozen(kw_only=True)
class ReplaceAnswer(Message):
    """Answers a ReplaceRequest; the reason is empty on success."""

    reason: str = ""


@register
@frozen(kw_only=True)
class NotLeader(Message):
    """Answers a request that only a leader with a quorum can answer."""
