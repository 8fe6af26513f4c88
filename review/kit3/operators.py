"""The operator, who sends each order again until it is acknowledged."""

import asyncio
import json

from .http import call
from .machines import Machine
from .record import Record

HOST = "127.255.0.1"
ROUTE = (HOST, 8443)


class Operator:
    """Sends orders to the nodes that serve ``control``."""

    def __init__(self, controls: list[Machine], record: Record) -> None:
        self.controls = controls
        self.record = record
        self.version = 0

    def config(
        self,
        services: dict[str, float],
        routes: dict[int, str] | None = None,
        cold_start_s: float = 2.0,
    ) -> dict[str, object]:
        """Return the next config.

        Args:
            services: ``cold_per_s`` by service.
            routes: Service by port of the route.
            cold_start_s: Length of a cold start.
        """
        self.version += 1
        routes = routes or {ROUTE[1]: next(iter(services))}
        return {
            "version": self.version,
            "routes": [
                {
                    "name": f"r-{port}",
                    "host": HOST,
                    "path_prefix": f"/{port}/",
                    "route_type": "safe",
                    "timeout_ms": 1000,
                    "aim_ms": 100,
                    "priority": 1,
                    "service": service,
                    "max_attempts": 2,
                }
                for port, service in routes.items()
            ],
            "services": [
                {
                    "name": name,
                    "health_path": "/health",
                    "max_conns": 2000,
                    "protocol": "h1",
                    "tls": False,
                    "cold_start_s": cold_start_s,
                    "cold_per_s": cold_per_s,
                }
                for name, cold_per_s in services.items()
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }

    async def order(
        self, path: str, body: object = None, limit_s: float = 30.0
    ) -> bool:
        """Send an order until it is acknowledged; return whether it was in time."""
        content = b"" if body is None else json.dumps(body).encode()
        async with asyncio.timeout(limit_s):
            for number in range(1000):
                control = self.controls[number % len(self.controls)]
                status, _ = await call(control.control, "POST", path, raw=content)
                self.record.write(f"{path} at {control.name}: status {status}")
                if 200 <= status < 300:
                    return True
                await asyncio.sleep(0.1)
        return False
