"""Messages by which a control instance asks to join the replicated log."""

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
