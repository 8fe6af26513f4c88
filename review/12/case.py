"""Case 12: two control machines that don't lead are removed 2 s apart."""

import functools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from kit3.series import play_series  # noqa: E402
from kit3.world import ZONES, run  # noqa: E402

# The pages set no least pause; both successors have run for 10 s before.
GAP_S = 2.0

if __name__ == "__main__":
    play = functools.partial(play_series, gap_s=GAP_S, leader_first=False)
    run(play, [*ZONES, *ZONES[:2]], list(ZONES), late=2)
