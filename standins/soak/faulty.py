"""A program of the platform whose disk and clock misbehave as a file says.

Usage: ``python faulty.py ROLE FAULT_FILE``. Only the soak uses it; the programs have no
such switch.
"""

import errno
import os
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "platform")]

from adapter import processes  # noqa: E402
from adapter.settings import read_settings, settings_path  # noqa: E402
from attrs import evolve  # noqa: E402

SLOW_SYNC_S = 0.05
STALL_S = 1.0


def main() -> int:
    """Install the faults and run the role."""
    role, fault_file = sys.argv[1], Path(sys.argv[2])
    _install(fault_file)
    path = settings_path()
    settings = read_settings(path)
    if role == "control":
        listen_ip = os.environ["SOAK_BUS_LISTEN_IP"]
        processes.run_control(path, evolve(settings, bus_listen_ip=listen_ip))
    else:
        processes.run_entry(path, settings)
    return 0


def _install(fault_file: Path) -> None:
    sync, now = os.fsync, time.time

    def faulty_sync(descriptor: int) -> None:
        fault = _fault(fault_file)
        if fault == "full":
            raise OSError(errno.ENOSPC, "no space left")
        if fault == "slow":
            time.sleep(SLOW_SYNC_S)
        if fault == "stall":
            time.sleep(STALL_S)
        sync(descriptor)

    def stepped_time() -> float:
        fault = _fault(fault_file)
        return now() + (float(fault[6:]) if fault.startswith("clock ") else 0.0)

    os.fsync = faulty_sync
    time.time = stepped_time


def _fault(fault_file: Path) -> str:
    return fault_file.read_text().strip() if fault_file.exists() else ""


if __name__ == "__main__":
    sys.exit(main())
