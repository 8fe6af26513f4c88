"""Messages of the feed, to which entry instances subscribe at control instances."""

from attrs import field, frozen

from ..state.fieldcodec import INDEPENDENT_ITEMS
from ..state.starts import UpstreamStart
from .messages import Message, register


@register
@frozen(kw_only=True)
class FeedRequest(Message):
    """Asks for updates (long poll); the answer may wait until there are any.

    Attributes:
        epoch: Identifies the process of the control instance to which ``position``
            belongs.
        position: Last position received from it.
        revision: Revision of the newest routing table that the requester has.
        wants_table: Whether the answer should include a newer table.
        hold_ms: Longest time that the answer may wait.
        data_centre: Data centre of the requester.
        is_stopping: Whether the requester has signalled to the routers that it stops.
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
    """A start of an upstream in the view of a control instance.

    Attributes:
        start: The record; ``warm_up_left_ms`` counts from the time of sending.
        is_silent: Whether its announcements have timed out.
        is_doubted: Whether an entry instance has just reported it lost. Other entry
            instances check it themselves, since only the path from the reporting
            instance may be interrupted.
        is_remembered: Whether the control instance restored it from disk at its own
            start and has received no announcement of it since. Its existing flows
            may continue; whether it accepts new flows is unknown.
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
        epoch: Identifies the process of the control instance.
        position: Position of the last record in ``news``, or of the newest record; -1
            if ``news`` is an excerpt of the whole list, which follows.
        is_first: Whether ``news`` begins the list of all starts; more of them may
            follow in the next answers.
        is_settled: Whether every running upstream has had time to announce itself and
            no more records are to follow.
        news: Records after the requested position, a bounded number.
        revision: Newest committed revision of the control instance.
        table: Encoded routing table; empty if it wasn't requested or isn't newer.
        controls: Names of the control instances, which are also their addresses.
        entry_count: Number of entry instances subscribed to the control instance.
    """

    epoch: int
    position: int
    is_first: bool
    is_settled: bool
    news: tuple[StartNews, ...] = field(metadata=INDEPENDENT_ITEMS)
    revision: int
    table: bytes
    controls: tuple[str, ...]
    entry_count: int


@register
@frozen(kw_only=True)
class RouteTimesRequest(Message):
    """Asks for aims and time-outs of the routes of the newest routing table.

    They aren't part of ``FeedAnswer``, since instances of earlier versions refuse
    messages with further fields.
    """


@register
@frozen(kw_only=True)
class RouteTimes(Message):
    """Answers a RouteTimesRequest.

    Attributes:
        revision: Revision of the routing table.
        times: Encoded times of its routes; see ``encode_route_times``.
    """

    revision: int
    times: bytes


@register
@frozen(kw_only=True)
class LossReport(Message):
    """Reports that an entry instance can't reach a start of an upstream.

    Attributes:
        upstream_id: Identity of the upstream.
        born_ms: Start time of the upstream.
    """

    upstream_id: str
    born_ms: int
