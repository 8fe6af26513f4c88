"""Faults and planned work, drawn from a seed."""

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
    """Kill a process and start it again."""
    with ledger.fault("kill"):
        program.kill()
        await asyncio.sleep(rng.uniform(0.1, 1.5))
        program.start()


async def wipe(program: Program, ledger: Ledger, rng: random.Random) -> None:
    """Kill a control process and take its disk away; entries have none."""
    with ledger.fault("wipe"):
        program.kill()
        shutil.rmtree(program.folder / "data", ignore_errors=True)
        await asyncio.sleep(rng.uniform(0.1, 1.0))
        program.start()


async def pause(program: Program, ledger: Ledger, rng: random.Random) -> None:
    """Stop and continue a process by signals."""
    with ledger.fault("pause"):
        program.signal(signal.SIGSTOP)
        await asyncio.sleep(rng.uniform(0.5, 4.0))
        program.signal(signal.SIGCONT)


async def reload(program: Program, ledger: Ledger, rng: random.Random) -> None:
    """Send SIGHUP, which is planned work."""
    del rng
    ledger.counts["reload"] += 1
    program.signal(signal.SIGHUP)


async def restart(program: Program, ledger: Ledger, rng: random.Random) -> None:
    """Stop a process as planned and start it again."""
    del rng
    ledger.counts["restart"] += 1
    if program.role == "control":
        with ledger.fault("restart of control"):
            await program.stop()
            program.start()
        return
    await program.stop()
    program.start()


async def harm_links(program: Program, ledger: Ledger, rng: random.Random) -> None:
    """Delay, silence, cut one way or reset the connections to a control process."""
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


async def harm_disk_or_clock(
    program: Program, ledger: Ledger, rng: random.Random
) -> None:
    """Let the disk be slow, stall or full, or step the time of day."""
    fault = rng.choice(("slow", "stall", "full", "clock 2.4", "clock -3600"))
    with ledger.fault(fault):
        program.set_fault(fault)
        await asyncio.sleep(rng.uniform(0.5, 4.0))
        program.set_fault("")


ON_CONTROL: tuple[Action, ...] = (
    kill,
    wipe,
    pause,
    reload,
    restart,
    harm_links,
    harm_disk_or_clock,
)
ON_ENTRY: tuple[Action, ...] = (kill, pause, reload, restart, harm_disk_or_clock)
