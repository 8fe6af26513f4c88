"""Guards against programs that end or stop following by input of another writer."""

import asyncio
import random
from contextlib import AsyncExitStack

from standins.soak.ledger import Ledger
from standins.soak.operators import Operator
from standins.soak.otherwriter import OtherWriter
from standins.soak.programs import CONTROL_PORT, DATA_CENTRES, Program
from standins.soak.targets import Target

CONTROL_IPS = ("127.93.2.1", "127.93.2.2", "127.93.2.3")
ENTRY_IPS = ("127.93.2.4", "127.93.2.5")
TARGET_IP = "127.93.2.6"
CALLS = 200
FOLLOWING_LIMIT_S = 5.0


def program(role, number, ip, folder):
    return Program(
        role,
        ip,
        ip,
        DATA_CENTRES[number % len(DATA_CENTRES)],
        folder / ip,
        CONTROL_IPS,
        has_faults=False,
    )


def knows(entry, identity):
    return f"upstream={identity}" in (entry.folder / "output").read_text()


async def test_the_programs_go_on_beside_another_writer(tmp_path):
    roles = [("control", ip) for ip in CONTROL_IPS] + [
        ("entry", ip) for ip in ENTRY_IPS
    ]
    programs = [program(r, n, ip, tmp_path) for n, (r, ip) in enumerate(roles)]
    controls = [f"{ip}:{CONTROL_PORT}" for ip in CONTROL_IPS]
    ledger = Ledger()
    operator = Operator(controls, ("alerts",), "198.18.0.1", ledger, random.Random(1))
    writer = OtherWriter(controls, list(ENTRY_IPS), ledger, random.Random(1))
    async with AsyncExitStack() as stack:
        for each in programs:
            stack.push_async_callback(each.close)
            await each.open()
        async with asyncio.timeout(30):
            await operator.put()
        for _ in range(CALLS):
            await writer.write()
        assert ledger.breaches == []
        assert writer.answers[0] == 0
        assert [each.process.poll() for each in programs] == [None] * len(programs)

        target = Target(
            TARGET_IP, "alerts", "dc-a", controls, 1, ledger, random.Random(2)
        )
        await target.open()
        stack.callback(target.crash)
        async with asyncio.timeout(FOLLOWING_LIMIT_S):
            await operator.put()
            entries = [each for each in programs if each.role == "entry"]
            while not all(knows(entry, target.identity) for entry in entries):
                await asyncio.sleep(0.1)
