"""Guards against a role that imports a library which its machines don't have."""

import re
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
# Distributions whose modules have other names.
MODULES = {"absl-py": "absl", "prometheus-client": "prometheus_client"}
MODULES |= {"PyYAML": "yaml", "pyzmq": "zmq"}
MODULES |= {"opentelemetry-api": "opentelemetry", "opentelemetry-sdk": "opentelemetry"}
ROLE_MODULES = {
    "control": ["arbutuslift.control", "adapter.httpapi", "adapter.configurations"],
    "entry": [
        "arbutuslift.entry",
        "arbutuslift.loadmetrics",
        "arbutuslift.sharedload",
        "arbutuslift.coordination.routing.admissiongate",
        "arbutuslift.coordination.routing.locality",
        "arbutuslift.coordination.routing.synhedging",
        "arbutuslift.transport.readiness",
    ],
}


def modules_in(path):
    names = re.findall(r"^[\w.-]+", (ROOT / path).read_text(), re.MULTILINE)
    return {MODULES.get(name, name) for name in names}


@pytest.mark.parametrize("role", ROLE_MODULES)
def test_a_role_needs_only_the_libraries_that_are_deployed(role):
    absent = modules_in("requirements.in") - modules_in("deploy/requirements.txt")
    assert "cattrs" in absent
    names = ["adapter.processes", "adapter.lifecycle", "adapter.packets"]
    code = (
        "import importlib, sys\n"
        f"sys.path[:0] = [{str(ROOT)!r}, {str(ROOT / 'platform')!r}]\n"
        f"sys.modules.update(dict.fromkeys({sorted(absent)!r}))\n"
        f"for name in {names + ROLE_MODULES[role]!r}:\n"
        "    importlib.import_module(name)\n"
    )
    subprocess.run([sys.executable, "-c", code], check=True)
