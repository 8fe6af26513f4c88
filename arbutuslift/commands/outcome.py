"""Outcome of a command: exit code, text and JSON."""

import json
from enum import IntEnum
from functools import singledispatch

import cattrs
from attrs import define, field, frozen

from ..errors import (
    ArbutusliftError,
    ChangeNotAccepted,
    ConfigurationConflict,
    DocumentError,
    Fault,
    OutcomeUnknown,
    ServersUnreachable,
    UsageError,
)
from ..protocol.document import Document


class ExitCode(IntEnum):
    """Exit codes; the lower-case name is the ``status`` of JSON output."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    NOT_ACCEPTED = 5
    UNKNOWN = 6
    UNREACHABLE = 7
    WARNINGS = 8


@frozen(kw_only=True)
class CurrentRevision:
    """The current revision, reported after a conflict."""

    revision: int
    document: Document


@define(kw_only=True)
class Outcome:
    """The outcome that a command reports.

    Attributes:
        command: Name of the command.
        code: Exit code.
        message: Summary in one line.
        request_id: Identifier of the change; empty if there was none.
        result: Attrs object with the command's result, or None.
        faults: Faults of a document.
        lines: The result as text.
    """

    command: str = ""
    code: ExitCode = ExitCode.DONE
    message: str = ""
    request_id: str = ""
    result: object = None
    faults: tuple[Fault, ...] = ()
    lines: tuple[str, ...] = field(factory=tuple)

    def as_text(self) -> str:
        """Return the outcome as lines for a terminal."""
        head = self.message
        if self.code != ExitCode.DONE:
            head = f"{self.code.name.lower().replace('_', ' ')}: {head}"
        if len(self.faults) == 1 and not self.faults[0].path:
            head = f"{head}: {self.faults[0]}"
            return "\n".join([head, *self.lines])
        faults = [f"  {fault}" for fault in self.faults]
        return "\n".join([head, *faults, *self.lines])

    def as_json(self) -> str:
        """Return the outcome as a JSON object, which always has the same fields."""
        content = {
            "command": self.command,
            "status": self.code.name.lower(),
            "exit_code": int(self.code),
            "message": self.message,
            "request_id": self.request_id,
            "result": cattrs.unstructure(self.result),
            "faults": cattrs.unstructure(self.faults),
        }
        return json.dumps(content, ensure_ascii=False, allow_nan=False)


@singledispatch
def outcome_of(error: ArbutusliftError) -> Outcome:
    """Return the outcome of a command that raised an error."""
    return Outcome(code=ExitCode.FAILED, message=str(error))


@outcome_of.register
def _(error: UsageError) -> Outcome:
    return Outcome(code=ExitCode.USAGE, message=error.message)


@outcome_of.register
def _(error: DocumentError) -> Outcome:
    count = len(error.faults)
    message = f"{count} fault{'s' if count != 1 else ''} in {error.peer or 'document'}"
    return Outcome(code=ExitCode.INVALID, message=message, faults=error.faults)


@outcome_of.register
def _(error: ConfigurationConflict) -> Outcome:
    current = error.current
    return Outcome(
        code=ExitCode.CONFLICT,
        message=f"{error.message}; nothing was changed",
        result=CurrentRevision(revision=current.revision, document=current.document),
    )


@outcome_of.register
def _(error: ChangeNotAccepted) -> Outcome:
    return Outcome(code=ExitCode.NOT_ACCEPTED, message=error.message)


@outcome_of.register
def _(error: OutcomeUnknown) -> Outcome:
    return Outcome(code=ExitCode.UNKNOWN, message=error.message)


@outcome_of.register
def _(error: ServersUnreachable) -> Outcome:
    return Outcome(code=ExitCode.UNREACHABLE, message=str(error))
