"""Another writer beside the targets and operators, whose input is odd."""

import asyncio
import json
import random
import socket
from collections import Counter

import aiohttp
from attrs import frozen

from .ledger import Ledger
from .programs import PACKET_PORT

CALL_TIMEOUT_S = 1.0
INTERVAL_S = 0.1
TOO_LARGE = 10**20
NESTING = 5000
MAX_DATAGRAM_BYTES = 1400

_ODD_NUMBERS = (TOO_LARGE, 2**63, -1, 1.5, 1e300, True, None, "7", [], {})
_ODD_TEXTS = ("", "\ud800", "a\nb", "x" * 5000, 7, None, [], {"a": "b"})
_ODD_ADDRESSES = (
    *_ODD_TEXTS,
    "127.0.0.1",
    "127.0.0.1:0",
    "127.0.0.1:70000",
    "127.0.0.1:٨٠",
    "255.255.255.255:80",
    "1.2.3.4.5:80",
)
_ODD_FIELDS = {
    "service": _ODD_TEXTS,
    "address": _ODD_ADDRESSES,
    "zone": _ODD_TEXTS,
    "slots": _ODD_NUMBERS,
    "state": (*_ODD_TEXTS, "gone"),
    "cold_left_ms": _ODD_NUMBERS,
    "sequence": _ODD_NUMBERS,
    "born": _ODD_NUMBERS[:6],
}
_ODD_BODIES = (
    b"\xff\xfe",
    b"{",
    b"[]",
    b'"text"',
    b"[" * NESTING,
    b'{"a":' * NESTING + b"1" + b"}" * NESTING,
    b'{"born":' + b"9" * 6000 + b"}",
)


@frozen(kw_only=True)
class OddCall:
    """One call with odd input.

    Attributes:
        path: Path of the call.
        body: Its body.
    """

    path: str
    body: bytes


class OtherWriter:
    """Sends odd reports, reports of leaving, orders and datagrams.

    Args:
        controls: Addresses of the control instances.
        entry_ips: Addresses of the entry instances.
        ledger: Records the answers that break a promise.
        rng: Draws what is sent.

    Attributes:
        answers: Number of answers by status; 0 counts calls without one.
    """

    def __init__(
        self,
        controls: list[str],
        entry_ips: list[str],
        ledger: Ledger,
        rng: random.Random,
    ) -> None:
        self.answers: Counter[int] = Counter()
        self._controls = controls
        self._entry_ips = entry_ips
        self._ledger = ledger
        self._rng = rng

    async def run(self) -> None:
        """Send odd input until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            await self.write()

    async def write(self) -> None:
        """Send one odd call to a control instance and a datagram to an entry."""
        self._send_datagram()
        call = self._rng.choice((self._report, self._leave, self._order))()
        status = await self._call(call)
        self.answers[status] += 1
        self._ledger.record_odd_answer(call.path, status)

    def _report(self) -> OddCall:
        path = f"/Instances.Heartbeat/{self._identity()}"
        if self._rng.random() < 0.3:
            return OddCall(path=path, body=self._rng.choice(_ODD_BODIES))
        name = self._rng.choice(list(_ODD_FIELDS))
        odd = self._rng.choice(_ODD_FIELDS[name])
        return OddCall(path=path, body=json.dumps(_REPORT | {name: odd}).encode())

    def _leave(self) -> OddCall:
        path = f"/Instances.Leave/{self._identity()}"
        body = json.dumps({"born": self._rng.choice((TOO_LARGE, -1, 1.5, "7"))})
        return OddCall(path=path, body=self._rng.choice((*_ODD_BODIES, body.encode())))

    def _order(self) -> OddCall:
        path = "/Config.Put"
        if self._rng.random() < 0.3:
            return OddCall(path=path, body=self._rng.choice(_ODD_BODIES))
        route, service = dict(_ROUTE), dict(_SERVICE)
        content = {
            "version": TOO_LARGE // 100,
            "routes": [route],
            "services": [service],
            "limits": {"idle_timeout_ms": 15000},
        }
        place, name, values = self._rng.choice(
            (
                (content, "version", (TOO_LARGE, 0, -1, 1.5, "7", None)),
                (route, "priority", (TOO_LARGE, -1, 1.5, "7")),
                (route, "timeout_ms", _ODD_NUMBERS),
                (route, "host", (*_ODD_TEXTS, "1.2.3.400", "٨.8.8.8")),
                (route, "path_prefix", ("/0/", "/70000/", "/٨٠/", "", None)),
                (service, "max_conns", _ODD_NUMBERS),
                (service, "cold_per_s", (TOO_LARGE, -1, "4", [], {})),
                (service, "name", _ODD_TEXTS),
                (content["limits"], "idle_timeout_ms", _ODD_NUMBERS),
            )
        )
        place[name] = self._rng.choice(values)
        return OddCall(path=path, body=json.dumps(content).encode())

    def _identity(self) -> str:
        odd = ("i-xyz", "i-" + "f" * 40, "%ff%fe", "")
        return self._rng.choice((f"i-{self._rng.getrandbits(40):x}",) * 4 + odd)

    async def _call(self, call: OddCall) -> int:
        url = f"http://{self._rng.choice(self._controls)}{call.path}"
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(url, data=call.body) as answer,
            ):
                return answer.status
        except (aiohttp.ClientError, TimeoutError):
            return 0

    def _send_datagram(self) -> None:
        size_bytes = self._rng.randrange(MAX_DATAGRAM_BYTES)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            address = (self._rng.choice(self._entry_ips), PACKET_PORT)
            sender.sendto(self._rng.randbytes(size_bytes), address)


_REPORT = {
    "service": "alerts",
    "address": "127.0.0.1:9",
    "zone": "dc-a",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "cold_left_ms": 0,
    "sequence": 1,
    "born": 1,
}
_ROUTE = {
    "name": "r-odd",
    "host": "198.18.0.9",
    "path_prefix": "/443/",
    "route_type": "safe",
    "timeout_ms": 1000,
    "aim_ms": 100,
    "priority": 1,
    "service": "alerts",
}
_SERVICE = {"name": "alerts", "max_conns": 2000, "cold_start_s": 2, "cold_per_s": 0}
