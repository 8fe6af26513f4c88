"""Guards against flows that are lost because all control instances lost power."""

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
from .test_startregistry import listed

INTERVAL_S = 1.0


class CountedStore(MemoryStartStore):
    """Counts writes; refuses them while ``is_full``."""

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
    """A registry with its keeper, as after the start of a process."""

    def __init__(self, store):
        self.clock = ManualClock()
        self.store = store
        self.registry = StartRegistry(self.clock, INTERVAL_S, lambda: None)
        self.keeper = StartPersistence(self.registry, store, self.clock)
        self.keeper.restore()
        self.task = asyncio.ensure_future(self.keeper.run())

    async def tick(self):
        """Let one interval pass, and the thread that writes."""
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


async def test_starts_are_remembered_by_the_next_process():
    store = CountedStore()
    first = Control(store)
    first.registry.announce(start(1))
    first.registry.announce(start(2))
    await first.tick()
    await first.stop()
    second = Control(store)
    assert second.registry.remembered() == (start(1), start(2))
    assert listed(second.registry) == ()
    await second.stop()


async def test_only_changes_are_written():
    """Guards against a write to the disk for each announcement."""
    control = Control(CountedStore())
    control.registry.announce(start(1))
    await control.tick()
    control.registry.announce(start(1, sequence=2))
    await control.tick()
    assert control.store.saves == 1
    await control.stop()


async def test_a_second_loss_of_power_soon_after_the_first_loses_nothing():
    """Guards against a list that shrinks to what was announced so far."""
    store = CountedStore()
    store.save((start(1), start(2)))
    control = Control(store)
    control.registry.announce(start(2, sequence=2))
    await control.tick()
    await control.stop()
    assert {known.key for known in store.load()} == {start(1).key, start(2).key}


async def test_what_was_not_heard_in_time_is_forgotten():
    store = CountedStore()
    store.save((start(1),))
    control = Control(store)
    control.clock.jump(7 * INTERVAL_S)
    assert control.registry.remembered() == ()
    await control.stop()


async def test_a_full_disk_is_tried_again():
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


async def test_a_store_that_can_not_be_read_counts_as_empty():
    class Unreadable(CountedStore):
        def load(self):
            raise StorageError("I/O error", step="read starts")

    control = Control(Unreadable())
    assert control.registry.remembered() == ()
    await control.stop()
