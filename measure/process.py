"""Processor time and memory of whole instance processes without traffic."""

import os
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path

from standins.deployment import AGENCIA, Deployment, Instance

from .result import Measure, at_most

SETTLE_S = 10.0
PERIOD_S = 20.0
MAX_CORE = 0.012
MAX_MEMORY_MB = 256.0


def measure() -> list[Measure]:
    """Measure nine instances that exchange only control traffic."""
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        deployment = Deployment(AGENCIA, folder, stack)
        deployment.start()
        time.sleep(SETTLE_S)
        before_s = [processor_s(instance) for instance in deployment.instances]
        time.sleep(PERIOD_S)
        after_s = [processor_s(instance) for instance in deployment.instances]
        memory_mb = max(resident_mb(i.process.pid) for i in deployment.instances)
    used = [
        (after - before) / PERIOD_S
        for before, after in zip(before_s, after_s, strict=True)
    ]
    return [
        at_most(
            "processor time for control, mean", sum(used) / len(used), "core", MAX_CORE
        ),
        at_most("processor time for control, highest", max(used), "core", MAX_CORE),
        at_most("resident memory, highest", memory_mb, "MB", MAX_MEMORY_MB),
    ]


def processor_s(instance: Instance) -> float:
    """Return the processor time that an instance has used, in seconds."""
    fields = Path(f"/proc/{instance.process.pid}/stat").read_text().split()
    ticks = int(fields[13]) + int(fields[14])
    return ticks / os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024
