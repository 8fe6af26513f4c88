"""Messages by which a control instance joins the replicated log, and leaves it."""

from attrs import frozen

from .messages import Message, register


@register
@frozen(kw_only=True)
class EnrolRequest(Message):
    """Asks to add a control instance to the members of the replicated log.

    Attributes:
        identity: Random identity stored on the disk of the instance.
        data_centre: Data centre of the instance.
    """

    identity: bytes
    data_centre: str


@register
@frozen(kw_only=True)
class EnrolAnswer(Message):
    """Answers an EnrolRequest.

    Attributes:
        is_leader: Whether the answering instance is the leader.
        leader_name: Name of the leader known to it; empty for none.
        controls: Names of the control instances known to it.
    """

    is_leader: bool
    leader_name: str
    controls: tuple[str, ...]


@register
@frozen(kw_only=True)
class LeaveRequest(Message):
    """Tells the leader that a control instance is about to end.

    Attributes:
        identity: Random identity stored on the disk of the instance.
    """

    identity: bytes


@register
@frozen(kw_only=True)
class LeaveAnswer(Message):
    """Answers a LeaveRequest.

    Attributes:
        is_leader: Whether the answering instance is the leader.
        may_end: Whether the instance may end: it has no vote any more, or no other
            instance can take its vote.
    """

    is_leader: bool
    may_end: bool
