"""Base of entry and control instances: task supervision and access to the bus."""

from collections.abc import Callable
from contextlib import AsyncExitStack

import structlog

from .clock import Clock
from .coordination.concurrency import TaskSet
from .errors import TaskFailed
from .protocol.channel import Channel
from .transport.zmqbus import ZmqBus, endpoint_of_address

# Frequent attempts are affordable, since each process has few peers. After a power
# failure an entry instance connects before the control instances listen; with longer
# intervals it was up to 0.45 s late.
RECONNECT_MS = 20
RECONNECT_MAX_MS = 80
# Longer than a round trip between distant regions. A machine without power doesn't
# answer, and an attempt that began before its restart would hang for a second.
CONNECT_TIMEOUT_MS = 300

_log = structlog.get_logger()


class RoleInstance:
    """Base of entry and control instances.

    Args:
        step: Operation that the error of a failed task names.
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
        """Return a bus whose peer names are their addresses; the stack closes it.

        Args:
            name: Name of this process on the bus.
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

    def _refusals(self, channel: Channel) -> dict[str, int]:
        """Return how many messages, records and tasks failed, by kind."""
        return {**channel.refusals, "task": self._tasks.contained_failures}

    def _fail(self, error: Exception) -> None:
        """End the process after a failed task, since nothing else would report it."""
        self.failure = TaskFailed(repr(error), step=self._step)
        _log.error("task_failed", reason=str(self.failure), exc_info=error)
        self._on_failure()
