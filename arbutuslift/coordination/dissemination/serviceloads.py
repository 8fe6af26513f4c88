"""Load by service and data centre, added up from reports of instances and controls."""

from collections.abc import Iterable

from attrs import define, evolve, frozen

from ...protocol.loads import LoadReport
from ...state.loadfigures import ServiceLoad, UpstreamLoad
from ...state.starts import UpstreamStart

RowKey = tuple[str, str]


@define
class _Row:
    """Sums for one service in one data centre; see ``ServiceLoad``."""

    upstreams: int = 0
    slots: int = 0
    outstanding: float = 0.0
    demand_outstanding: float = 0.0
    arrivals_per_s: float = 0.0
    rejected_per_s: float = 0.0
    remote_per_s: float = 0.0
    answered: int = 0
    response_sum_ms: int = 0


@frozen(kw_only=True)
class LocatedLoad:
    """Sums for a start whose service and data centre are known.

    Attributes:
        start: The start.
        load: Its sums.
    """

    start: UpstreamStart
    load: UpstreamLoad


def rows_of_reports(
    ready: Iterable[UpstreamStart],
    loads: Iterable[LocatedLoad],
    reports: Iterable[LoadReport],
    ages_ms: dict[str, int],
) -> list[ServiceLoad]:
    """Return rows for the reporting data centres, and contributions to others.

    A contribution says what is outstanding at upstreams of another data centre through
    the reporting instances. It has no upstreams, slots or demand.

    Args:
        ready: Starts that accept new flows.
        loads: Sums by start.
        reports: The reports.
        ages_ms: Age of the newest report of each reporting data centre.
    """
    rows: dict[RowKey, _Row] = {}
    for start in ready:
        if start.data_centre in ages_ms:
            row = rows.setdefault((start.service, start.data_centre), _Row())
            row.upstreams += 1
            row.slots += start.slots
    for located in loads:
        key = (located.start.service, located.start.data_centre)
        row = rows.setdefault(key, _Row())
        row.outstanding += located.load.outstanding
        row.answered += located.load.answered
        row.response_sum_ms += located.load.response_sum_ms
    for report in reports:
        _add_demand(rows, report)
    return [_to_load(key, row, ages_ms.get(key[1], 0)) for key, row in rows.items()]


def _add_demand(rows: dict[RowKey, _Row], report: LoadReport) -> None:
    per_s = 1000 / report.interval_ms
    for demand in report.services:
        row = rows.setdefault((demand.service, report.data_centre), _Row())
        row.demand_outstanding += demand.outstanding
        row.arrivals_per_s += demand.arrivals * per_s
        row.rejected_per_s += demand.rejected * per_s
        row.remote_per_s += demand.remote * per_s


def _to_load(key: RowKey, row: _Row, age_ms: int) -> ServiceLoad:
    service, data_centre = key
    return ServiceLoad(
        service=service,
        data_centre=data_centre,
        upstreams=row.upstreams,
        slots=row.slots,
        outstanding=row.outstanding,
        demand_outstanding=row.demand_outstanding,
        arrivals_per_s=row.arrivals_per_s,
        rejected_per_s=row.rejected_per_s,
        remote_per_s=row.remote_per_s,
        response_ms=row.response_sum_ms / row.answered if row.answered else 0.0,
        age_ms=age_ms,
    )


def merge_rows(senders: Iterable[Iterable[ServiceLoad]]) -> list[ServiceLoad]:
    """Return one row for each service and data centre.

    Of several senders with reports from a data centre, the one with the most demand
    counts. After the reports have moved to another control instance, both have rows for
    a time, whose sum would show twice the demand. What is outstanding through
    other data centres is added.

    Args:
        senders: Rows of each control instance.
    """
    best: dict[RowKey, ServiceLoad] = {}
    contributed: dict[RowKey, float] = {}
    for rows in senders:
        for row in rows:
            key = (row.service, row.data_centre)
            if is_contribution(row):
                contributed[key] = contributed.get(key, 0.0) + row.outstanding
            elif key not in best or _demand(row) > _demand(best[key]):
                best[key] = row
    return [
        evolve(row, outstanding=row.outstanding + contributed.get(key, 0.0))
        for key, row in best.items()
    ]


def is_contribution(row: ServiceLoad) -> bool:
    """Return whether a row only adds to what is outstanding in its data centre."""
    return not (row.upstreams or row.arrivals_per_s or row.demand_outstanding)


def _demand(row: ServiceLoad) -> tuple[float, float]:
    return (row.arrivals_per_s, row.demand_outstanding)
