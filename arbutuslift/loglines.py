"""Parser of log lines; each holds one event as key=value pairs."""

import re
from collections.abc import Iterable, Iterator
from datetime import datetime

from attrs import field, frozen

MAX_LINE_CHARACTERS = 10_000
# A name begins where no word character is before it, and a text without a last quote
# ends with the line, so that nothing is searched twice.
_PAIR = re.compile(r'(?<!\w)([A-Za-z_]\w*+)=("(?:[^"\\]++|\\.?)*+"?|\S*+)')
_REQUIRED = ("timestamp", "event", "instance")


@frozen(kw_only=True)
class LogLine:
    """One event.

    Attributes:
        time_s: Seconds since the Unix epoch, by the clock of the instance.
        event: Name of the event.
        instance: Instance that logged it.
        values: The other fields as text.
        text: The unparsed line.
    """

    time_s: float
    event: str
    instance: str
    values: dict[str, str] = field(factory=dict)
    text: str = ""

    def value(self, name: str) -> str:
        """Return the value of a field, or an empty string if the line lacks it."""
        return self.values.get(name, "")


class LogReader:
    """Reads the log lines of several processes.

    Attributes:
        bad_lines: Number of lines that are truncated, too long or not events.
    """

    def __init__(self) -> None:
        self.bad_lines = 0

    def read(self, lines: Iterable[str]) -> Iterator[LogLine]:
        """Yield the events; count malformed lines and skip them."""
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
