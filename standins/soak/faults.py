"""Faults and planned operations, drawn from a seed."""

import asyncio
import random
import shutil
import signal
from collections.abc import Awaitable, Callable

from .ledger import Ledger
from .programs import Program
from .proxy import Mode

Action = Callable[[Program, Ledger, random.Random], Awaitable[None]]


async def kill(program: Program, ledger: Ledger, rng: random.Random) -> None:
    """Kill a process and restart it."""
    with ledger.fault("kill"):
        program.kill()
        await asyncio.sleep(rng.uniform(0.1, 1.5))
        program.start()


async def wipe(program: Program, ledger: Ledger, rng: random.Random) -> None:
    """Kill a control process, remove its data folder and restart it.

    Entry processes have no disk.
    """
    with ledger.fault("wipe"):
        program.kill()
        shutil.rmtree(program.folder / "data", ignore_errors=True)
        await asyncio.sleep(rng.uniform(0.1, 1.0))
        program.start()


async def pause(program: Program, ledger: Ledger, rng: random.Random) -> None:
    """Suspend a process by SIGSTOP and resume it by SIGCONT."""
    with ledger.fault("pause"):
        program.signal(signal.SIGSTOP)
        await asyncio.sleep(rng.uniform(0.5, 4.0))
        program.signal(signal.SIGCONT)


async def reload(program: Program, ledger: Ledger, rng: random.Random) -> None:
    """Reload the settings by SIGHUP, which counts as a planned operation."""
    del rng
    ledger.counts["reload"] += 1
    program.signal(signal.SIGHUP)


async def restart(program: Program, ledger: Ledger, rng: random.Random) -> None:
    """Stop a process gracefully and restart it."""
    del rng
    ledger.counts["restart"] += 1
    if program.role == "control":
        with ledger.fault("restart of control"):
            await program.stop()
            program.start()
        return
    await program.stop()
    program.start()


async def disturb_links(program: Program, ledger: Ledger, rng: random.Random) -> None:
    """Delay, block in one or both ways, or reset connections to a control process."""
    if program.proxy is None:
        return
    modes = (Mode.DELAY, Mode.SILENCE, Mode.NO_REQUESTS, Mode.NO_ANSWERS, Mode.PASS)
    mode = rng.choice(modes)
    with ledger.fault(f"links {mode.value}"):
        program.proxy.delay_s = rng.uniform(0.02, 0.3)
        program.proxy.mode = mode
        program.proxy.reset()
        await asyncio.sleep(rng.uniform(0.5, 5.0))
        program.proxy.mode = Mode.PASS
        program.proxy.reset()


async def disturb_disk_or_clock(
    program: Program, ledger: Ledger, rng: random.Random
) -> None:
    """Make the disk slow, stalled or full, or step the wall clock."""
    fault = rng.choice(("slow", "stall", "full", "clock 2.4", "clock -3600"))
    with ledger.fault(fault):
        program.set_fault(fault)
        await asyncio.sleep(rng.uniform(0.5, 4.0))
        program.set_fault("")


CONTROL_ACTIONS: tuple[Action, ...] = (
    kill,
    wipe,
    pause,
    reload,
    restart,
    disturb_links,
    disturb_disk_or_clock,
)
ENTRY_ACTIONS: tuple[Action, ...] = (
    kill,
    pause,
    reload,
    restart,
    disturb_disk_or_clock,
)
