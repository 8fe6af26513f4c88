"""The configuration in effect on this instance."""

from collections.abc import Callable

import structlog

from ...errors import ArbutusliftError, DocumentError, StorageError
from ...protocol.delta import compute_delta
from ...protocol.document import (
    Configuration,
    from_canonical_json,
    to_canonical_json,
)
from ...protocol.gossip import RevisionDelta
from ...state.revisionstore import MemoryRevisionStore, RevisionStore, SavedRevision

# A peer that is further behind is sent the whole document instead of a delta.
HISTORY_REVISIONS = 32

Listener = Callable[[Configuration], None]

_log = structlog.get_logger()


class ActiveConfiguration:
    """Holds the configuration in effect, whose revision never decreases.

    Attributes:
        configuration: Configuration in effect; revision 0 stands for none.
        last_error: Last error on loading or saving a revision, if any.

    Args:
        store: Saves the revision across restarts; without a data folder the revision
            is held in memory only.
    """

    def __init__(self, store: RevisionStore | None = None) -> None:
        self.configuration = Configuration()
        self.last_error: ArbutusliftError | None = None
        self._store = store or MemoryRevisionStore()
        self._listeners: list[Listener] = []
        self._history: dict[int, Configuration] = {}
        self._deltas: dict[int, RevisionDelta | None] = {}
        self._load()

    @property
    def revision(self) -> int:
        """Return the revision in effect."""
        return self.configuration.revision

    def on_change(self, listener: Listener) -> None:
        """Call ``listener`` with the current configuration, if any, and later ones."""
        self._listeners.append(listener)
        if self.revision:
            listener(self.configuration)

    def activate_if_newer(self, configuration: Configuration) -> bool:
        """Put a configuration in effect if its revision exceeds the current one.

        The configuration takes effect even if it can't be saved, since a full disk
        must not leave an instance on an old configuration.

        Returns:
            Whether the configuration took effect.
        """
        if configuration.revision <= self.revision:
            return False
        self._save(configuration)
        self._set_active(configuration)
        for listener in list(self._listeners):
            listener(configuration)
        return True

    def configuration_at(self, revision: int) -> Configuration | None:
        """Return a recent configuration of this instance, or None if not retained."""
        return self._history.get(revision)

    def delta_from(self, base_revision: int) -> RevisionDelta | None:
        """Return the delta from a revision, or None if that isn't retained."""
        if base_revision not in self._deltas:
            base = self._history.get(base_revision)
            delta = compute_delta(base, self.configuration) if base else None
            self._deltas[base_revision] = delta
        return self._deltas[base_revision]

    def _set_active(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._history[configuration.revision] = configuration
        self._deltas.clear()
        while len(self._history) > HISTORY_REVISIONS:
            del self._history[min(self._history)]

    def _save(self, configuration: Configuration) -> None:
        document = to_canonical_json(configuration.document)
        saved = SavedRevision(revision=configuration.revision, document=document)
        try:
            self._store.save(saved)
        except StorageError as error:
            self.last_error = error
            _log.error("revision_not_saved", error=str(error))

    def _load(self) -> None:
        try:
            saved = self._store.load()
            if saved is None:
                return
            document = from_canonical_json(saved.document)
        except (StorageError, DocumentError) as error:
            self.last_error = error
            _log.error("saved_revision_unusable", error=str(error))
            return
        self._set_active(Configuration(revision=saved.revision, document=document))
