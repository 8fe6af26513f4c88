"""Load of services by the announcements of upstreams, where no instance reports it."""

from collections.abc import Iterable

from attrs import define

from ...clock import Clock
from ...protocol.document import Document
from ...state.loadfigures import ServiceLoad
from ...state.upstreams import UpstreamView
from .loadquery import KnownLoad


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
