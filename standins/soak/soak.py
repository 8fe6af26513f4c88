"""One run of programs, targets, callers and operators under the faults of a seed."""

import asyncio
import random
import socket
from contextlib import AsyncExitStack
from pathlib import Path

from attrs import frozen

from .callers import Caller, Routers
from .faults import CONTROL_ACTIONS, ENTRY_ACTIONS
from .ledger import APPLY_S, CONTACT_S, Ledger
from .operators import FIRST_PORT, Operator
from .otherwriter import OtherWriter
from .programs import (
    CONTROL_PORT,
    DATA_CENTRES,
    PACKET_PORT,
    READY_PORT,
    Program,
)
from .targets import Target

CONTROLS = 3
CALLERS = 6
TARGETS = 6
SERVICES = ("alerts", "archive")
HOST = "198.18.0.1"
CALLER_PORT = PACKET_PORT
START_TIMEOUT_S = 60.0
RECOVERY_TIME_S = 12.0
END_CHECK_INTERVAL_S = 0.5
RECOVERY_FLOWS = 20
# Time between the end of a target and the start of the next one on its address.
ADDRESS_REUSE_DELAY_S = 0.5


@frozen(kw_only=True)
class SoakSize:
    """Size of a run.

    Attributes:
        processes: Number of programs of both roles.
        duration_s: Duration of fault injection.
        block: Second byte of the first of four loopback networks. Runs with different
            blocks can run at the same time.
        kills_in_series: Whether half of the faults are kills of all programs.
    """

    processes: int = 7
    duration_s: float = 60.0
    block: int = 76
    kills_in_series: bool = False

    def address(self, network: int, group: int, number: int) -> str:
        """Return a loopback address."""
        return f"127.{self.block + network}.{group}.{number + 1}"


