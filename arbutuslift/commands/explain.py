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
    identifier, *file_names = options.arguments
    explanation = explain(identifier, _read_lines(file_names))
    lines = (*explanation.time_line, f"bad lines: {explanation.bad_lines}")
    return Outcome(message=explanation.cause, result=explanation, lines=lines)


def _read_lines(file_names: list[str]) -> Iterator[str]:
    if not file_names:
        yield from sys.stdin
    for name in file_names:
        try:
            with Path(name).open(errors="replace") as file:
                yield from file
        except OSError as error:
            raise UsageError(str(error), step=STEP) from error
