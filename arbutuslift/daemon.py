"""The daemon ``arbutusliftd``."""

import asyncio
import signal
import sys
from contextlib import AsyncExitStack

from absl import app

from . import logs
from .clock import SystemClock
from .errors import ArbutusliftError
from .instance import Instance
from .settings import Settings, read_settings

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def serve(settings: Settings) -> None:
    """Run an instance until a signal or a newer process with its name stops it.

    Args:
        settings: Checked settings.

    Raises:
        ArbutusliftError: A port or file is unusable, or a task failed.
    """
    clock = SystemClock()
    limiter = logs.configure(
        instance=settings.name, level=settings.log_level, clock=clock
    )
    stopped = asyncio.Event()
    async with AsyncExitStack() as stack:
        report_task = asyncio.create_task(logs.report_suppressed_events(limiter, clock))
        stack.callback(report_task.cancel)
        instance = Instance(settings, clock, stack, on_stop=stopped.set)
        await instance.open()
        _stop_on_signal(stopped)
        await stopped.wait()
        await instance.stop()
        if instance.failure is not None:
            raise instance.failure


def _stop_on_signal(stopped: asyncio.Event) -> None:
    """Set the event on the first signal; a second one ends the process at once."""
    loop = asyncio.get_running_loop()

    def stop() -> None:
        stopped.set()
        for number in STOP_SIGNALS:
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_DFL)

    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stop)


def main(argv: list[str]) -> int:
    """Run the daemon and return its exit code."""
    del argv
    try:
        asyncio.run(serve(read_settings()))
    except ArbutusliftError as error:
        print(f"arbutusliftd: {error}", file=sys.stderr)
        return 1
    return 0


def run() -> None:
    """Parse flags and run :func:`main`."""
    app.run(main)


if __name__ == "__main__":
    run()
