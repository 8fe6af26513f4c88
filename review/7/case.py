"""Two control machines are replaced one after the other, each successor long ready."""

import asyncio
import os
import sys
from contextlib import AsyncExitStack
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.kit2.consumer import Consumer, Routers  # noqa: E402
from review.kit2.operator import Operator, configuration  # noqa: E402
from review.kit2.programs import ZONES, Fleet, Program  # noqa: E402
from review.kit2.record import Record  # noqa: E402
from review.kit2.target import Target  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# A loopback address, to which nothing is sent: it stands in packets only.
HOST = "127.30.0.1"
PORT = 443
SERVICE = "pagos"
# More than catch_up_s (4) after the successors have started.
CAUGHT_UP_S = 8.0
GAP_S = float(os.environ.get("GAP_S", "2"))
# More than recovery_s (12).
CALM_S = 15.0
ORDER_LIMIT_S = 15.0
READ_S = 6.0


class Listed:
    """The operator's list, which lags by ``seed_lag_s``."""

    def __init__(self, record: Record, programs: list[Program]) -> None:
        self._record = record
        self._until_s: dict[str, float] = {p.ip: float("inf") for p in programs}

    def add(self, program: Program) -> None:
        """Add a machine."""
        self._until_s[program.ip] = float("inf")

    def remove(self, program: Program) -> None:
        """Remove a machine, which stays listed for the lag."""
        self._until_s[program.ip] = self._record.now_s() + 3.0

    def __call__(self) -> list[str]:
        """Return the addresses of the list."""
        now_s = self._record.now_s()
        return [ip for ip, until_s in self._until_s.items() if now_s < until_s]


async def play(record: Record, fleet: Fleet, stack: AsyncExitStack) -> int:
    """Play the case; return the exit code."""
    stack.callback(fleet.close)
    fleet.start()
    listed = Listed(record, fleet.controls)
    operator = Operator(listed, record)
    config = configuration(3, HOST, {PORT: SERVICE}, (SERVICE,))
    if await operator.order("/Config.Put", config) is None:
        return 2
    for number in range(6):
        ip, zone = fleet.address(2, number), ZONES[number % len(ZONES)]
        target = Target(ip, zone, SERVICE, listed, record)
        await target.open()
        stack.callback(target.crash)
    routers = Routers(fleet.entries)
    checks = asyncio.create_task(routers.run())
    stack.callback(checks.cancel)
    await asyncio.sleep(6.0)
    for number, zone in enumerate(ZONES):
        consumer = Consumer(fleet.address(3, number), zone, routers, HOST, record)
        await consumer.open()
        stack.callback(consumer.close)
        press = asyncio.create_task(consumer.press(PORT, 10.0))
        stack.callback(press.cancel)
    old = fleet.controls[:2]
    new = [fleet.add_control(program.zone) for program in old]
    for program in new:
        program.start()
        listed.add(program)
        record.say(f"{program.name} is added, with an empty disk")
    await asyncio.sleep(CAUGHT_UP_S)
    config = configuration(7, HOST, {PORT: SERVICE, 444: SERVICE}, (SERVICE,))
    if await operator.order("/Config.Put", config) is None:
        return 2
    record.say("version 7 is acknowledged")
    for program in old:
        if TROUBLE:
            record.say(f"{program.name} gets SIGTERM and is removed for good")
            listed.remove(program)
            stopped = asyncio.create_task(program.terminate())
            await asyncio.sleep(GAP_S)
            await stopped
        else:
            await asyncio.sleep(GAP_S)
    return await judge(record, fleet, operator)


async def judge(record: Record, fleet: Fleet, operator: Operator) -> int:
    """Read back and change the config after a calm time; return the exit code."""
    await asyncio.sleep(CALM_S)
    running = [program for program in fleet.controls if program.is_running]
    record.say("running: " + ", ".join(program.name for program in running))
    version, end_s = None, record.now_s() + READ_S
    while record.now_s() < end_s and version is None:
        for program in running:
            version = version or await operator.read(program.ip)
        await asyncio.sleep(0.2)
    record.say(f"read back: version {version}; acknowledged: 7")
    config = configuration(9, HOST, {PORT: SERVICE}, (SERVICE,))
    acked_s = await operator.order("/Config.Put", config, ORDER_LIMIT_S)
    record.say(f"version 9 was acknowledged at {acked_s}")
    is_broken = version != 7
    record.say("CONFIG broken" if is_broken else "CONFIG held")
    return 1 if is_broken else 0


async def main() -> int:
    """Run the case."""
    record = Record(Path(__file__).with_name("record.txt"))
    try:
        async with AsyncExitStack() as stack:
            async with asyncio.timeout(110):
                return await play(record, Fleet(), stack)
    except (OSError, TimeoutError) as error:
        record.say(f"couldn't run: {error!r}")
        return 2
    finally:
        record.write()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
