"""Guards against control processes that end, or stay out, once their disk was full."""

import asyncio
import random
import resource
from contextlib import AsyncExitStack

from standins.soak.ledger import Ledger
from standins.soak.operators import Operator
from standins.soak.programs import CONTROL_PORT, DATA_CENTRES, Program

IPS = ("127.94.0.1", "127.94.0.2", "127.94.0.3")
FULL_S = 1.0
# The operators' bound for the acknowledgement of an order.
ACK_LIMIT_S = 5.0


def set_full(program, is_full):
    """Let a process write no more bytes to files, as on a full disk."""
    limits = resource.prlimit(program.process.pid, resource.RLIMIT_FSIZE)
    soft = 0 if is_full else limits[1]
    resource.prlimit(program.process.pid, resource.RLIMIT_FSIZE, (soft, limits[1]))


async def test_orders_go_on_while_and_after_each_disk_is_full(tmp_path):
    async with AsyncExitStack() as stack:
        programs = [
            Program(
                "control",
                ip,
                ip,
                DATA_CENTRES[number],
                tmp_path / ip,
                IPS,
                has_faults=False,
            )
            for number, ip in enumerate(IPS)
        ]
        for program in programs:
            stack.push_async_callback(program.close)
            await program.open()
        controls = [f"{ip}:{CONTROL_PORT}" for ip in IPS]
        ledger = Ledger()
        operator = Operator(
            controls, ("alerts",), "198.18.0.1", ledger, random.Random(1)
        )
        async with asyncio.timeout(30):
            await operator.put()
        for program in (*programs, *programs):
            set_full(program, True)
            async with asyncio.timeout(FULL_S + ACK_LIMIT_S):
                await asyncio.gather(operator.put(), asyncio.sleep(FULL_S))
            set_full(program, False)
            async with asyncio.timeout(ACK_LIMIT_S):
                await operator.put()
        assert [program.process.poll() for program in programs] == [None] * 3
        assert await operator.read_until_answered() == operator.version
        assert ledger.breaches == []
