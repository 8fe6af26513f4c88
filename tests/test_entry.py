"""Guards against an entry instance that stays ready too long after a stop signal."""

import asyncio
import subprocess
import sys
from contextlib import AsyncExitStack

from adapter.packets import PlatformCodec

from arbutuslift.clock import ManualClock
from arbutuslift.entry import EntryInstance
from arbutuslift.transport.packetsocket import open_packet_socket

from .builders import entry_settings, routing_table

# Routers may regard an instance as ready for 4 s after the signal. They need two
# checks, half a second apart, to detect the change, and timers may fire late.
MAX_READY_S = 2.5


class FeedWithoutStopPermit:
    """A feed client that never receives a stop permit."""

    def __init__(self, clock):
        self.clock = clock

    async def wait_for_stop_permit(self, limit_s):
        await self.clock.sleep(limit_s)
        return False

    def set_stopping(self):
        """Do nothing."""


async def test_readiness_ends_in_time_without_a_stop_permit():
    clock = ManualClock()
    async with AsyncExitStack() as stack:
        packets = open_packet_socket("127.0.0.1", 0)
        stack.callback(packets.close)
        instance = EntryInstance(
            entry_settings(), packets, PlatformCodec(), clock, stack, lambda: None
        )
        instance._feed = FeedWithoutStopPermit(clock)
        instance._router.apply(routing_table())
        instance._has_upstreams = True
        assert instance.is_ready
        stopping = asyncio.ensure_future(instance.stop())
        await clock.advance(MAX_READY_S)
        assert not instance.is_ready
        await clock.advance(3.0)
        assert stopping.done()


def test_modules_can_be_hidden_while_others_are_loaded():
    """Guards against an entry process that imports TLS, which it doesn't use."""
    code = (
        "import sys\n"
        "from arbutuslift.lightimports import hidden\n"
        "with hidden('ssl'):\n"
        "    import asyncio\n"
        "assert 'ssl' not in sys.modules\n"
        "import ssl\n"
        "with hidden('ssl', 'json'):\n"
        "    import ssl as again\n"
        "assert again is ssl\n"
        "import json\n"
        "asyncio.run(asyncio.sleep(0))\n"
    )
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0
