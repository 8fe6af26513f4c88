"""Processor time, memory and time from the start of a process until it serves."""

import asyncio
import os
import random
import statistics
import tempfile
import time
from contextlib import AsyncExitStack
from pathlib import Path

import aiohttp
from attrs import frozen

from standins.soak.ledger import Ledger
from standins.soak.operators import Operator
from standins.soak.programs import (
    CONTROL_PORT,
    DATA_CENTRES,
    PACKET_PORT,
    READY_PORT,
    Program,
)
from standins.soak.targets import Target

from .result import Measure, at_most

STARTS = 10
TARGETS = 6
SERVICES = ("alerts", "archive")
HOST = "198.18.0.1"
# Of the smallest machines that the users' pages name.
SMALLEST_CORE = 0.163
SMALLEST_MEMORY_MB = 139.0
POLL_S = 0.005
LIMIT_S = 20.0


@frozen(kw_only=True)
class Start:
    """One start of an entry process.

    Attributes:
        wall_s: Time until its readiness check succeeded.
        processor_s: Processor time that it had used by then.
        resident_mb: Its memory by then.
    """

    wall_s: float
    processor_s: float
    resident_mb: float


def measure() -> list[Measure]:
    """Start an entry instance several times beside three control instances."""
    with tempfile.TemporaryDirectory() as folder:
        starts = asyncio.run(_measure(Path(folder)))
    processor_s = statistics.median(start.processor_s for start in starts)
    note = f"median of {STARTS} starts, {TARGETS} upstreams"
    return [
        Measure(
            name="start of an entry instance: until it is ready",
            figure=round(statistics.median(start.wall_s for start in starts), 3),
            unit="s",
            note=note,
        ),
        Measure(
            name="start of an entry instance: processor time until it is ready",
            figure=round(processor_s, 3),
            unit="s",
            note=note,
        ),
        Measure(
            name=f"start of an entry instance: the same on {SMALLEST_CORE} core",
            figure=round(processor_s / SMALLEST_CORE, 2),
            unit="s",
            note="by division",
        ),
        at_most(
            "start of an entry instance: memory when it is ready",
            max(start.resident_mb for start in starts),
            "MB",
            SMALLEST_MEMORY_MB,
        ),
    ]


async def _measure(folder: Path) -> list[Start]:
    async with AsyncExitStack() as stack:
        seeds = tuple(f"127.92.0.{number + 1}" for number in range(3))
        controls = [f"{ip}:{CONTROL_PORT}" for ip in seeds]
        for number, ip in enumerate(seeds):
            await _open(stack, _program("control", ip, number, seeds, folder))
        ledger = Ledger()
        for number in range(TARGETS):
            target = Target(
                f"127.92.2.{number + 1}",
                SERVICES[number % 2],
                DATA_CENTRES[number % 3],
                controls,
                PACKET_PORT,
                ledger,
                random.Random(number),
            )
            await target.open()
            stack.callback(target.crash)
        rng = random.Random(1)
        await Operator(controls, SERVICES, HOST, ledger, rng).put()
        entry = _program("entry", "127.92.1.1", 0, seeds, folder)
        return [await _start(entry) for _ in range(STARTS)]


def _program(
    role: str, ip: str, number: int, seeds: tuple[str, ...], folder: Path
) -> Program:
    return Program(
        role,
        ip,
        ip,
        DATA_CENTRES[number % 3],
        folder / f"{role}-{number}",
        seeds,
        has_faults=False,
    )


async def _open(stack: AsyncExitStack, program: Program) -> None:
    stack.push_async_callback(program.close)
    await program.open()


async def _start(entry: Program) -> Start:
    started_s = time.monotonic()
    await entry.open()
    try:
        async with asyncio.timeout(LIMIT_S), aiohttp.ClientSession() as session:
            while not await _is_ready(session, entry.ip):
                await asyncio.sleep(POLL_S)
        return Start(
            wall_s=time.monotonic() - started_s,
            processor_s=_processor_s(entry.process.pid),
            resident_mb=_resident_mb(entry.process.pid),
        )
    finally:
        await entry.close()


async def _is_ready(session: aiohttp.ClientSession, ip: str) -> bool:
    try:
        async with session.get(f"http://{ip}:{READY_PORT}/ready") as answer:
            return answer.status == 200
    except aiohttp.ClientError:
        # Nothing listens yet.
        return False


def _processor_s(pid: int) -> float:
    """Return the processor time of all threads of a process, to the nanosecond."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    spent_ns = [int((task / "schedstat").read_text().split()[0]) for task in tasks]
    return sum(spent_ns) / 1e9


def _resident_mb(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20
