"""Record of what was sent, answered and run."""

import sys
import time
from pathlib import Path


class Record:
    """Writes one line for each event, with the time since the start of the case.

    Args:
        path: File that is replaced.
    """

    def __init__(self, path: Path) -> None:
        self.breaches: list[str] = []
        self._started_s = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now_s(self) -> float:
        """Return the time since the start of the case."""
        return time.monotonic() - self._started_s

    def write(self, event: str, **fields: object) -> None:
        """Write an event."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now_s():8.3f} {event} {text}".rstrip() + "\n")
        self._file.flush()

    def write_breach(self, rule: str, text: str) -> None:
        """Write that a rule was broken."""
        self.breaches.append(f"{rule}: {text}")
        self.write("RULE_BROKEN", rule=rule, what=repr(text))

    def finish(self) -> int:
        """Write the result and return the exit code, 1 if a rule was broken."""
        result = "broken" if self.breaches else "held"
        self.write("result", rule=result, breaches=len(self.breaches))
        print(f"rule {result}", *self.breaches[:3], sep="\n  ", file=sys.stderr)
        self._file.close()
        return 1 if self.breaches else 0
