"""What callers need of each service, and what sending their flows elsewhere costs."""

from attrs import frozen

from ...state.routingtable import RoutingTable

# Part of the aim that leaving costs, for the round trip and for flows that break when
# the two data centres are cut off from each other.
AIM_COST_FRACTION = 0.1
# Part of the aim for which requests of other data centres may wait; admission, too,
# counts capacity up to half of the aim.
AIM_WAIT_FRACTION = 0.5
# Leaving costs as much as a tenth of it for callers whose aim isn't known: 40 ms.
DEFAULT_AIM_S = 0.4
# The first 10 segments, which a sender may send at once, of 1,460 bytes.
DEFAULT_FLOW_BYTES = 14_600
BYTES_PER_GB = 1e9


@frozen(kw_only=True)
class RoutedService:
    """What callers need of a service.

    Attributes:
        name: Name of the service.
        aim_s: Shortest aim of its routes, 0 if it isn't known.
        flow_bytes: Bytes of one flow in both directions.
    """

    name: str
    aim_s: float = 0.0
    flow_bytes: float = DEFAULT_FLOW_BYTES

    @property
    def max_remote_wait_s(self) -> float:
        """Return the longest wait to which other data centres are filled with it."""
        return AIM_WAIT_FRACTION * (self.aim_s or DEFAULT_AIM_S)

    def leaving_cost_s(self, price_per_gb: float) -> float:
        """Return what it costs a flow to leave its data centre, as a wait.

        Args:
            price_per_gb: Price of traffic, in the unit in which one second of a
                caller's waiting costs 1.
        """
        price = price_per_gb * self.flow_bytes / BYTES_PER_GB
        return AIM_COST_FRACTION * (self.aim_s or DEFAULT_AIM_S) + price


def routed_services(table: RoutingTable) -> tuple[RoutedService, ...]:
    """Return the services of a routing table with the shortest aim of their routes."""
    aims: dict[str, float] = {}
    for route in table.routes:
        for share in route.shares:
            known = aims.get(share.service, 0.0)
            aims[share.service] = min(known or route.aim_s, route.aim_s or known)
    return tuple(RoutedService(name=name, aim_s=aim) for name, aim in aims.items())
