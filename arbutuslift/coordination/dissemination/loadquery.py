"""Answers operators' queries about the load of services."""

from collections.abc import Callable, Iterable

from attrs import define, frozen

from ...clock import Clock
from ...protocol.channel import Channel
from ...protocol.document import Document
from ...protocol.loadquery import LoadShown, ShowLoad
from ...protocol.operators import OperatorPing, OperatorPong
from ...state.loadfigures import ServiceLoad
from ...state.upstreams import UpstreamView

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


@define
class _Announced:
    """Sums of the announcements of one service in one data centre.

    Attributes:
        upstreams: Upstreams that accept new flows.
        slots: Slots of these.
        busy_slots: Slots in use at all upstreams.
        age_s: Age of the oldest announcement.
    """

    upstreams: int = 0
    slots: int = 0
    busy_slots: int = 0
    age_s: float = 0.0


def announced_load(clock: Clock, view: UpstreamView, document: Document) -> KnownLoad:
    """Return the load that upstreams announce, for instances without reports."""
    slots = {service.name: service.slots for service in document.services}
    sums: dict[tuple[str, str], _Announced] = {}
    for record in view:
        if not record.is_alive:
            continue
        found = sums.setdefault((record.service, record.data_centre), _Announced())
        found.busy_slots += record.busy_slots
        age_s = clock.monotonic_s() - view.advanced_at_s(record.upstream_id)
        found.age_s = max(found.age_s, age_s)
        if record.accepts_new_flows:
            found.upstreams += 1
            found.slots += slots.get(record.service, 0)
    return KnownLoad(rows=tuple(_rows_of(sums.items())), is_demand_known=False)


def _rows_of(
    sums: Iterable[tuple[tuple[str, str], _Announced]],
) -> Iterable[ServiceLoad]:
    for (service, data_centre), found in sums:
        yield ServiceLoad(
            service=service,
            data_centre=data_centre,
            upstreams=found.upstreams,
            slots=found.slots,
            outstanding=float(found.busy_slots),
            demand_outstanding=0.0,
            arrivals_per_s=0.0,
            rejected_per_s=0.0,
            remote_per_s=0.0,
            response_ms=0.0,
            age_ms=round(1000 * found.age_s),
        )
