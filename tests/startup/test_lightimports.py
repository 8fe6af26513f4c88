"""Guards against imports that delay the start of an entry process."""

import subprocess
import sys
import sysconfig
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]


def run_code(code):
    result = subprocess.run(
        [sys.executable, "-S", "-c", code],
        check=False,
        cwd=ROOT,
        # Like an entry process: without the module site, which loads others.
        env={"PYTHONPATH": sysconfig.get_path("purelib")},
        capture_output=True,
        text=True,
    )
    assert result.returncode == 0, result.stderr


def test_a_deferred_module_is_loaded_at_its_first_use():
    run_code(
        "import sys, types\n"
        "from arbutuslift.startup.lightimports import deferred\n"
        "with deferred('colorsys'):\n"
        "    import colorsys\n"
        "assert type(colorsys) is not types.ModuleType\n"
        "assert colorsys.rgb_to_hsv(0, 0, 0) == (0.0, 0.0, 0)\n"
        "assert type(colorsys) is types.ModuleType\n"
    )


def test_an_entry_process_starts_without_the_deferred_modules():
    """Guards against a library that begins to use one of them when imported."""
    run_code(
        "import sys, types\n"
        "from arbutuslift.startup.lightimports import *\n"
        "hidden_names = ('ssl', *CONSOLE_MODULES)\n"
        "with hidden(*hidden_names), deferred(*UNUSED_AT_START):\n"
        "    import arbutuslift.entry, arbutuslift.transport.readiness\n"
        "loaded = [name for name in UNUSED_AT_START\n"
        "          if type(sys.modules.get(name)) is types.ModuleType]\n"
        "unneeded = {'pathlib', 'urllib.parse', *hidden_names} & set(sys.modules)\n"
        "assert not loaded, loaded\n"
        "assert not unneeded, unneeded\n"
    )
