"""Command that explains a request from log files."""

import sys
from collections.abc import Iterator
from pathlib import Path

from ..errors import UsageError
from ..explanation import explain
from .environment import Environment
from .options import Options
from .outcome import Outcome

STEP = "explain"


async def explain_request(options: Options, environment: Environment) -> Outcome:
    """Explain a request id or flow from log files, or from standard input."""
    del environment
    if not options.arguments:
        raise UsageError("explain needs a request id or flow", step=STEP)
    identifier, *names = options.arguments
    found = explain(identifier, _lines(names))
    lines = (*found.time_line, f"bad lines: {found.bad_lines}")
    return Outcome(message=found.cause, result=found, lines=lines)


def _lines(names: list[str]) -> Iterator[str]:
    if not names:
        yield from sys.stdin
    for name in names:
        try:
            with Path(name).open(errors="replace") as file:
                yield from file
        except OSError as error:
            raise UsageError(str(error), step=STEP) from error
