"""Demand and capacity of data centres, estimated from the rows of load reports."""

from collections.abc import Sequence

from attrs import frozen

from ...state.loadfigures import ServiceLoad
from ...state.queuemodel import queue_model

# A rejected caller makes up to two further attempts. Counting each attempt as demand
# would move more flows than are waiting.
ATTEMPTS = 3


@frozen(kw_only=True)
class CentreLoad:
    """Demand for a service in a data centre, and what its upstreams can process.

    Attributes:
        data_centre: Name of the data centre.
        rate_per_s: Requests of its callers, wherever they are sent.
        capacity_per_s: Requests that its upstreams can process, 0 without eligible
            upstreams.
        service_s: Time that a request takes there without waiting.
        upstream_slots: Slots of one of its upstreams.
        trust: Part of its room that is used, 1 for new figures.
        is_queueing: Whether more requests are outstanding there than there are slots.
    """

    data_centre: str
    rate_per_s: float
    capacity_per_s: float
    service_s: float
    upstream_slots: int
    trust: float = 1.0
    is_queueing: bool = False

    @property
    def wait_s(self) -> float:
        """Return the expected wait if all its callers are served there."""
        if self.capacity_per_s <= 0:
            return float("inf")
        model = queue_model(self.upstream_slots)
        return self.service_s * model.wait_at(self.rate_per_s / self.capacity_per_s)

    def rate_at_wait(self, wait_s: float) -> float:
        """Return the rate of requests at which they wait for this time."""
        if self.capacity_per_s <= 0 or wait_s <= 0:
            return 0.0
        model = queue_model(self.upstream_slots)
        return self.capacity_per_s * model.utilisation_at_wait(wait_s / self.service_s)


def estimate_centre_loads(
    rows: Sequence[ServiceLoad], out_of_service: frozenset[str] = frozenset()
) -> tuple[CentreLoad, ...]:
    """Return the loads of the data centres of one service, sorted by name.

    The result depends only on the arguments, so that instances with the same rows
    decide alike.

    Args:
        rows: One row of the service for each data centre.
        out_of_service: Data centres that get no new flows.

    Returns:
        The loads; none if no row has a response time.
    """
    measured = {row.data_centre: _service_s(row) for row in rows if row.response_ms > 0}
    if not measured:
        return ()
    shortest_s = min(measured.values())
    return tuple(
        _estimate(
            row,
            rows,
            measured.get(row.data_centre, shortest_s),
            is_eligible=row.data_centre not in out_of_service,
        )
        for row in sorted(rows, key=lambda row: row.data_centre)
    )


def _service_s(row: ServiceLoad) -> float:
    """Return the time of a request without waiting, from the mean response time."""
    if row.slots <= 0:
        return row.response_ms / 1000
    model = queue_model(_slots_per_upstream(row))
    utilisation = model.utilisation_of(row.outstanding / row.slots)
    return row.response_ms / 1000 / (1 + model.wait_at(utilisation))


def _estimate(
    row: ServiceLoad,
    rows: Sequence[ServiceLoad],
    service_s: float,
    *,
    is_eligible: bool,
) -> CentreLoad:
    slots = row.slots if is_eligible else 0
    # Rate and mean duration give the number outstanding (Little's law).
    rate_per_s = row.demand_outstanding / _callers_response_s(row, rows, service_s)
    return CentreLoad(
        data_centre=row.data_centre,
        rate_per_s=rate_per_s + _rejected_requests_per_s(row, rate_per_s),
        capacity_per_s=slots / service_s,
        service_s=service_s,
        upstream_slots=_slots_per_upstream(row),
        is_queueing=row.outstanding > row.slots,
    )


def _callers_response_s(
    row: ServiceLoad, rows: Sequence[ServiceLoad], service_s: float
) -> float:
    """Return the mean response time of the callers of a data centre."""
    others = [
        other
        for other in rows
        if other.data_centre != row.data_centre and other.response_ms > 0
    ]
    local_ms = row.response_ms or 1000 * service_s
    slots = sum(other.slots for other in others)
    if not slots:
        return local_ms / 1000
    remote_ms = sum(other.slots * other.response_ms for other in others) / slots
    accepted_per_s = row.arrivals_per_s - row.rejected_per_s
    remote = row.remote_per_s / accepted_per_s if accepted_per_s > 0 else 0.0
    remote = min(1.0, remote)
    return ((1 - remote) * local_ms + remote * remote_ms) / 1000


def _rejected_requests_per_s(row: ServiceLoad, rate_per_s: float) -> float:
    """Return the requests that rejected flows would have carried, at least."""
    accepted_per_s = row.arrivals_per_s - row.rejected_per_s
    requests_per_flow = rate_per_s / accepted_per_s if accepted_per_s > 0 else 1.0
    return row.rejected_per_s / ATTEMPTS * max(1.0, requests_per_flow)


def _slots_per_upstream(row: ServiceLoad) -> int:
    return max(1, round(row.slots / row.upstreams)) if row.upstreams else 1
