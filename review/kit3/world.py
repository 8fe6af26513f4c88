"""A small deployment with its consumers, targets and operator."""

import asyncio
import os
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from .consumers import Consumer, Routers
from .machines import Fleet, Net
from .operators import ROUTE, Operator
from .record import Record
from .targets import Target

ZONES = ("z-a", "z-b", "z-c")
START_S = 20.0
COULD_NOT_RUN = 2


def is_troubled() -> bool:
    """Return whether the disruption is to take place."""
    return os.environ.get("TROUBLE", "1") != "0"


class World:
    """Everything that one case needs."""

    def __init__(
        self, record: Record, controls: list[str], entries: list[str], late: int = 0
    ) -> None:
        self.record = record
        self.net = Net(ZONES)
        self.fleet = Fleet(self.net, controls, entries, late)
        self.routers = Routers(self.net, self.fleet.entries)
        self.operator = Operator(self.fleet.controls, record)
        self.targets: list[Target] = []
        self.consumers: dict[str, Consumer] = {}
        self.tasks: list[asyncio.Task] = []

    async def add_target(self, zone: str, service: str, **changes: object) -> Target:
        """Start a target, which reports to all controls, beginning with any."""
        number = len(self.targets) + 1
        controls = [c.control for c in self.fleet.controls]
        shift = number % len(controls)
        arguments = {"controls": controls[shift:] + controls[:shift], **changes}
        target = Target(
            self.net.ip(3, number),
            self.net.server,
            service,
            zone,
            consumer_port=self.net.packets,
            record=self.record,
            **arguments,
        )
        self.targets.append(target)
        await target.start()
        return target

    async def begin(self, config: dict[str, object]) -> None:
        """Send the first config and wait until consumers of all zones are served."""
        self.spawn(self.routers.run())
        for number, zone in enumerate(ZONES):
            consumer = Consumer(self.net, zone, number + 1, self.routers, self.record)
            await consumer.start()
            self.consumers[zone] = consumer
        await self.operator.order("/Config.Put", config)
        for consumer in self.consumers.values():
            while not await consumer.use_flow(ROUTE):
                await asyncio.sleep(0.2)
        while not self.routers.is_ready():
            await asyncio.sleep(0.2)
        self.record.write("the deployment serves all zones")

    def spawn(self, work) -> asyncio.Task:
        """Run a task until the end of the case."""
        task = asyncio.create_task(work)
        self.tasks.append(task)
        return task

    async def end(self) -> None:
        """End all tasks and targets."""
        for task in self.tasks:
            task.cancel()
        for target in self.targets:
            if target.is_up:
                target.crash()


def busiest_second(times_s: list[float]) -> int:
    """Return the highest number of events in any second."""
    most = first = 0
    for last, time_s in enumerate(times_s):
        while times_s[first] <= time_s - 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


def run(
    play: Callable[[World], Awaitable[None]],
    controls: list[str],
    entries: list[str],
    late: int = 0,
) -> None:
    """Play a case and exit: 0 if the rule held, 1 if not, 2 if it couldn't run."""
    folder = Path(sys.argv[1])
    record = Record(folder / "record.txt")

    async def main() -> int:
        world = World(record, controls, entries, late)
        async with world.fleet:
            try:
                async with asyncio.timeout(110):
                    await play(world)
            finally:
                await world.end()
        return 0

    try:
        asyncio.run(main())
    except (OSError, TimeoutError, RuntimeError) as error:
        record.write(f"could not run: {error!r}")
        record.close()
        sys.exit(COULD_NOT_RUN)
    sys.exit(record.close())
