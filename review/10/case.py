"""A config is sent in which one route names a service that isn't there."""

import asyncio
import json
import os
import sys
from contextlib import AsyncExitStack
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.kit2.http import call  # noqa: E402
from review.kit2.operator import Operator, configuration  # noqa: E402
from review.kit2.programs import CONTROL_PORT, Fleet  # noqa: E402
from review.kit2.record import Record  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# A loopback address, to which nothing is sent: it stands in packets only.
HOST = "127.30.0.1"
ROUTES = {443: "pagos", 444: "archivo"}
SERVICES = ("pagos", "archivo")


def invalid(version: int) -> dict[str, object]:
    """Return a config whose first route names an unknown service."""
    config = configuration(version, HOST, ROUTES, SERVICES)
    config["routes"][0]["service"] = "nadie"
    config["routes"][0]["traffic_split"] = [{"service": "pagos", "weight": 1}]
    return config


async def play(record: Record, fleet: Fleet, stack: AsyncExitStack) -> int:
    """Play the case; return the exit code."""
    stack.callback(fleet.close)
    fleet.start()
    controls = [c.ip for c in fleet.controls]
    operator = Operator(lambda: controls, record)
    config = configuration(3, HOST, ROUTES, SERVICES)
    if await operator.order("/Config.Put", config) is None:
        return 2
    is_broken = False
    if TROUBLE:
        body = json.dumps(invalid(5)).encode()
        for ip in controls:
            answer = await call((ip, CONTROL_PORT), "POST", "/Config.Put", body)
            status = answer[0] if answer else "no answer"
            record.say(f"version 5, invalid, sent to {ip}: {status}")
            is_broken = is_broken or (answer is not None and answer[0] == 200)
    await asyncio.sleep(3.0)
    for ip in controls:
        version = await operator.read(ip)
        record.say(f"version read at {ip}: {version}")
        is_broken = is_broken or version == 5
    config = configuration(7, HOST, ROUTES, SERVICES)
    if await operator.order("/Config.Put", config) is None:
        return 2
    record.say("CONFIG broken" if is_broken else "CONFIG held")
    return 1 if is_broken else 0


async def main() -> int:
    """Run the case."""
    record = Record(Path(__file__).with_name("record.txt"))
    try:
        async with AsyncExitStack() as stack:
            async with asyncio.timeout(60):
                return await play(record, Fleet(), stack)
    except (OSError, TimeoutError) as error:
        record.say(f"couldn't run: {error!r}")
        return 2
    finally:
        record.write()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
