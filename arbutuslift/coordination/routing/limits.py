"""Limits of upstreams from the configuration document."""

from ...protocol.document import Document, Service
from ...state.shares import LimitPlan, NamedLimits, UpstreamLimits


def limit_plan_of(document: Document) -> LimitPlan:
    """Return a document's instances, in order of their ordinals, and its limits."""
    return LimitPlan(
        instances=tuple(
            name for centre in document.data_centres for name in centre.instances
        ),
        services=tuple(
            NamedLimits(service.name, _limits_of(service))
            for service in document.services
        ),
    )


def _limits_of(service: Service) -> UpstreamLimits:
    return UpstreamLimits(
        max_connections=service.max_connections,
        slots=service.slots,
        cold_new_flows_per_s=service.cold_new_flows_per_s,
        warm_up_s=service.warm_up_s,
    )
