"""Keeps the known starts on disk, for the flows that outlive a loss of power."""

import asyncio

import structlog

from ...clock import Clock
from ...errors import StorageError
from ...state.startstore import StartStore
from .startregistry import StartRegistry

# An upstream announces itself about once a second; what changed in between is lost
# with the power, and learned again from its next announcement.
SAVE_INTERVAL_S = 1.0

_log = structlog.get_logger()


class StartPersistence:
    """Saves the starts of a registry when they change, and remembers them at the start.

    Args:
        registry: Starts of upstreams.
        store: Where they are kept.
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
        """Tell the registry what was known before this process started."""
        try:
            starts = self._store.load()
        except StorageError as error:
            _log.warning("starts_unreadable", reason=str(error))
            return
        self._registry.add_remembered(starts)
        _log.info("starts_remembered", count=len(starts))

    async def run(self) -> None:
        """Save after changes until cancelled."""
        while True:
            await self._clock.sleep(SAVE_INTERVAL_S)
            if self._registry.position != self._saved_position:
                await self._save()

    async def _save(self) -> None:
        position = self._registry.position
        starts = self._registry.starts_to_save()
        try:
            # A disk that stalls must not hold up announcements and the feed.
            await asyncio.to_thread(self._store.save, starts)
        except StorageError as error:
            _log.warning("starts_not_saved", count=len(starts), reason=str(error))
            return
        self._saved_position = position
