"""Changed records that wait to be sent, most urgent first."""

import asyncio

from attrs import frozen

from ...state.registers import SendPriority


@frozen
class ChangedRecord:
    """A record that has to be sent in its newest form.

    Attributes:
        kind: Kind of the record.
        key: Its key.
    """

    kind: str
    key: str


class ChangeQueue:
    """Queue by priority; a record that waits already isn't added twice."""

    def __init__(self) -> None:
        self._waiting: dict[SendPriority, dict[ChangedRecord, None]] = {
            priority: {} for priority in SendPriority
        }
        self._filled = asyncio.Event()

    def __len__(self) -> int:
        return sum(map(len, self._waiting.values()))

    @property
    def has_withdrawal(self) -> bool:
        """Return whether a change waits after which an upstream gets no new flows."""
        return bool(self._waiting[SendPriority.WITHDRAWAL])

    def put(self, change: ChangedRecord, priority: SendPriority) -> None:
        """Add a change."""
        self._waiting[priority].setdefault(change)
        self._filled.set()

    def pop(self) -> ChangedRecord | None:
        """Take the most urgent change, the oldest of its priority."""
        for waiting in self._waiting.values():
            if waiting:
                change = next(iter(waiting))
                del waiting[change]
                return change
        self._filled.clear()
        return None

    async def wait(self) -> None:
        """Wait until there is a change."""
        while not len(self):
            self._filled.clear()
            await self._filled.wait()
