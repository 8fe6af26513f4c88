"""Messages by which operators see the load of services."""

from attrs import frozen

from ..state.loadfigures import ServiceLoad
from .messages import Message, register
from .operators import OperatorRequest


@register
@frozen(kw_only=True)
class ShowLoad(OperatorRequest):
    """Asks for the load that the answering instance knows.

    Attributes:
        service: Restricts the rows to this service; empty for all.
        data_centre: Restricts the rows to this data centre; empty for all.
        limit: Maximum number of rows.
    """

    service: str = ""
    data_centre: str = ""
    limit: int


@register
@frozen(kw_only=True)
class LoadShown(Message):
    """Load by service and data centre.

    Attributes:
        rows: Rows in the order of their names, up to the limit.
        rows_total: Number of rows that match.
        is_demand_known: Whether the rows contain what entry instances report. If not,
            they contain only what upstreams announce: upstreams, slots and what is
            outstanding.
    """

    rows: tuple[ServiceLoad, ...]
    rows_total: int
    is_demand_known: bool
