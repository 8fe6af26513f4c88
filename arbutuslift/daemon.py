"""The daemon ``arbutusliftd``."""

import asyncio
import signal
import sys
from contextlib import AsyncExitStack

from absl import app

from .clock import SystemClock
from .coordination.forwarding import Forwarder
from .coordination.registrar import Registrar
from .coordination.router import Router
from .coordination.services import ServiceTable
from .errors import ArbutusliftError
from .protocol.document import Configuration, load_document
from .settings import Settings, read_settings
from .state.flows import FlowCache
from .state.upstreams import UpstreamView
from .transport.announcements import AnnouncementEndpoint
from .transport.fabric import UdpFabric

DRAIN_S = 1.0


async def serve(settings: Settings) -> None:
    """Run an instance until SIGTERM or SIGINT.

    Args:
        settings: Checked settings.

    Raises:
        ArbutusliftError: A port or file can't be used.
    """
    clock = SystemClock()
    services = ServiceTable(clock, UpstreamView())
    services.apply(Configuration(revision=1, document=load_document(settings.document)))
    async with AsyncExitStack() as stack:
        fabric = await UdpFabric.open(settings.listen)
        stack.callback(fabric.close)
        endpoint = AnnouncementEndpoint(Registrar(services).accept)
        stack.push_async_callback(endpoint.close)
        await endpoint.open(settings.announcements)
        forwarder = Forwarder(fabric, Router(services, FlowCache()), settings.fabric)
        task = asyncio.create_task(forwarder.run())
        stack.callback(task.cancel)
        await _stop_signal()
        await clock.sleep(DRAIN_S)


async def _stop_signal() -> None:
    """Wait for the first signal; a second one ends the process at once."""
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    numbers = (signal.SIGTERM, signal.SIGINT)
    for number in numbers:
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
    for number in numbers:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_DFL)


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
