"""Command that shows the load of services."""

from .. import api
from ..errors import UsageError
from ..protocol.loadquery import LoadShown
from ..state.loadfigures import ServiceLoad
from .environment import Environment, open_session
from .options import Options
from .outcome import Outcome

UNKNOWN = "unknown"


async def load(options: Options, environment: Environment) -> Outcome:
    """Show demand, capacity and refusals by service and data centre."""
    if options.arguments:
        raise UsageError("load takes no argument", step="load")
    async with open_session(options, environment) as session:
        shown = await api.fetch_load(
            session,
            service=options.service,
            data_centre=options.data_centre,
            limit=options.limit,
        )
    message = f"{len(shown.rows)} of {shown.rows_total} rows"
    if not shown.is_demand_known:
        message += "; entry instances report no demand, figures are from announcements"
    return Outcome(
        message=message,
        result=shown,
        lines=tuple(_format_row(row, shown) for row in shown.rows),
    )


def _format_row(row: ServiceLoad, shown: LoadShown) -> str:
    """Return a row as one line; the age is that of all its figures."""
    figures = {
        "demand_per_s": row.arrivals_per_s,
        "demand_outstanding": row.demand_outstanding,
        "rejected_per_s": row.rejected_per_s,
        "remote_per_s": row.remote_per_s,
        "response_ms": row.response_ms,
    }
    reported = " ".join(
        f"{name}={f'{value:.1f}' if shown.is_demand_known else UNKNOWN}"
        for name, value in figures.items()
    )
    return (
        f"service {row.service} {row.data_centre} upstreams={row.upstreams} "
        f"capacity={row.slots} outstanding={row.outstanding:.1f} {reported} "
        f"age_s={row.age_ms / 1000:.1f}"
    )
