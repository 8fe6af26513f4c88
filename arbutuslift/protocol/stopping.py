"""Messages by which entry instances ask for a stop permit."""

from attrs import frozen

from .messages import Message, register


@register
@frozen(kw_only=True)
class StopRequest(Message):
    """Asks whether an entry instance may stop now.

    Attributes:
        data_centre: Data centre of the instance.
    """

    data_centre: str


@register
@frozen(kw_only=True)
class StopAnswer(Message):
    """Answers a StopRequest.

    Attributes:
        is_turn: Whether the instance has the permit; otherwise it asks again.
    """

    is_turn: bool
