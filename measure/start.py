"""Duration, processor time and memory from the start of a process until it serves."""

import asyncio
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
    write_archive,
)
from standins.soak.targets import Target

from .process import resident_mb
from .result import Measure, at_most

STARTS = 10
TARGETS = 6
SERVICES = ("alerts", "archive")
HOST = "198.18.0.1"
# Processor and memory of the smallest machines that the users' pages name.
SMALLEST_CORE = 0.163
SMALLEST_MEMORY_MB = 139.0
POLL_S = 0.005
LIMIT_S = 20.0


@frozen(kw_only=True)
class Start:
    """One start of a process.

    Attributes:
        wall_s: Time until the process served.
        processor_s: Processor time used until then.
        resident_mb: Resident memory at that time.
    """

    wall_s: float
    processor_s: float
    resident_mb: float


def measure() -> list[Measure]:
    """Start instances of both roles several times while other instances run."""
    with tempfile.TemporaryDirectory() as folder:
        entry, control = asyncio.run(_measure(Path(folder)))
    return [*_measures("an entry instance", entry), *_measures("control", control)]


def _measures(name: str, starts: list[Start]) -> list[Measure]:
    processor_s = statistics.median(start.processor_s for start in starts)
    note = f"median of {STARTS} starts, {TARGETS} upstreams"
    return [
        Measure(
            name=f"start of {name}: until it serves",
            figure=round(statistics.median(start.wall_s for start in starts), 3),
            unit="s",
            note=note,
        ),
        Measure(
            name=f"start of {name}: processor time until it serves",
            figure=round(processor_s, 3),
            unit="s",
            note=note,
        ),
        Measure(
            name=f"start of {name}: the same on {SMALLEST_CORE} core",
            figure=round(processor_s / SMALLEST_CORE, 2),
            unit="s",
            note="by division",
        ),
        at_most(
            f"start of {name}: memory when it serves",
            max(start.resident_mb for start in starts),
            "MB",
            SMALLEST_MEMORY_MB,
        ),
    ]


async def _measure(folder: Path) -> tuple[list[Start], list[Start]]:
    async with AsyncExitStack() as stack:
        write_archive(folder / "start")
        seeds = tuple(f"127.92.0.{number + 1}" for number in range(3))
        controls = [f"{ip}:{CONTROL_PORT}" for ip in seeds]
        programs = [
            _program("control", ip, number, seeds, folder)
            for number, ip in enumerate(seeds)
        ]
        for program in programs:
            stack.push_async_callback(program.close)
            await program.open()
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
        ready = f"http://{entry.ip}:{READY_PORT}/ready"
        entries = [await _start(entry, ready) for _ in range(STARTS)]
        last = programs[-1]
        read = f"http://{last.ip}:{CONTROL_PORT}/Config.Get"
        await last.close()
        return entries, [await _start(last, read) for _ in range(STARTS)]


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
        archive=folder / "start",
    )


async def _start(program: Program, url: str) -> Start:
    """Start a program, wait until it answers a GET with 200, and end it."""
    started_s = time.monotonic()
    await program.open()
    try:
        async with asyncio.timeout(LIMIT_S), aiohttp.ClientSession() as session:
            while not await _serves(session, url):
                await asyncio.sleep(POLL_S)
        return Start(
            wall_s=time.monotonic() - started_s,
            processor_s=processor_s(program.process.pid),
            resident_mb=resident_mb(program.process.pid),
        )
    finally:
        await program.close()


async def _serves(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as answer:
            return answer.status == 200
    except aiohttp.ClientError:
        # The program doesn't listen yet.
        return False


def processor_s(pid: int) -> float:
    """Return the processor time of all threads of a process, to the nanosecond."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    spent_ns = [int((task / "schedstat").read_text().split()[0]) for task in tasks]
    return sum(spent_ns) / 1e9
