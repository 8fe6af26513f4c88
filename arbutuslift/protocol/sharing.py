"""Messages by which control instances share what upstreams told them."""

from attrs import frozen

from .feed import StartNews
from .messages import Message, register


@register
@frozen(kw_only=True)
class StartUpdate(Message):
    """Tells another control instance about starts.

    Attributes:
        news: Records that changed.
        heard: Identities of the upstreams that announced themselves here since the
            last update.
    """

    news: tuple[StartNews, ...]
    heard: tuple[str, ...]


@register
@frozen(kw_only=True)
class StartDigest(Message):
    """Tells another control instance what the starts here look like.

    Attributes:
        digests: Hashes of all buckets, see ``StartDigests``.
    """

    digests: bytes


@register
@frozen(kw_only=True)
class StartsWanted(Message):
    """Asks for the starts of buckets that differ; the answer is a StartUpdate.

    Attributes:
        buckets: Numbers of the buckets.
    """

    buckets: tuple[int, ...]
