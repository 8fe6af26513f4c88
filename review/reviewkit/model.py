"""Data classes of the stand-ins, from the standard library only.

The scripts run with the Python of the machine, which has no libraries.
"""

from dataclasses import dataclass, replace

frozen_class = dataclass(frozen=True)
evolved = replace
