"""Guards against imports that delay the first packet or the first table.

After a loss of power everywhere callers wait for the first table. A module that it
doesn't need is imported by the function that needs it, after the first table.
"""

import subprocess
import sys
import sysconfig
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
LISTS = Path(__file__).with_name("first_stage")
OWN = ("arbutuslift", "adapter")
# Libraries that only later stages need.
LATER_LIBRARIES = {"h11", "ssl", "prometheus_client", "urllib.request", "http.client"}
CODE = """
import sys
sys.path[:0] = ["platform"]
sys.path.append(".")
from arbutuslift.startup.lightimports import light_imports
from adapter import rolemodules
import importlib
with light_imports():
    for name in rolemodules.FIRST_STAGE[{role!r}]:
        importlib.import_module(name)
print("\\n".join(sys.modules))
"""


def modules_of_first_stage(role):
    result = subprocess.run(
        [sys.executable, "-S", "-c", CODE.format(role=role)],
        check=True,
        cwd=ROOT,
        env={"PYTHONPATH": sysconfig.get_path("purelib")},
        capture_output=True,
        text=True,
    )
    return set(result.stdout.split())


@pytest.mark.parametrize("role", ["entry", "control"])
def test_the_first_stage_loads_the_listed_modules(role):
    loaded = modules_of_first_stage(role)
    own = {name for name in loaded if name.partition(".")[0] in OWN}
    own.discard("adapter.rolemodules")
    listed = set((LISTS / f"{role}.txt").read_text().split())
    assert own - listed == set(), (
        f"loaded before the first {'packet' if role == 'entry' else 'table'}, each "
        f"about 1 ms on a small machine: import them later, or list them in {LISTS}"
    )
    assert listed - own == set(), "no longer loaded: remove them from the list"
    assert loaded & LATER_LIBRARIES == set()
