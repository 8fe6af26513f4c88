"""Messages by which entry instances take turns to stop."""

from attrs import frozen

from .messages import Message, register


@register
@frozen(kw_only=True)
class StopRequest(Message):
    """An entry instance asks whether it may stop now.

    Attributes:
        data_centre: Where it runs.
    """

    data_centre: str


@register
@frozen(kw_only=True)
class StopAnswer(Message):
    """Answers a StopRequest.

    Attributes:
        is_turn: Whether the instance may stop; otherwise it asks again.
    """

    is_turn: bool