class Soak:
    """One run.

    Args:
        seed: Seed of the faults, the planned operations and the kinds of requests.
        size: Size of the run.
        folder: Holds the settings, data and output of the programs.
    """

    def __init__(self, seed: int, size: SoakSize, folder: Path) -> None:
        self.ledger = Ledger()
        self._rng = random.Random(seed)
        # Separate, so that the other draws of a seed stay as they were.
        self._series_rng = random.Random(seed)
        self._size = size
        self._folder = folder
        seeds = tuple(size.address(0, 0, number) for number in range(CONTROLS))
        self._controls = [self._program("control", n, seeds) for n in range(CONTROLS)]
        self._entries = [
            self._program("entry", n, seeds)
            for n in range(max(1, size.processes - CONTROLS))
        ]
        self._addresses = [f"{ip}:{CONTROL_PORT}" for ip in seeds]
        self._targets: dict[str, Target] = {}
        self._routers = Routers([e.ip for e in self._entries], PACKET_PORT, READY_PORT)
        self._operator = Operator(
            self._addresses, SERVICES, HOST, self.ledger, random.Random(seed)
        )
        self._other_writer = OtherWriter(
            self._addresses,
            [entry.ip for entry in self._entries],
            self.ledger,
            random.Random(seed),
        )
        self._stack = AsyncExitStack()

    async def run(self) -> Ledger:
        """Start all programs, inject faults, check the recovery, end all programs."""
        async with self._stack:
            await self._open()
            async with asyncio.timeout(START_TIMEOUT_S):
                await self._wait_until_served()
            work = [
                self._inject_faults,
                self._replace_targets,
                self._run_operator,
                self._poll_configuration,
                self._watch_ends,
                self._other_writer.run,
            ]
            tasks = [asyncio.create_task(step()) for step in work]
            tasks += [
                asyncio.create_task(self._run_caller(caller))
                for caller in self._callers
            ]
            await self._run_for(tasks, self._size.duration_s)
            await self._check_recovery()
        return self.ledger

    @property
    def _programs(self) -> tuple[Program, ...]:
        return (*self._controls, *self._entries)

    def _program(self, role: str, n: int, seeds: tuple[str, ...]) -> Program:
        group = 0 if role == "control" else 1
        return Program(
            role,
            self._size.address(0, group, n),
            self._size.address(1, group, n),
            DATA_CENTRES[n % len(DATA_CENTRES)],
            self._folder / f"{role}-{n + 1}",
            seeds,
        )

    async def _open(self) -> None:
        for program in self._programs:
            self._stack.push_async_callback(program.close)
            await program.open()
        for number in range(TARGETS):
            await self._open_target(number)
        self._stack.callback(self._close_targets)
        self._callers = []
        for number in range(CALLERS):
            caller = Caller(
                self._size.address(3, 0, number),
                CALLER_PORT,
                self._routers,
                self.ledger,
                self._is_target_alive,
                random.Random(number),
            )
            await caller.open()
            self._stack.callback(caller.close)
            self._callers.append(caller)
        checks = asyncio.create_task(self._routers.run())
        self._stack.callback(checks.cancel)

    async def _open_target(self, number: int) -> None:
        target = Target(
            self._size.address(2, 0, number),
            SERVICES[number % len(SERVICES)],
            DATA_CENTRES[number // len(SERVICES) % len(DATA_CENTRES)],
            self._addresses,
            CALLER_PORT,
            self.ledger,
            random.Random(self._rng.random()),
        )
        await target.open()
        self._targets[f"{number}"] = target

    def _close_targets(self) -> None:
        for target in self._targets.values():
            if target.is_alive:
                target.crash()

    def _is_target_alive(self, number: int) -> bool:
        targets = self._targets.values()
        return any(t.is_alive and t.number & 0xFFFFFFFF == number for t in targets)

    async def _wait_until_served(self) -> None:
        await self._operator.put()
        while await self._callers[0].use_flow(_service(443), 1) == 0:
            await asyncio.sleep(0.2)
        self.ledger.counts.clear()

    async def _run_for(self, tasks: list[asyncio.Task], duration_s: float) -> None:
        """Run tasks for a time; an error of one task fails the run."""
        done, running = await asyncio.wait(
            tasks, timeout=duration_s, return_when=asyncio.FIRST_EXCEPTION
        )
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        for task in done:
            task.result()

    async def _run_caller(self, caller: Caller) -> None:
        await caller.run(_service(443 + self._rng.randrange(len(SERVICES))))

    async def _inject_faults(self) -> None:
        """Inject one fault after the other, with fault-free times in between."""
        while True:
            await asyncio.sleep(self._rng.uniform(1.0, CONTACT_S + 3.0))
            if self._size.kills_in_series and self._series_rng.random() < 0.5:
                await asyncio.shield(self._kill_in_series())
                continue
            is_control = self._rng.random() < 0.6
            programs = self._controls if is_control else self._entries
            action = self._rng.choice(CONTROL_ACTIONS if is_control else ENTRY_ACTIONS)
            program = self._rng.choice(programs)
            # Shielded, since a fault that is cancelled halfway would never be ended.
            await asyncio.shield(action(program, self.ledger, self._rng))

    async def _replace_targets(self) -> None:
        """Stop targets by draining or a crash, and start new ones in their place."""
        while True:
            await asyncio.sleep(self._rng.uniform(2.0, 6.0))
            number = self._rng.randrange(TARGETS)
            if self._rng.random() < 0.5:
                self.ledger.counts["target replaced"] += 1
                await self._targets[f"{number}"].leave()
            else:
                self.ledger.counts["target crashed"] += 1
                self._targets[f"{number}"].crash()
                await asyncio.sleep(self._rng.uniform(0.0, 3.0))
            await asyncio.sleep(ADDRESS_REUSE_DELAY_S)
            await self._open_target(number)

    async def _run_operator(self) -> None:
        while True:
            await asyncio.sleep(self._rng.uniform(0.3, 3.0))
            if self._rng.random() < 0.8:
                await self._check_change()
                continue
            data_centre = self._rng.choice(DATA_CENTRES)
            self.ledger.counts["data centre out"] += 1
            await self._operator.set_out_of_service(data_centre, True)
            await asyncio.sleep(self._rng.uniform(1.0, 8.0))
            await self._operator.set_out_of_service(data_centre, False)

    async def _check_change(self) -> None:
        acknowledged_s = await self._operator.put()
        version = self._operator.version
        await asyncio.sleep(APPLY_S)
        caller = self._rng.choice(self._callers)
        served = await caller.use_flow(_service(FIRST_PORT + version), 1)
        self.ledger.record_route_check(version, acknowledged_s, bool(served))

    async def _poll_configuration(self) -> None:
        while True:
            await asyncio.sleep(0.3)
            await self._operator.read()

    async def _watch_ends(self) -> None:
        """Check that no program ends by itself, whatever its disk does."""
        while True:
            await asyncio.sleep(END_CHECK_INTERVAL_S)
            for program in self._programs:
                if program.has_ended_by_itself:
                    self.ledger.record_own_end(program.folder.name)
                    program.start()

    async def _kill_in_series(self) -> None:
        """Kill all programs one after another, while the first ones start again."""
        with self.ledger.fault("kill in series"):
            for program in self._programs:
                program.kill()
                await asyncio.sleep(self._series_rng.uniform(0.0, 0.1))
                program.start()

    async def _check_recovery(self) -> None:
        for program in self._programs:
            program.set_fault("")
            program.signal(18)
            if program.process.poll() is not None:
                program.start()
        await asyncio.sleep(RECOVERY_TIME_S)
        await self._operator.read_until_answered()
        flows = [
            self._callers[n % CALLERS].use_flow(_service(443), 1)
            for n in range(RECOVERY_FLOWS)
        ]
        served = sum(await asyncio.gather(*flows))
        self.ledger.record_recovery(served, RECOVERY_FLOWS)


def _service(port: int) -> tuple[bytes, int]:
    return socket.inet_aton(HOST), port
