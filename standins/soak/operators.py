"""Simulated operators: configuration changes, reads and evacuations."""

import asyncio
import random
import time

import aiohttp

from .ledger import Ledger

CALL_TIMEOUT_S = 1.0
RETRY_INTERVAL_S = 0.2
FIRST_PORT = 10_000


class Operator:
    """Sends each request to a random control instance and retries until answered.

    Args:
        controls: Addresses of the control instances.
        services: Names of services.
        host: Host of all routes.
        ledger: Records the observations.
        rng: Selects control instances.
    """

    def __init__(
        self,
        controls: list[str],
        services: tuple[str, ...],
        host: str,
        ledger: Ledger,
        rng: random.Random,
    ) -> None:
        self.version = 0
        self._controls = controls
        self._services = services
        self._host = host
        self._ledger = ledger
        self._rng = rng
        self._added: list[int] = []

    def configuration(self) -> dict[str, object]:
        """Return the configuration: one route per service, and the added routes."""
        ports = [443 + number for number in range(len(self._services))]
        routes = zip(ports, self._services, strict=True)
        added = [(port, self._services[0]) for port in self._added]
        return {
            "version": self.version,
            "routes": [self._route(port, name) for port, name in (*routes, *added)],
            "services": [
                {"name": name, "max_conns": 2000, "cold_start_s": 2, "cold_per_s": 0}
                for name in self._services
            ],
            "limits": {"idle_timeout_ms": 15000},
        }

    async def put(self) -> float:
        """Send the next version until it is acknowledged; return the time of that."""
        self.version += self._rng.randint(1, 4)
        self._added = [*self._added[-5:], FIRST_PORT + self.version]
        await self._retry_until_acknowledged("POST", "Config.Put", self.configuration())
        self._ledger.record_acknowledgement(self.version)
        return time.monotonic()

    async def set_out_of_service(
        self, data_centre: str, is_out_of_service: bool
    ) -> None:
        """Take a data centre out of service or back; retry until acknowledged."""
        if not is_out_of_service:
            self._ledger.record_evacuation_end(data_centre)
        name = "Begin" if is_out_of_service else "Finish"
        await self._retry_until_acknowledged(
            "POST", f"Evacuations.{name}/{data_centre}", None
        )
        if is_out_of_service:
            self._ledger.record_evacuation(data_centre)

    async def read(self) -> int | None:
        """Read the configuration once and check its version; return None on failure."""
        acknowledged = self._ledger.acknowledged_version
        answer = await self._call("GET", "Config.Get", None)
        if answer is None:
            return None
        self._ledger.record_read(answer["version"], acknowledged)
        return answer["version"]

    async def read_until_answered(self) -> int:
        """Read the configuration, with retries until an answer arrives."""
        while (version := await self.read()) is None:
            await asyncio.sleep(RETRY_INTERVAL_S)
        return version

    async def _retry_until_acknowledged(
        self, method: str, path: str, body: object
    ) -> None:
        while await self._call(method, path, body) is None:
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _call(self, method: str, path: str, body: object) -> dict | None:
        url = f"http://{self._rng.choice(self._controls)}/{path}"
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(method, url, json=body) as answer,
            ):
                if answer.status == 200:
                    return await answer.json()
                if answer.status < 500:
                    self._ledger.record_breach(
                        "accepted order", f"{path}: {answer.status}"
                    )
                return None
        except (aiohttp.ClientError, TimeoutError):
            return None

    def _route(self, port: int, service: str) -> dict[str, object]:
        return {
            "name": f"r-{port}",
            "host": self._host,
            "path_prefix": f"/{port}/",
            "route_type": "safe",
            "timeout_ms": 1000,
            "aim_ms": 100,
            "priority": 1,
            "service": service,
        }
