"""Messages about upstreams that report as warm since their data centre came back."""

from attrs import frozen

from .messages import Message, register


@register
@frozen(kw_only=True)
class ReportedRequest(Message):
    """Asks which upstreams of a data centre are warm by a report since its return.

    Attributes:
        data_centre: The data centre.
        revision: Revision of the routing table in effect at the sender.
        after_us: ``until_us`` of the last answer, 0 without one.
    """

    data_centre: str
    revision: int
    after_us: int


@register
@frozen(kw_only=True)
class ReportedAnswer(Message):
    """Answers a ReportedRequest.

    Attributes:
        is_current: Whether the control instance has the revision of the request.
        upstream_ids: Upstreams that have said so to the sender, in the order of their
            newest reports; a bounded number.
        until_us: When the last of them was heard, in us of the sender's clock.
        is_last: Whether no more are known now.
    """

    is_current: bool
    upstream_ids: tuple[str, ...] = ()
    until_us: int = 0
    is_last: bool = True
