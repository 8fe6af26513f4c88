"""Answers operators' queries about the load of services."""

from collections.abc import Callable

from attrs import frozen

from ...protocol.channel import Channel
from ...protocol.loadquery import LoadShown, ShowLoad
from ...protocol.operators import OperatorPing, OperatorPong
from ...state.loadfigures import ServiceLoad

# Bounds the size of an answer.
MAX_LOAD_ROWS = 5000


@frozen(kw_only=True)
class KnownLoad:
    """Load that this instance knows.

    Attributes:
        rows: Rows by service and data centre.
        is_demand_known: Whether entry instances have reported the demand.
    """

    rows: tuple[ServiceLoad, ...]
    is_demand_known: bool


class LoadQueryServer:
    """Answers ShowLoad from what this instance knows, without asking others.

    Args:
        channel: Receives the queries.
        load: Returns the load that is known now.
        answers_pings: Whether clients' pings are answered here as well, on an instance
            without an OperatorsService.
    """

    def __init__(
        self,
        channel: Channel,
        load: Callable[[], KnownLoad],
        *,
        answers_pings: bool = False,
    ) -> None:
        self._load = load
        channel.register_handler(ShowLoad, self._on_query, for_operators=True)
        if answers_pings:
            channel.register_handler(OperatorPing, self._on_ping, for_operators=True)

    async def _on_query(self, peer: str, query: ShowLoad) -> LoadShown:
        del peer
        known = self._load()
        rows = sorted(
            (
                row
                for row in known.rows
                if query.service in ("", row.service)
                and query.data_centre in ("", row.data_centre)
            ),
            key=lambda row: (row.service, row.data_centre),
        )
        limit = max(0, min(query.limit, MAX_LOAD_ROWS))
        return LoadShown(
            rows=tuple(rows[:limit]),
            rows_total=len(rows),
            is_demand_known=known.is_demand_known,
        )

    async def _on_ping(self, peer: str, ping: OperatorPing) -> OperatorPong:
        del peer, ping
        return OperatorPong()
