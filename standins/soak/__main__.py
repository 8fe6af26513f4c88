"""Runs the soak: ``python -m standins.soak --seed 1 --seconds 60 --processes 7``."""

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path

from .soak import Soak, SoakSize


def main(arguments: list[str]) -> int:
    """Run one seed, print the counts, and return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--processes", type=int, default=7)
    parser.add_argument("--block", type=int, default=76, help="loopback network")
    parser.add_argument(
        "--kills_in_series",
        action="store_true",
        help="kill all programs one after another, time and again",
    )
    parser.add_argument(
        "--folder",
        type=Path,
        help="folder of the run, which is retained; a temporary one by default",
    )
    options = parser.parse_args(arguments)
    size = SoakSize(
        processes=options.processes,
        duration_s=options.seconds,
        block=options.block,
        kills_in_series=options.kills_in_series,
    )
    with tempfile.TemporaryDirectory() as temporary:
        folder = options.folder or Path(temporary)
        ledger = asyncio.run(Soak(options.seed, size, folder).run())
    counts = " ".join(f"{name}={n}" for name, n in sorted(ledger.counts.items()))
    print(f"seed={options.seed} {counts}")
    for breach in ledger.breaches:
        print(f"BROKEN {breach}")
    print(f"seed={options.seed} {len(ledger.breaches)} promises broken")
    return 1 if ledger.breaches else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
