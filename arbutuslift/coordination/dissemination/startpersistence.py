"""Saves the starts of upstreams to disk, so that flows survive a power failure."""

import asyncio

import structlog

from ...clock import Clock
from ...errors import StorageError
from ...state.startstore import StartStore
from .startregistry import StartRegistry

# An upstream announces itself about once a second. Changes since the last save are lost
# in a power failure and received again with its next announcement.
SAVE_INTERVAL_S = 1.0

_log = structlog.get_logger()


class StartPersistence:
    """Saves the starts of a registry after changes and restores them at start-up.

    Args:
        registry: Starts of upstreams.
        store: Store to which the starts are saved.
        clock: Source of time.
    """

    def __init__(
        self, registry: StartRegistry, store: StartStore, clock: Clock
    ) -> None:
        self._registry = registry
        self._store = store
        self._clock = clock
        self._saved_position = registry.position

    def restore(self) -> None:
        """Add the starts that a previous process saved to the registry."""
        try:
            starts = self._store.load()
        except StorageError as error:
            _log.warning("starts_unreadable", reason=str(error))
            return
        self._registry.add_restored(starts)
        _log.info("starts_remembered", count=len(starts))

    async def run(self) -> None:
        """Save the starts after changes until cancelled."""
        while True:
            await self._clock.sleep(SAVE_INTERVAL_S)
            if self._registry.position != self._saved_position:
                await self._save()

    async def _save(self) -> None:
        position = self._registry.position
        starts = self._registry.starts_to_save()
        try:
            # A stalled disk must not block announcements and the feed.
            await asyncio.to_thread(self._store.save, starts)
        except StorageError as error:
            _log.warning("starts_not_saved", count=len(starts), reason=str(error))
            return
        self._saved_position = position
