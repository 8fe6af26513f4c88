"""Messages by which control instances share the announcements of upstreams."""

from attrs import field, frozen

from ..state.fieldcodec import INDEPENDENT_ITEMS
from .feed import StartNews
from .messages import Message, register


@register
@frozen(kw_only=True)
class StartUpdate(Message):
    """Sends changed starts to another control instance.

    Attributes:
        news: Records that changed.
        heard: Identities of the upstreams that announced themselves to the sender
            since its last update.
    """

    news: tuple[StartNews, ...] = field(metadata=INDEPENDENT_ITEMS)
    heard: tuple[str, ...]


@register
@frozen(kw_only=True)
class StartDigest(Message):
    """Sends digests of the sender's starts to another control instance.

    Attributes:
        digests: Hashes of all buckets; see ``StartDigests``.
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
