"""Case 11: the leader is removed, and 3.6 s later another control machine."""

import functools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from kit3.series import play_series  # noqa: E402
from kit3.world import ZONES, run  # noqa: E402

# Longer than the 3 s after which a voter may be replaced; both successors have run for
# 10 s before, and count after catch_up_s, 4 s.
GAP_S = 3.6

if __name__ == "__main__":
    play = functools.partial(play_series, gap_s=GAP_S, leader_first=True)
    run(play, [*ZONES, *ZONES[:2]], list(ZONES), late=2)
