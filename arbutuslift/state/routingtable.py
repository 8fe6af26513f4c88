"""Routing table: which services may receive the flows to an address and port."""

import zlib

import msgpack
from attrs import evolve, field, frozen

from ..errors import StorageError

_COMPRESSION_LEVEL = 1

# Address and port of a route.
RouteKey = tuple[bytes, int]


@frozen(kw_only=True)
class ServiceShare:
    """Service of a route, with its portion of the route's new flows."""

    service: str
    weight: int


@frozen(kw_only=True)
class Route:
    """An address and port that callers use.

    Attributes:
        ip: The address, 4 bytes.
        port: The port.
        shares: Services that may receive its flows.
        priority: Priority of its flows; 0 is the highest.
        aim_s: Time within which callers want an answer, 0 if it isn't known.
        timeout_s: Time after which callers give up, 0 if it isn't known.
    """

    ip: bytes
    port: int
    shares: tuple[ServiceShare, ...]
    priority: int = 0
    aim_s: float = 0.0
    timeout_s: float = 0.0

    @property
    def key(self) -> RouteKey:
        """Return the address and port, which identify the route in its table."""
        return (self.ip, self.port)

    @property
    def first_service(self) -> str:
        """Return the first service that gets new flows, empty if none does."""
        return next((share.service for share in self.shares if share.weight > 0), "")


@frozen(kw_only=True)
class ServiceLimits:
    """Limits of each upstream of a service.

    Attributes:
        name: Name of the service.
        max_connections: Maximum number of flows of one upstream.
        cold_new_flows_per_s: Maximum rate of new flows of one upstream in cold start.
        cold_start_s: Duration of a cold start.
    """

    name: str
    max_connections: int
    cold_new_flows_per_s: float
    cold_start_s: float


@frozen(kw_only=True)
class RoutingTable:
    """All parts of a configuration that determine where packets are forwarded.

    Attributes:
        revision: Revision of the agreed state from which it was derived.
        version: Version of the configuration, assigned by the operators.
        routes: All routes.
        services: All services.
        idle_timeout_s: Idle time after which a flow may be removed.
        out_of_service: Names of data centres that get no new flows.
    """

    revision: int
    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceLimits, ...] = ()

    def is_cold_limited(self, service: str) -> bool:
        """Return whether upstreams of a service take few new flows while cold."""
        limits = (s.cold_new_flows_per_s for s in self.services if s.name == service)
        return next(limits, 0.0) > 0

    idle_timeout_s: float = 15.0
    out_of_service: frozenset[str] = field(default=frozenset())


def encode_table(table: RoutingTable) -> bytes:
    """Return a table as compressed msgpack, without the times of its routes.

    Entry instances of earlier versions accept no further columns, so that the times
    have an encoding of their own, ``encode_route_times``.
    """
    routes = [
        (
            route.ip,
            route.port,
            route.priority,
            [(share.service, share.weight) for share in route.shares],
        )
        for route in table.routes
    ]
    services = [
        (s.name, s.max_connections, s.cold_new_flows_per_s, s.cold_start_s)
        for s in table.services
    ]
    content = (
        table.revision,
        table.version,
        table.idle_timeout_s,
        sorted(table.out_of_service),
        routes,
        services,
    )
    return zlib.compress(msgpack.packb(content), _COMPRESSION_LEVEL)


def encode_route_times(table: RoutingTable) -> bytes:
    """Return aims and time-outs of the routes of a table, in their order."""
    times_s = [(route.aim_s, route.timeout_s) for route in table.routes]
    return zlib.compress(msgpack.packb(times_s), _COMPRESSION_LEVEL)


def with_route_times(table: RoutingTable, encoded: bytes) -> RoutingTable:
    """Return a table with the times in ``encoded``.

    Raises:
        StorageError: The bytes aren't encoded times of the routes of this table.
    """
    try:
        times_s = msgpack.unpackb(zlib.decompress(encoded))
        routes = tuple(
            evolve(route, aim_s=float(aim_s), timeout_s=float(timeout_s))
            for route, (aim_s, timeout_s) in zip(table.routes, times_s, strict=True)
        )
    except (zlib.error, msgpack.UnpackException, TypeError, ValueError) as error:
        message = f"malformed: {error!r}"
        raise StorageError(message, step="decode route times") from error
    return evolve(table, routes=routes)


def decode_table(body: bytes) -> RoutingTable:
    """Return the table in ``body``.

    Raises:
        StorageError: The bytes aren't an encoded table.
    """
    try:
        content = msgpack.unpackb(zlib.decompress(body))
        revision, version, idle_timeout_s, out, routes, services = content
        return RoutingTable(
            revision=revision,
            version=version,
            idle_timeout_s=idle_timeout_s,
            out_of_service=frozenset(out),
            routes=tuple(_decode_route(*row) for row in routes),
            services=tuple(_decode_service(*row) for row in services),
        )
    except (zlib.error, msgpack.UnpackException, TypeError, ValueError) as error:
        message = f"malformed: {error!r}"
        raise StorageError(message, step="decode routing table") from error


def _decode_route(ip: bytes, port: int, priority: int, shares: list) -> Route:
    return Route(
        ip=ip,
        port=port,
        priority=priority,
        shares=tuple(ServiceShare(service=name, weight=w) for name, w in shares),
    )


def _decode_service(
    name: str, max_connections: int, cold_per_s: float, cold_start_s: float
) -> ServiceLimits:
    return ServiceLimits(
        name=name,
        max_connections=max_connections,
        cold_new_flows_per_s=cold_per_s,
        cold_start_s=cold_start_s,
    )
