"""Priority queue of changed records that are to be sent."""

import asyncio

from attrs import frozen

from ...state.registers import SendPriority


@frozen
class ChangedRecord:
    """Identifies a changed record; its newest version is sent.

    Attributes:
        kind: Kind of the record.
        key: Its key.
    """

    kind: str
    key: str


class ChangeQueue:
    """Priority queue in which each record is present at most once."""

    def __init__(self) -> None:
        self._pending: dict[SendPriority, dict[ChangedRecord, None]] = {
            priority: {} for priority in SendPriority
        }
        self._not_empty = asyncio.Event()

    def __len__(self) -> int:
        return sum(map(len, self._pending.values()))

    @property
    def has_withdrawal(self) -> bool:
        """Return whether a change that ends new flows to an upstream is pending."""
        return bool(self._pending[SendPriority.WITHDRAWAL])

    def put(self, change: ChangedRecord, priority: SendPriority) -> None:
        """Add a change unless it is already pending."""
        self._pending[priority].setdefault(change)
        self._not_empty.set()

    def pop(self) -> ChangedRecord | None:
        """Remove and return the oldest change of the highest priority, if any."""
        for pending in self._pending.values():
            if pending:
                change = next(iter(pending))
                del pending[change]
                return change
        self._not_empty.clear()
        return None

    async def wait(self) -> None:
        """Wait until a change is pending."""
        while not len(self):
            self._not_empty.clear()
            await self._not_empty.wait()
