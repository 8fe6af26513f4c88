"""Messages about withheld denials."""

from attrs import frozen

from .messages import Message, register


@register
@frozen(kw_only=True)
class DenialReport(Message):
    """An upstream denied a flow that it isn't known to hold.

    Attributes:
        upstream_id: The upstream.
        packet: Its reset, an IPv4 packet for the caller.
    """

    upstream_id: str
    packet: bytes


@register
@frozen(kw_only=True)
class DenialHeld(Message):
    """Answer of the flow's owner: it holds the denial."""
