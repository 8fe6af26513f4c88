"""Log lines read back: one event of key=value pairs each."""

import re
from collections.abc import Iterable, Iterator
from datetime import datetime

from attrs import field, frozen

MAX_LINE_CHARACTERS = 10_000
_PAIR = re.compile(r'([A-Za-z_]\w*)=("(?:[^"\\]|\\.)*"|\S*)')
_REQUIRED = ("timestamp", "event", "instance")


@frozen(kw_only=True)
class LogLine:
    """One event.

    Attributes:
        time_s: Seconds since the Unix epoch, by the clock of the instance.
        event: Name of the event.
        instance: Instance that logged it.
        values: The other fields as text.
        text: The line as it was read.
    """

    time_s: float
    event: str
    instance: str
    values: dict[str, str] = field(factory=dict)
    text: str = ""

    def value(self, name: str) -> str:
        """Return a field, empty if the line has none of that name."""
        return self.values.get(name, "")


class LogReader:
    """Reads lines of several processes.

    Attributes:
        bad_lines: Lines that were cut, too long or no events.
    """

    def __init__(self) -> None:
        self.bad_lines = 0

    def read(self, lines: Iterable[str]) -> Iterator[LogLine]:
        """Yield the events; lines that hold none are counted."""
        for text in lines:
            line = _parse(text.rstrip("\n"))
            if line is None:
                self.bad_lines += 1
            else:
                yield line


def _parse(text: str) -> LogLine | None:
    if len(text) > MAX_LINE_CHARACTERS:
        return None
    pairs = {name: _unquote(value) for name, value in _PAIR.findall(text)}
    if any(name not in pairs for name in _REQUIRED):
        return None
    try:
        time_s = datetime.fromisoformat(pairs.pop("timestamp")).timestamp()
    except ValueError:
        return None
    event, instance = pairs.pop("event"), pairs.pop("instance")
    return LogLine(
        time_s=time_s, event=event, instance=instance, values=pairs, text=text
    )


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    return re.sub(r"\\(.)", r"\1", value[1:-1])
