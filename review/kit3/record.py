"""What a run has seen, written to ``record.txt``."""

import sys
import time
from collections import Counter
from pathlib import Path


class Record:
    """Lines with their time, counts, and which requests ran."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began_s = time.monotonic()
        self.counts: Counter[str] = Counter()
        self.run_counts: Counter[str] = Counter()
        self.broken: list[str] = []

    def write(self, text: str) -> None:
        """Write a line."""
        age_s = time.monotonic() - self._began_s
        self._file.write(f"{age_s:8.3f} s  {text}\n")
        self._file.flush()

    def count(self, name: str) -> None:
        """Count an event."""
        self.counts[name] += 1

    def ran(self, request: str, service: str) -> None:
        """Note that a target began to work on a request."""
        self.run_counts[request] += 1
        self.count(f"run by {service}")

    def fail(self, text: str) -> None:
        """Note that the rule was broken."""
        self.broken.append(text)
        self.write(f"BROKEN: {text}")

    def close(self) -> int:
        """Write the counts and return the exit code."""
        for name in sorted(self.counts):
            self.write(f"{name}: {self.counts[name]}")
        self.write("the rule was broken" if self.broken else "the rule held")
        self._file.close()
        print(self.broken[0] if self.broken else "held", file=sys.stderr)
        return 1 if self.broken else 0
