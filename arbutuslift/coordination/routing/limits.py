"""Limits of services and upstreams from the configuration document."""

from collections.abc import Callable

from ...protocol.document import Document, Service
from ...state.shares import LimitPlan, Limits, LoadLimits, NamedLimits, UpstreamLimits


def limit_plan_of(document: Document) -> LimitPlan:
    """Return a document's instances, by ordinal, and the limits of its upstreams."""
    return _plan_of(document, _upstream_limits_of)


def load_limit_plan_of(document: Document) -> LimitPlan:
    """Return a document's instances, by ordinal, and the limits of its services."""
    return _plan_of(document, _load_limits_of)


def _plan_of(document: Document, limits_of: Callable[[Service], Limits]) -> LimitPlan:
    return LimitPlan(
        instances=tuple(
            name for centre in document.data_centres for name in centre.instances
        ),
        services=tuple(
            NamedLimits(service.name, limits_of(service))
            for service in document.services
        ),
    )


def _load_limits_of(service: Service) -> LoadLimits:
    return LoadLimits(
        max_new_flows_per_s=service.max_new_flows_per_s,
        max_open_requests=service.max_open_requests,
        min_share_percent=service.min_share_percent,
    )


def _upstream_limits_of(service: Service) -> UpstreamLimits:
    return UpstreamLimits(
        max_connections=service.max_connections,
        slots=service.slots,
        cold_new_flows_per_s=service.cold_new_flows_per_s,
        warm_up_s=service.warm_up_s,
    )
