"""Guards against the loss of flows after a power failure of all control instances."""

import asyncio

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.dissemination.startpersistence import (
    SAVE_INTERVAL_S,
    StartPersistence,
)
from arbutuslift.coordination.dissemination.startregistry import StartRegistry
from arbutuslift.errors import StorageError
from arbutuslift.state.startstore import MemoryStartStore

from ...builders import start
from .test_startregistry import announced_starts

INTERVAL_S = 1.0


class CountedStore(MemoryStartStore):
    """Counts writes and fails them while ``is_full``."""

    def __init__(self):
        super().__init__()
        self.saves = 0
        self.is_full = False

    def save(self, starts):
        self.saves += 1
        if self.is_full:
            raise StorageError("no space left", step="save starts")
        super().save(starts)


class Control:
    """A registry with its persistence, as at the start of a process."""

    def __init__(self, store):
        self.clock = ManualClock()
        self.store = store
        self.registry = StartRegistry(self.clock, INTERVAL_S, lambda: None)
        self.persistence = StartPersistence(self.registry, store, self.clock)
        self.persistence.restore()
        self.task = asyncio.ensure_future(self.persistence.run())

    async def tick(self):
        """Advance by one save interval and wait for the thread that saves."""
        before = self.store.saves
        await self.clock.advance(SAVE_INTERVAL_S + 0.1)
        for _ in range(100):
            await asyncio.sleep(0.002)
            if self.store.saves != before:
                break
        await asyncio.sleep(0.01)

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


async def test_starts_are_restored_by_the_next_process():
    store = CountedStore()
    first = Control(store)
    first.registry.announce(start(1))
    first.registry.announce(start(2))
    await first.tick()
    await first.stop()
    second = Control(store)
    assert second.registry.restored() == (start(1), start(2))
    assert announced_starts(second.registry) == ()
    await second.stop()


async def test_only_changes_are_written():
    """Guards against a disk write for each announcement."""
    control = Control(CountedStore())
    control.registry.announce(start(1))
    await control.tick()
    control.registry.announce(start(1, sequence=2))
    await control.tick()
    assert control.store.saves == 1
    await control.stop()


async def test_a_second_power_failure_soon_after_the_first_loses_no_starts():
    """Guards against saving only the starts that were announced since the restart."""
    store = CountedStore()
    store.save((start(1), start(2)))
    control = Control(store)
    control.registry.announce(start(2, sequence=2))
    await control.tick()
    await control.stop()
    assert {known.key for known in store.load()} == {start(1).key, start(2).key}


async def test_starts_not_announced_in_time_are_removed():
    store = CountedStore()
    store.save((start(1),))
    control = Control(store)
    control.clock.jump(7 * INTERVAL_S)
    assert control.registry.restored() == ()
    await control.stop()


async def test_saving_is_retried_after_a_full_disk():
    """Guards against a task that ends the process because a disk is full."""
    control = Control(CountedStore())
    control.store.is_full = True
    control.registry.announce(start(1))
    await control.tick()
    assert control.store.load() == ()
    control.store.is_full = False
    await control.tick()
    assert control.store.load() == (start(1),)
    assert not control.task.done()
    await control.stop()


async def test_an_unreadable_store_counts_as_empty():
    class Unreadable(CountedStore):
        def load(self):
            raise StorageError("I/O error", step="read starts")

    control = Control(Unreadable())
    assert control.registry.restored() == ()
    await control.stop()
