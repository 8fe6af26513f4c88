"""An operator: orders are sent again until they are acknowledged."""

import asyncio
import json
import random

from .http import call
from .programs import CONTROL_PORT
from .record import Record


def configuration(
    version: int,
    host: str,
    routes: dict[int, str],
    services: tuple[str, ...],
    cold_per_s: float = 0.0,
) -> dict[str, object]:
    """Return a config with one route for each port."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{port}",
                "host": host,
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
                "cold_start_s": 2.0,
                "cold_per_s": cold_per_s,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


class Operator:
    """One operator.

    Args:
        controls: Returns the addresses of the control programs.
        record: Record of the run.
    """

    def __init__(self, controls, record: Record) -> None:
        self._controls = controls
        self._record = record

    async def order(
        self, path: str, body: object = None, limit_s: float = 20.0
    ) -> float | None:
        """Send an order until it is acknowledged; return when, None if it wasn't."""
        end_s = self._record.now_s() + limit_s
        pause_s = 0.05
        shown = path if body is None else f"{path} version {body['version']}"
        while self._record.now_s() < end_s:
            ip = random.choice(list(self._controls()))
            self._record.note(f"order {shown} sent to {ip}")
            answer = await call((ip, CONTROL_PORT), "POST", path, body)
            status = answer[0] if answer else "no answer"
            self._record.note(f"order {shown} answered by {ip}: {status}")
            if answer and answer[0] == 200:
                return self._record.now_s()
            await asyncio.sleep(pause_s)
            pause_s = min(1.0, 2 * pause_s)
        return None

    async def read(self, ip: str) -> int | None:
        """Return the version of the config that a program gives, None without one."""
        answer = await call((ip, CONTROL_PORT), "GET", "/Config.Get")
        status = answer[0] if answer else "no answer"
        version = None
        if answer and answer[0] == 200:
            version = json.loads(answer[1])["version"]
        self._record.note(f"read of the config at {ip}: {status}, version {version}")
        return version
