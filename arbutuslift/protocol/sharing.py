"""Message by which control instances share what upstreams told them."""

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
