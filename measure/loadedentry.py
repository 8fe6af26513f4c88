"""Runs an entry program with load features.

Usage: ``python loadedentry.py [FIELD ...]``, fields of ``LoadSettings`` that are to be
True. Only measurements use this module.
"""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "platform")]

from adapter import processes  # noqa: E402
from adapter.settings import (  # noqa: E402
    PlatformSettings,
    read_settings,
    settings_path,
)
from attrs import evolve  # noqa: E402

from arbutuslift.rolesettings import EntrySettings, LoadSettings  # noqa: E402


def main(features: list[str]) -> None:
    """Run the entry role."""
    load = LoadSettings(**dict.fromkeys(features, True))
    original = PlatformSettings.entry_settings

    def entry_settings(settings: PlatformSettings) -> EntrySettings:
        return evolve(original(settings), load=load)

    PlatformSettings.entry_settings = entry_settings
    path = settings_path()
    processes.run_entry(path, read_settings(path))


if __name__ == "__main__":
    main(sys.argv[1:])
