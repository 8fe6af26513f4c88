"""What instances of both roles share: tasks that must not fail, and a bus."""

from collections.abc import Callable
from contextlib import AsyncExitStack

import structlog

from .clock import Clock
from .coordination.concurrency import TaskSet
from .errors import TaskFailed
from .transport.zmqbus import ZmqBus, endpoint_of_address

# Each process has a few peers only. After a loss of power an entry instance asks before
# control listens; with longer times between its tries it came up to 0.45 s late.
RECONNECT_MS = 20
RECONNECT_MAX_MS = 80
# Longer than a round trip between far regions. A machine without power answers nothing,
# and a try that began before it was back would hang for a second.
CONNECT_TIMEOUT_MS = 300

_log = structlog.get_logger()


class RoleInstance:
    """Base of instances that a process runs for one role.

    Args:
        step: What it is doing, for the error of a failed task.
        clock: Source of time.
        stack: Owns everything that has to be closed.
        on_failure: Called when a task failed and the process has to end.

    Attributes:
        failure: Why a task failed, if one did.
    """

    def __init__(
        self,
        step: str,
        clock: Clock,
        stack: AsyncExitStack,
        on_failure: Callable[[], None],
    ) -> None:
        self.failure: TaskFailed | None = None
        self._step = step
        self._clock = clock
        self._stack = stack
        self._on_failure = on_failure
        self._tasks = TaskSet(self._fail)

    def _make_bus(self, name: str) -> ZmqBus:
        """Return a bus that reaches peers by their addresses; closed with the stack.

        Args:
            name: Name of this process on it.
        """
        bus = ZmqBus(
            name,
            allow_plain=True,
            endpoint_of=endpoint_of_address,
            reconnect_ms=RECONNECT_MS,
            reconnect_max_ms=RECONNECT_MAX_MS,
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
        )
        self._stack.push_async_callback(bus.close)
        return bus

    def _fail(self, error: Exception) -> None:
        """End the process if a task failed: a stopped part would go unnoticed."""
        self.failure = TaskFailed(repr(error), step=self._step)
        _log.error("task_failed", reason=str(self.failure), exc_info=error)
        self._on_failure()
