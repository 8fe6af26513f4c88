"""The services of the configuration in force, with their tables and upstreams."""

import ipaddress

from ..clock import Clock
from ..protocol.document import Configuration, Service
from ..protocol.packets import PROTOCOL_TCP, PROTOCOL_UDP
from ..state.flowkey import Endpoint, FlowKey
from ..state.generations import GenerationHistory
from ..state.hashing import hash_64
from ..state.table import SLOT_COUNT, Generation, WeightedUpstream
from ..state.upstreams import UpstreamRecord, UpstreamView

PROTOCOL_NUMBERS = {"tcp": PROTOCOL_TCP, "udp": PROTOCOL_UDP}


class ServiceRoutes:
    """Routes of one service.

    Args:
        service: Its entry in the document.
    """

    def __init__(self, service: Service) -> None:
        self.service = service
        self.history = GenerationHistory(service.name)

    def slot_of(self, flow: FlowKey) -> int:
        """Return the slot of a flow."""
        return hash_64(flow.to_bytes()) % SLOT_COUNT


class ServiceTable:
    """Finds services and the upstreams that may hold a flow.

    Args:
        clock: Source of time.
        view: Records of upstreams.
    """

    def __init__(self, clock: Clock, view: UpstreamView) -> None:
        self._clock = clock
        self.view = view
        self.configuration = Configuration()
        self._routes: dict[str, ServiceRoutes] = {}
        self._by_endpoint: dict[tuple[Endpoint, int], ServiceRoutes] = {}
        self._out_of_service: set[str] = set()

    def apply(self, configuration: Configuration) -> None:
        """Put a configuration in force; an older one than now is ignored."""
        if configuration.revision <= self.configuration.revision:
            return
        self.configuration = configuration
        document = configuration.document
        self._out_of_service = {
            centre.name for centre in document.data_centres if not centre.in_service
        }
        self._routes = {
            service.name: self._routes_for(service) for service in document.services
        }
        self._by_endpoint = {
            _key_of(routes.service): routes for routes in self._routes.values()
        }
        self.refresh()

    def refresh(self) -> None:
        """Recompute the eligible upstreams of every service."""
        for name in self._routes:
            self.refresh_service(name)

    def refresh_service(self, name: str) -> None:
        """Recompute the eligible upstreams of one service."""
        routes = self._routes.get(name)
        if routes is None:
            return
        members = [
            WeightedUpstream(record.upstream_id, record.weight)
            for record in self.view.of_service(name)
            if self._is_eligible(record, routes.service)
        ]
        generation = Generation.of(members)
        if generation != routes.history.current.generation:
            routes.history.use(generation, self._clock.monotonic_s())

    def at(self, endpoint: Endpoint, protocol: int) -> ServiceRoutes | None:
        """Return the service at an endpoint."""
        return self._by_endpoint.get((endpoint, protocol))

    def may_receive(self, record: UpstreamRecord | None) -> bool:
        """Whether packets may go to the upstream at all."""
        return (
            record is not None
            and record.is_alive
            and record.data_centre not in self._out_of_service
        )

    def may_admit(self, record: UpstreamRecord | None) -> bool:
        """Whether new flows may go to the upstream."""
        return self.may_receive(record) and record.takes_new_flows

    def preference(self, routes: ServiceRoutes, flow: FlowKey) -> list[UpstreamRecord]:
        """Return the upstreams for a new flow, preferred first."""
        order = routes.history.current.preference(routes.slot_of(flow))
        records = (self.view.get(upstream_id) for upstream_id in order)
        return [record for record in records if self.may_admit(record)]

    def candidates(
        self, routes: ServiceRoutes, flow: FlowKey, hint: str | None
    ) -> list[UpstreamRecord]:
        """Return the upstreams that may hold a flow, likeliest first."""
        former_ids = routes.history.formers(routes.slot_of(flow))
        ids = dict.fromkeys([hint, *former_ids] if hint else former_ids)
        records = (self.view.get(upstream_id) for upstream_id in ids)
        return [record for record in records if self.may_receive(record)]

    def _routes_for(self, service: Service) -> ServiceRoutes:
        routes = self._routes.get(service.name)
        if routes is None:
            return ServiceRoutes(service)
        routes.service = service
        return routes

    def _is_eligible(self, record: UpstreamRecord, service: Service) -> bool:
        return self.may_admit(record) and service.kind in record.work_kinds


def _key_of(service: Service) -> tuple[Endpoint, int]:
    ip = ipaddress.IPv4Address(service.address).packed
    return Endpoint(ip, service.port), PROTOCOL_NUMBERS[service.protocol]
