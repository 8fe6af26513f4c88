"""Messages by which entry instances ask for new flows at a cold upstream."""

from attrs import frozen

from .messages import Message, register


@register
@frozen(kw_only=True)
class ColdPermitRequest(Message):
    """Asks for one new flow at an upstream in cold start.

    Attributes:
        upstream_id: Identity of the upstream.
        born_ms: When its process started, in ms of the Unix epoch.
    """

    upstream_id: str
    born_ms: int


@register
@frozen(kw_only=True)
class ColdPermitAnswer(Message):
    """Answers a ColdPermitRequest.

    Attributes:
        is_granted: Whether the instance may open one flow there soon.
        wait_ms: Otherwise the time until the next one may be granted.
    """

    is_granted: bool
    wait_ms: int = 0
