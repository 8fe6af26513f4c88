"""Operator of the system: complete configs and evacuations."""

import asyncio
import time

from . import http
from .deployment import CaseError, Deployment

MAX_ATTEMPTS = 40
RETRY_S = 0.1


def route(host: str, port: int, service: str) -> dict[str, object]:
    """Return a route of a config."""
    return {
        "name": f"r-{service}-{port}",
        "host": host,
        "path_prefix": f"/{port}/",
        "route_type": "safe",
        "timeout_ms": 1000,
        "aim_ms": 100,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    }


def service(
    name: str, cold_start_s: float = 2.0, cold_per_s: float = 0.0
) -> dict[str, object]:
    """Return a service of a config."""
    return {
        "name": name,
        "health_path": "/health",
        "max_conns": 2000,
        "protocol": "h1",
        "tls": False,
        "cold_start_s": cold_start_s,
        "cold_per_s": cold_per_s,
    }


def config(version: int, routes: list, services: list) -> dict[str, object]:
    """Return a complete config."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


class Operator:
    """Sends each order to one node after the other until it is acknowledged.

    Args:
        deployment: The system.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._record = deployment.record

    async def put(self, content: dict[str, object]) -> float:
        """Send a config; return when it was acknowledged."""
        return await self.order("/Config.Put", content)

    async def order(
        self, path: str, body: object = None, first: str | None = None
    ) -> float:
        """Send an order until it is acknowledged; return when that was.

        Args:
            path: The call.
            body: Its body.
            first: Address of the node that is called first.
        """
        addresses = self._deployment.control_addresses
        if first is not None:
            addresses = [first, *(item for item in addresses if item != first)]
        for attempt in range(MAX_ATTEMPTS):
            address = addresses[attempt % len(addresses)]
            self._record.write("order_sent", path=path, node=address)
            answer = await http.call(address, "POST", path, body)
            status = answer.status if answer else "none"
            self._record.write("order_answered", path=path, node=address, status=status)
            if answer is not None and answer.status == 200:
                return time.monotonic()
            await asyncio.sleep(RETRY_S)
        raise CaseError(f"{path} wasn't acknowledged")
