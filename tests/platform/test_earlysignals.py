"""Guards against signals that end a process while it starts, or are lost."""

import asyncio
import os
import signal
from pathlib import Path

import pytest
from adapter.earlysignals import EarlySignals

from standins.soak.programs import Program

PORTS = {"entry": "127.93.1.1", "control": "127.93.0.1"}


@pytest.fixture
def _handlers():
    numbers = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
    before = {number: signal.getsignal(number) for number in numbers}
    yield
    for number, handler in before.items():
        signal.signal(number, handler)


@pytest.mark.usefixtures("_handlers")
def test_a_signal_during_imports_is_remembered():
    early = EarlySignals()
    os.kill(os.getpid(), signal.SIGHUP)
    assert early.received == {signal.SIGHUP}


def program(tmp_path: Path, role: str) -> Program:
    ip = PORTS[role]
    return Program(
        role,
        ip,
        ip,
        "dc-a",
        tmp_path,
        (PORTS["control"],),
        has_faults=False,
        is_bootstrap=False,
    )


async def output_with(started: Program, event: str) -> str:
    path = started.folder / "output"
    async with asyncio.timeout(30):
        while f"event={event}" not in path.read_text():
            assert started.process.poll() is None, path.read_text()
            await asyncio.sleep(0.02)
    return path.read_text()


async def catches(started: Program, number: int) -> None:
    """Wait until a process has a handler; before, the interpreter itself starts."""
    path = Path(f"/proc/{started.process.pid}/status")
    async with asyncio.timeout(30):
        while True:
            caught = path.read_text().partition("SigCgt:")[2].split()[0]
            if int(caught, 16) & (1 << (number - 1)):
                return
            await asyncio.sleep(0.002)


@pytest.mark.parametrize("role", ["entry", "control"])
@pytest.mark.parametrize("delay_s", [0.0, 0.05, 0.1, 0.2, 0.4])
async def test_in_each_stage_sighup_reloads_and_sigterm_stops(tmp_path, role, delay_s):
    started = program(tmp_path, role)
    await started.open()
    try:
        await catches(started, signal.SIGHUP)
        await asyncio.sleep(delay_s)
        started.signal(signal.SIGHUP)
        await output_with(started, "settings_reloaded")
        started.signal(signal.SIGTERM)
        async with asyncio.timeout(30):
            while started.process.poll() is None:
                await asyncio.sleep(0.02)
        assert started.process.returncode == 0
    finally:
        await started.close()
