"""The command-line client ``arbutusliftctl`` for operators."""

import asyncio
import sys
from collections.abc import Awaitable, Callable

from .commands import documents, operations
from .commands.check import check
from .commands.environment import Environment
from .commands.explain import explain_request
from .commands.form import form
from .commands.keys import create_key
from .commands.load import load
from .commands.options import Options, define_flags, parse, wants_json
from .commands.outcome import ExitCode, Outcome, outcome_of
from .errors import ArbutusliftError, UsageError

Command = Callable[[Options, Environment], Awaitable[Outcome]]

COMMANDS: dict[str, Command] = {
    "check": check,
    "apply": documents.apply,
    "show": documents.show,
    "history": documents.history,
    "diff": documents.compare,
    "status": operations.status,
    "load": load,
    "members": operations.members,
    "take-out": operations.take_out,
    "bring-back": operations.bring_back,
    "take-upstream-out": operations.take_upstream_out,
    "bring-upstream-back": operations.bring_upstream_back,
    "replace-member": operations.replace_member,
    "form": form,
    "create-key": create_key,
    "explain": explain_request,
}


async def execute(argv: list[str], environment: Environment) -> ExitCode:
    """Run one command, show its outcome and return the exit code."""
    try:
        options = parse(argv)
    except UsageError as error:
        _show(outcome_of(error), environment, as_json=wants_json(argv))
        return ExitCode.USAGE
    outcome = await _run(options, environment)
    outcome.command = options.command
    _show(outcome, environment, as_json=options.output == "json")
    return outcome.code


async def _run(options: Options, environment: Environment) -> Outcome:
    if options.help or options.command == "help":
        return Outcome(message="usage: arbutusliftctl COMMAND", lines=(usage(),))
    command = COMMANDS.get(options.command)
    try:
        if command is None:
            known = ", ".join(COMMANDS)
            raise UsageError(f"give a command: {known}", step="choose command")
        return await command(options, environment)
    except ArbutusliftError as error:
        return outcome_of(error)


def usage() -> str:
    """Return the commands, exit codes and flags as text."""
    lines = ["commands:"]
    for name, command in COMMANDS.items():
        lines.append(f"  {name:19} {command.__doc__.splitlines()[0]}")
    codes = ", ".join(
        f"{int(code)} {code.name.lower().replace('_', ' ')}" for code in ExitCode
    )
    lines += [f"exit codes: {codes}", "flags:", define_flags().get_help()]
    return "\n".join(lines)


def _show(outcome: Outcome, environment: Environment, *, as_json: bool) -> None:
    environment.write(outcome.as_json() if as_json else outcome.as_text())


def run() -> None:
    """Run a command line and exit with its code."""
    code = asyncio.run(execute(sys.argv, Environment.of_process()))
    sys.exit(int(code))


if __name__ == "__main__":
    run()
