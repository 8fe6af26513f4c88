"""The record of a run, and the base of small classes."""

import dataclasses
import time
from pathlib import Path

plain = dataclasses.dataclass(slots=True)


class Record:
    """Lines with the seconds since the start of the run.

    Args:
        path: File of the record, written at the end.
    """

    def __init__(self, path: Path) -> None:
        self.began_s = time.monotonic()
        self._path = path
        self._lines: list[str] = []

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began_s

    def note(self, text: str, at_s: float | None = None) -> None:
        """Add a line."""
        self._lines.append(f"{self.now_s() if at_s is None else at_s:9.3f} {text}")

    def say(self, text: str) -> None:
        """Add a line and print it."""
        self.note(text)
        print(self._lines[-1], flush=True)

    def write(self) -> None:
        """Write the file, in order of time."""
        self._lines.sort(key=lambda line: float(line.split(maxsplit=1)[0]))
        self._path.write_text("\n".join(self._lines) + "\n")
