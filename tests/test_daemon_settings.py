"""The daemon as a process: its report of invalid settings."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

FLAGS = {
    "name": "dc-1-1",
    "data_centre": "dc-1",
    "listen": "127.0.0.1:7100",
    "fabric": "127.0.0.1:7400",
    "announcements": "127.0.0.1:7200",
    "bus": "127.0.0.1:7300",
    "seeds": "dc-2-1=127.0.0.1:7301",
    "curve": "on",
}
CURVE_FAULTS = [
    (
        {},
        "--curve_key_file: missing; the bus uses CURVE",
        "--authorized_keys_folder: missing; the bus uses CURVE",
    ),
    (
        {"curve_key_file": "/none/key", "authorized_keys_folder": "/none"},
        "--curve_key_file=/none/key: must be a readable file",
        "--authorized_keys_folder=/none: must be a folder",
    ),
]


@pytest.mark.parametrize(("changes", "key_fault", "folder_fault"), CURVE_FAULTS)
def test_missing_keys_end_the_daemon(changes, key_fault, folder_fault):
    """Guards against an instance that starts but can't communicate with any peer."""
    flags = [f"--{name}={value}" for name, value in (FLAGS | changes).items()]
    environment = {
        name: value
        for name, value in os.environ.items()
        if not name.startswith("ARBUTUSLIFT_")
    }
    ended = subprocess.run(
        [sys.executable, "-m", "arbutuslift.daemon", *flags],
        cwd=Path(__file__).parents[1],
        env=environment,
        capture_output=True,
        text=True,
        check=False,
        timeout=60.0,
    )
    assert ended.returncode == 1
    assert key_fault in ended.stderr
    assert folder_fault in ended.stderr
