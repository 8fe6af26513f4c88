"""Messages about denials: resets of upstreams that are held before delivery."""

from attrs import frozen

from .messages import Message, register


@register
@frozen(kw_only=True)
class DenialReport(Message):
    """Reports that an upstream reset a flow that it isn't known to hold.

    The receiver owns the flow. It holds the reset and passes it on to the caller only
    if every upstream that may hold the flow denies it.

    Attributes:
        upstream_id: The upstream.
        packet: The reset, an IPv4 packet addressed to the caller.
    """

    upstream_id: str
    packet: bytes


@register
@frozen(kw_only=True)
class DenialHeld(Message):
    """Answers a DenialReport: the flow's owner holds the denial."""
