"""Which control instances grant new flows at an upstream in cold start."""

from ...state.hashing import rendezvous_order

# Each granter may have one permit ready, so that few of them bound the peak.
GRANTERS = 3


def granters_of(upstream_id: str, controls: tuple[str, ...]) -> list[str]:
    """Return the control instances that grant permits for an upstream."""
    return rendezvous_order(upstream_id.encode(), sorted(set(controls)))[:GRANTERS]
