"""Stand-in operators: configurations, reads and evacuations, resent until answered."""

import asyncio
import random
import time

import aiohttp

from .ledger import Ledger

CALL_TIMEOUT_S = 1.0
RESEND_S = 0.2
FIRST_PORT = 10_000


class Operator:
    """Calls control instances, any of them.

    Args:
        controls: Their addresses.
        services: Names of services.
        host: Address of all routes.
        ledger: Takes what it sees.
        rng: Chooses control instances.
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
        """Return the current content: a route a service, and those added."""
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
        """Send the next version until it is acknowledged; return when that was."""
        self.version += self._rng.randint(1, 4)
        self._added = [*self._added[-5:], FIRST_PORT + self.version]
        await self._until("POST", "Config.Put", self.configuration())
        self._ledger.acknowledged(self.version)
        return time.monotonic()

    async def set_out(self, data_centre: str, is_out: bool) -> None:
        """Take a data centre out of service or back, until it is acknowledged."""
        if not is_out:
            self._ledger.taken_back(data_centre)
        name = "Begin" if is_out else "Finish"
        await self._until("POST", f"Evacuations.{name}/{data_centre}", None)
        if is_out:
            self._ledger.emptied(data_centre)

    async def read(self) -> int | None:
        """Read once at any control instance and check the version."""
        acknowledged = self._ledger.acknowledged_version
        answer = await self._call("GET", "Config.Get", None)
        if answer is None:
            return None
        self._ledger.read(answer["version"], acknowledged)
        return answer["version"]

    async def read_back(self) -> int:
        """Read until an answer comes."""
        while (version := await self.read()) is None:
            await asyncio.sleep(RESEND_S)
        return version

    async def _until(self, method: str, path: str, body: object) -> None:
        while await self._call(method, path, body) is None:
            await asyncio.sleep(RESEND_S)

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
                    self._ledger.breach("accepted order", f"{path}: {answer.status}")
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
