"""Messages by which entry instances follow the state of control instances."""

from attrs import frozen

from ..state.starts import UpstreamStart
from .messages import Message, register


@register
@frozen(kw_only=True)
class FeedRequest(Message):
    """Asks for what is new; the answer may wait until something is.

    Attributes:
        epoch: Process of the control instance that ``position`` belongs to.
        position: Last position received of it.
        revision: Newest routing table that the requester has.
        wants_table: Whether to send a newer table along.
        hold_ms: Longest time that the answer may wait.
        data_centre: Where the requester runs.
        is_stopping: Whether it has told the routers that it stops.
    """

    epoch: int
    position: int
    revision: int
    wants_table: bool
    hold_ms: int
    data_centre: str
    is_stopping: bool


@register
@frozen(kw_only=True)
class StartNews(Message):
    """A start of an upstream as a control instance knows it.

    Attributes:
        start: The record; ``warm_up_left_ms`` counts from the sending.
        is_silent: Whether its announcements have stopped.
        is_doubted: Whether an entry instance has just found it lost. Others find out
            for themselves, since it may be their own way that is cut.
        is_remembered: Whether the control instance knew it before its own start and
            hasn't heard of it since. Flows that it holds may go on; whether it takes
            new ones is unknown.
    """

    start: UpstreamStart
    is_silent: bool
    is_doubted: bool = False
    is_remembered: bool = False


@register
@frozen(kw_only=True)
class FeedAnswer(Message):
    """Answers a FeedRequest.

    Attributes:
        epoch: Process of the control instance.
        position: Position of the last record in ``news``, or of the newest one.
        is_first: Whether ``news`` begins the list of all starts; more may follow with
            the next answers.
        is_settled: Whether every running upstream had time to announce itself, and
            nothing is left to follow.
        news: Records after the position asked for, a bounded number.
        revision: Newest committed revision of the control instance.
        table: Encoded routing table; empty if none was asked for or is newer.
        controls: Names of the control instances, by which they are reached.
        entry_count: Entry instances that follow the control instance.
    """

    epoch: int
    position: int
    is_first: bool
    is_settled: bool
    news: tuple[StartNews, ...]
    revision: int
    table: bytes
    controls: tuple[str, ...]
    entry_count: int


@register
@frozen(kw_only=True)
class LossReport(Message):
    """An entry instance can't reach a start of an upstream.

    Attributes:
        upstream_id: Identity of the upstream.
        born_ms: Its start.
    """

    upstream_id: str
    born_ms: int
