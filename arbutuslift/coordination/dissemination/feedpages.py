"""Pages of the feed: a bounded number of changed starts in each answer."""

from collections import Counter
from collections.abc import Callable, Sequence
from typing import Protocol, TypeVar

from attrs import evolve, frozen

from ...protocol.feed import StartNews
from ...state.starts import UpstreamStart

# Position of a subscriber that has a page in another order: the next page begins with
# the oldest change. Unlike 0 it also requests starts that are gone, since the first
# page may have contained them.
BEFORE_FIRST = -1


class Positioned(Protocol):
    """A start at a position of the feed."""

    start: UpstreamStart
    position: int


T = TypeVar("T", bound=Positioned)


@frozen(kw_only=True)
class FeedPage:
    """A page of the feed.

    Attributes:
        news: Records in the order of their positions.
        position: Position after which the next page begins.
        is_last: Whether no further records are available now.
    """

    news: tuple[StartNews, ...]
    position: int
    is_last: bool


def page_in_order(
    items: Sequence[T], limit: int, end: int, to_news: Callable[[T], StartNews]
) -> FeedPage:
    """Return a page with the oldest changes.

    Args:
        items: Starts to be sent, in any order.
        limit: Maximum number of records.
        end: Position of the newest change.
        to_news: Returns the record of an item.
    """
    is_last = len(items) <= limit
    page = _in_order(items)[:limit]
    news = tuple(to_news(item) for item in page)
    position = end if is_last else page[-1].position
    return FeedPage(news=news, position=position, is_last=is_last)


def first_page(
    items: Sequence[T],
    data_centre: str,
    limit: int,
    end: int,
    to_news: Callable[[T], StartNews],
) -> FeedPage:
    """Return the page of a new subscriber in a data centre.

    A subscriber that has just started forwards waiting callers as soon as it has this
    page, and prefers upstreams of its data centre. If there are more starts than the
    limit, these come first, and the next page begins with the oldest change.
    """
    if len(items) > limit:
        page = _local_first(items, data_centre)[:limit]
        return evolve(page_in_order(page, limit, BEFORE_FIRST, to_news), is_last=False)
    return page_in_order(items, limit, end, to_news)


def _in_order(items: Sequence[T]) -> list[T]:
    return sorted(items, key=lambda item: item.position)


def _local_first(items: Sequence[T], data_centre: str) -> list[T]:
    """Return the items of a data centre first, those of its services in turns.

    In turns, no service with many starts takes the places of another one.
    """
    ranks: Counter[tuple[bool, str]] = Counter()
    keyed = []
    for item in _in_order(items):
        group = (item.start.data_centre != data_centre, item.start.service)
        ranks[group] += 1
        keyed.append((group[0], ranks[group], item.position, item))
    return [item for *_, item in sorted(keyed, key=lambda key: key[:3])]
