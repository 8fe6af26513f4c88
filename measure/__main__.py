"""Runs measurements, prints their figures as a table and writes them as JSON."""

import importlib
import json
import pkgutil
import sys
import time
from pathlib import Path

from attrs import asdict

from .result import Measure

OUTPUT = Path("out") / "measure.json"


def measurement_names() -> list[str]:
    """Return the modules of this package that have a ``measure`` function."""
    package = importlib.import_module(__package__)
    names = [info.name for info in pkgutil.iter_modules(package.__path__)]
    return [
        name
        for name in names
        if name != "__main__" and hasattr(_module(name), "measure")
    ]


def _module(name: str):
    return importlib.import_module(f"{__package__}.{name}")


def _line(measure: Measure) -> str:
    verdict = {True: "pass", False: "MISSED", None: "-"}[measure.passes]
    target = "-" if measure.target is None else f"{measure.target:g}"
    return (
        f"{measure.name:<72} {measure.figure:>14.6g} {measure.unit:<18}"
        f" {target:>10} {verdict}"
    )


def main(arguments: list[str]) -> int:
    """Run the named measurements, or all, and return the exit code."""
    results: dict[str, list[dict[str, object]]] = {}
    missed = 0
    print(f"{'measure':<72} {'figure':>14} {'unit':<18} {'target':>10} verdict")
    for name in arguments or measurement_names():
        started_s = time.monotonic()
        measures = _module(name).measure()
        for measure in measures:
            print(_line(measure), flush=True)
            missed += measure.passes is False
        print(f"# {name}: {time.monotonic() - started_s:.1f} s", flush=True)
        results[name] = [asdict(measure) for measure in measures]
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(json.dumps(results, indent=2) + "\n")
    print(f"targets missed: {missed}; written to {OUTPUT}")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
