"""Messages by which instances share their load."""

from attrs import frozen

from ..state.loadfigures import ServiceDemand, ServiceLoad, UpstreamLoad
from .messages import Message, register


@register
@frozen(kw_only=True)
class LoadReport(Message):
    """Reports the load at an entry instance; the answer is a LoadSummary.

    Attributes:
        sequence: Orders the reports of one instance, also across its restarts.
        interval_ms: Length of the interval that the figures cover.
        data_centre: Data centre of the instance.
        upstreams: Load of the upstreams that have something to report.
        services: Demand for services at this instance.
    """

    sequence: int
    interval_ms: int
    data_centre: str
    upstreams: tuple[UpstreamLoad, ...]
    services: tuple[ServiceDemand, ...]


@register
@frozen(kw_only=True)
class LoadSummary(Message):
    """Answers a LoadReport with the sums of all reports.

    Attributes:
        instances: Instances of the requester's data centre that report.
        upstreams: Sums for the upstreams of this data centre, and for those that the
            requester reported.
        services: Load of services in all data centres.
    """

    instances: int
    upstreams: tuple[UpstreamLoad, ...]
    services: tuple[ServiceLoad, ...]


@register
@frozen(kw_only=True)
class LoadTotals(Message):
    """Sends the load of data centres to another control instance.

    Attributes:
        services: Load of services in the data centres that report to the sender.
    """

    services: tuple[ServiceLoad, ...]
