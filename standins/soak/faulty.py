"""Runs a program of the platform with injected faults of disk and clock.

Usage: ``python faulty.py ROLE FAULT_FILE``. The file names the fault that is active, if
any. Only the soak test uses this module; the programs themselves can't inject faults.
"""

import errno
import os
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "platform")]

from adapter import processes  # noqa: E402
from adapter.earlysignals import EarlySignals  # noqa: E402
from adapter.settings import read_settings, settings_path  # noqa: E402
from attrs import evolve  # noqa: E402

SLOW_FSYNC_S = 0.05
STALL_S = 1.0


def main() -> int:
    """Replace the functions that the faults affect and run the role."""
    role, fault_file = sys.argv[1], Path(sys.argv[2])
    _install_faults(fault_file)
    signals = EarlySignals()
    path = settings_path()
    settings = read_settings(path)
    if role == "control":
        listen_ip = os.environ["SOAK_BUS_LISTEN_IP"]
        settings = evolve(settings, bus_listen_ip=listen_ip)
        processes.run_control(path, settings, signals)
    else:
        processes.run_entry(path, settings, signals)
    return 0


def _install_faults(fault_file: Path) -> None:
    original_fsync, original_time = os.fsync, time.time

    def faulty_fsync(descriptor: int) -> None:
        fault = _read_fault(fault_file)
        if fault == "full":
            raise OSError(errno.ENOSPC, "no space left")
        if fault == "slow":
            time.sleep(SLOW_FSYNC_S)
        if fault == "stall":
            time.sleep(STALL_S)
        original_fsync(descriptor)

    def stepped_time() -> float:
        fault = _read_fault(fault_file)
        return original_time() + (
            float(fault[6:]) if fault.startswith("clock ") else 0.0
        )

    os.fsync = faulty_fsync
    time.time = stepped_time


def _read_fault(fault_file: Path) -> str:
    return fault_file.read_text().strip() if fault_file.exists() else ""


if __name__ == "__main__":
    sys.exit(main())
