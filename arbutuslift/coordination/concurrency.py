"""Notification of changes on an injected clock, and sets of tasks."""

import asyncio
from collections.abc import Callable, Coroutine

import structlog

from ..clock import Clock

# Delay before a loop that failed runs again, so that a fault that stays doesn't take
# the whole processor.
RESTART_DELAY_S = 0.2

_log = structlog.get_logger()


Run = Callable[[], Coroutine[object, object, None]]


async def keep_running(
    run: Run, clock: Clock, on_error: Callable[[Exception], None]
) -> None:
    """Run a coroutine function, and again after each failure, until it returns.

    Args:
        run: The coroutine function.
        clock: Measures the delay between two runs.
        on_error: Called with the error of each failure.
    """
    while True:
        try:
            return await run()
        except Exception as error:
            log_contained(error)
            on_error(error)
        await clock.sleep(RESTART_DELAY_S)


def log_contained(error: BaseException) -> None:
    """Log the error of a task that costs neither the process nor what follows."""
    _log.error("task_contained", reason=repr(error), exc_info=error)


class ChangeNotifier:
    """Wakes the tasks that wait for a change of shared state.

    Args:
        clock: Measures timeouts.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waiters: list[asyncio.Future[None]] = []

    def notify(self) -> None:
        """Wake all waiting tasks."""
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait_for(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Wait until ``condition`` holds and return whether it does."""
        if condition():
            return True
        if timeout_s <= 0:
            return False
        timer = asyncio.ensure_future(self._clock.sleep(timeout_s))
        try:
            while not condition() and not timer.done():
                await self._wait_once(timer)
        finally:
            timer.cancel()
        return condition()

    async def _wait_once(self, timer: asyncio.Future[None]) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            await asyncio.wait((waiter, timer), return_when=asyncio.FIRST_COMPLETED)
        finally:
            waiter.cancel()


class TaskSet:
    """Tasks that are cancelled together.

    What processes messages or records of others is run contained: an error that one of
    them causes costs that message, and neither the process nor what follows.

    Args:
        on_failure: Called with the error of a task that failed and isn't contained.

    Attributes:
        contained_failures: Number of errors of contained tasks.
    """

    def __init__(self, on_failure: Callable[[Exception], None]) -> None:
        self.contained_failures = 0
        self._on_failure = on_failure
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[object, object, None]) -> None:
        """Run a coroutine until it ends or the set is closed."""
        self._add(coroutine, self._on_task_done)

    def spawn_contained(self, coroutine: Coroutine[object, object, None]) -> None:
        """Run a coroutine whose failure costs only what it does."""
        self._add(coroutine, self._on_contained_done)

    def spawn_loop(self, run: Run, clock: Clock) -> None:
        """Run a coroutine function, and again after each failure."""
        self.spawn(keep_running(run, clock, self._count_contained))

    def _count_contained(self, error: BaseException) -> None:
        del error
        self.contained_failures += 1

    def _add(
        self,
        coroutine: Coroutine[object, object, None],
        on_done: Callable[[asyncio.Task[None]], None],
    ) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(on_done)

    def _on_contained_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_contained(task.exception())
            self._count_contained(task.exception())

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in list(self._tasks):
            task.cancel()

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        self.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._on_failure(task.exception())
