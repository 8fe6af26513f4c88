"""Cost of input: reports that a control instance takes, and large configurations."""

import asyncio
import json
import random
import statistics
import tempfile
import time
from contextlib import AsyncExitStack
from pathlib import Path

import aiohttp

from standins.soak.ledger import Ledger
from standins.soak.operators import Operator
from standins.soak.programs import CONTROL_PORT, DATA_CENTRES, Program

from .result import Measure
from .start import processor_s

IPS = tuple(f"127.92.4.{number + 1}" for number in range(3))
SERVICES = ("alerts",)
HOST = "198.18.0.1"
REPORTS = 2000
CLIENTS = 4
CONFIGURATIONS = 10
ROUTES = 1000


def measure() -> list[Measure]:
    """Send reports and configurations to a control instance of three."""
    with tempfile.TemporaryDirectory() as folder:
        reports_per_s, processor_us, apply_s = asyncio.run(_measure(Path(folder)))
    return [
        Measure(
            name="control: status reports taken",
            figure=round(reports_per_s),
            unit="1/s",
            note=f"{REPORTS} reports of {CLIENTS} clients, loopback",
        ),
        Measure(
            name="control: processor time of a status report",
            figure=round(processor_us, 1),
            unit="us",
        ),
        Measure(
            name=f"control: time to take a configuration of {ROUTES} routes",
            figure=round(apply_s, 4),
            unit="s",
            note=f"median of {CONFIGURATIONS}, until the acknowledgement",
        ),
    ]


async def _measure(folder: Path) -> tuple[float, float, float]:
    async with AsyncExitStack() as stack:
        programs = [
            Program(
                "control", ip, ip, DATA_CENTRES[n], folder / ip, IPS, has_faults=False
            )
            for n, ip in enumerate(IPS)
        ]
        for program in programs:
            stack.push_async_callback(program.close)
            await program.open()
        controls = [f"{ip}:{CONTROL_PORT}" for ip in IPS]
        operator = Operator(controls, SERVICES, HOST, Ledger(), random.Random(1))
        await operator.put()
        session = await stack.enter_async_context(aiohttp.ClientSession())
        apply_s = await _apply_time_s(session, operator)
        before_s = processor_s(programs[0].process.pid)
        started_s = time.monotonic()
        await asyncio.gather(*(_report(session, n) for n in range(CLIENTS)))
        duration_s = time.monotonic() - started_s
        spent_s = processor_s(programs[0].process.pid) - before_s
        return REPORTS / duration_s, 1e6 * spent_s / REPORTS, apply_s


async def _report(session: aiohttp.ClientSession, client: int) -> None:
    """Send a share of the reports, each of another upstream, one after the other."""
    url = f"http://{IPS[0]}:{CONTROL_PORT}/Instances.Heartbeat/i-"
    for number in range(REPORTS // CLIENTS):
        body = {
            "service": SERVICES[0],
            "address": f"127.93.{client}.{1 + number % 250}:8080",
            "zone": DATA_CENTRES[0],
            "version": "v1",
            "slots": 2,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 1 + number // 250,
            "born": 1,
        }
        identity = f"{client:x}{1 + number % 250:04x}"
        async with session.post(url + identity, json=body) as answer:
            assert answer.status == 200


async def _apply_time_s(session: aiohttp.ClientSession, operator: Operator) -> float:
    durations_s = []
    content = operator.configuration()
    (route, *_) = content["routes"]
    for number in range(CONFIGURATIONS):
        routes = [route | {"path_prefix": f"/{1000 + n}/"} for n in range(ROUTES)]
        changed = content | {"version": 100 + number, "routes": routes}
        body = json.dumps(changed).encode()
        started_s = time.monotonic()
        url = f"http://{IPS[0]}:{CONTROL_PORT}/Config.Put"
        async with session.post(url, data=body) as answer:
            assert answer.status == 200
        durations_s.append(time.monotonic() - started_s)
        await asyncio.sleep(0.3)
    return statistics.median(durations_s)
