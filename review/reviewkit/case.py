"""Frame of a case: sets up the system, runs the steps, ends everything."""

import asyncio
import os
import shutil
import sys
import tempfile
from abc import ABC, abstractmethod
from contextlib import AsyncExitStack
from pathlib import Path

from .caller import Caller, Routers
from .deployment import ZONES, CaseError, Deployment
from .operator import Operator
from .record import Record
from .target import Target

MAX_DURATION_S = 110.0
COULD_NOT_RUN = 2


class Case(ABC):
    """One case.

    Args:
        folder: Folder of the case, for ``record.txt``.

    Attributes:
        entry_count: Number of entry programs.
        contracts: Contracts in force beside those of all installations.
    """

    entry_count = 6
    contracts: tuple[str, ...] = ()

    def __init__(self, folder: Path) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder / "record.txt")
        self.record.write("case", folder=folder.name, trouble=int(self.has_trouble))
        self._temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.stack = AsyncExitStack()

    @abstractmethod
    async def steps(self) -> None:
        """Set up the system, disturb it and judge what callers and targets see."""

    async def run(self) -> int:
        """Run the steps within the time and return the exit code."""
        try:
            async with self.stack, asyncio.timeout(MAX_DURATION_S):
                self.deployment = Deployment(
                    self._temporary, self.record, self.entry_count, self.contracts
                )
                self.stack.callback(self.deployment.close)
                self.operator = Operator(self.deployment)
                self.routers = Routers(self.deployment)
                self.deployment.start()
                await self.steps()
                self.deployment.check_running()
        except (CaseError, OSError, TimeoutError) as error:
            self.record.write("could_not_run", reason=repr(error))
            print(f"could not run: {error!r}", file=sys.stderr)
            return COULD_NOT_RUN
        finally:
            if os.environ.get("KEEP_OUTPUT"):
                print(f"output in {self._temporary}", file=sys.stderr)
            else:
                shutil.rmtree(self._temporary, ignore_errors=True)
        return self.record.finish()

    async def open_target(
        self, number: int, zone: str, service: str, **options: object
    ) -> Target:
        """Start a target."""
        ip = self.deployment.ip(2, number)
        target = Target(self.deployment, ip, zone, service, **options)
        await target.open()
        self.stack.callback(target.end)
        return target

    async def open_caller(self, number: int, zone: str) -> Caller:
        """Start a caller."""
        ip = self.deployment.ip(3, number)
        caller = Caller(self.deployment, self.routers, ip, zone)
        await caller.open()
        self.stack.callback(caller.close)
        return caller

    async def start_serving(self) -> None:
        """Wait until the entry programs are ready, and start the routers."""
        await self.deployment.wait_until_ready()
        task = asyncio.create_task(self.routers.run())
        self.stack.callback(task.cancel)


def zone_of(number: int) -> str:
    """Return a zone by its number."""
    return ZONES[number % len(ZONES)]


def main(case_class: type[Case], file: str) -> None:
    """Run a case and exit with its code."""
    case = case_class(Path(file).resolve().parent)
    sys.exit(asyncio.run(case.run()))
