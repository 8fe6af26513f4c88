"""Resources of the process that commands use."""

import secrets
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from attrs import frozen

from ..api import Session, server_names
from ..clock import Clock, SystemClock
from ..errors import UsageError
from ..protocol.channel import Channel
from ..transport.bus import Bus
from .clientbus import open_zmq_bus
from .options import Options


def new_request_id() -> str:
    """Return an unused request identifier."""
    return secrets.token_hex(16)


def _print_note(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


@frozen(kw_only=True)
class Environment:
    """Resources of the process that commands use.

    Attributes:
        clock: Source of time.
        open_bus: Returns a bus; raises UsageError.
        write: Prints the outcome.
        note: Prints a message while a command runs.
        ask: Prompts on the terminal and returns the answer; raises EOFError at the end
            of the input.
        new_request_id: Returns an unused request identifier.
    """

    clock: Clock
    open_bus: Callable[[Options], Bus] = open_zmq_bus
    write: Callable[[str], None] = print
    note: Callable[[str], None] = _print_note
    ask: Callable[[str], str] = input
    new_request_id: Callable[[], str] = new_request_id

    @classmethod
    def of_process(cls) -> "Environment":
        """Return the environment of a process on a terminal."""
        return cls(clock=SystemClock())


@asynccontextmanager
async def open_session(
    options: Options, environment: Environment
) -> AsyncIterator[Session]:
    """Open a session with the servers of the command line.

    Raises:
        UsageError: No servers are given, or keys are missing or can't be used.
    """
    if not options.servers:
        raise UsageError("--servers is missing", step="open session")
    bus = environment.open_bus(options)
    try:
        channel = Channel(bus)
        for server in options.servers:
            name, _, address = server.partition("=")
            channel.connect(name, f"tcp://{address}")
        yield Session(
            channel=channel,
            clock=environment.clock,
            servers=server_names(options.servers),
            timeout_s=options.timeout_s,
            author=options.author,
        )
    finally:
        await bus.close()
