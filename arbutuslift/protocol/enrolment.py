"""Messages by which a control instance asks to take part in the agreement."""

from attrs import frozen

from .messages import Message, register


@register
@frozen(kw_only=True)
class EnrolRequest(Message):
    """A control instance asks to take part in the agreement.

    Attributes:
        identity: Identity of its disk.
        data_centre: Where it runs.
    """

    identity: bytes
    data_centre: str


@register
@frozen(kw_only=True)
class EnrolAnswer(Message):
    """Answers an EnrolRequest.

    Attributes:
        is_leader: Whether the answering instance leads.
        leader_name: Leader that it knows, empty for none.
        controls: Names of the control instances that it knows.
    """

    is_leader: bool
    leader_name: str
    controls: tuple[str, ...]
