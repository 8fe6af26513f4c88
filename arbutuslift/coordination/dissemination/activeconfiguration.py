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

# A peer that is further behind gets the whole document.
HISTORY_REVISIONS = 32

Listener = Callable[[Configuration], None]

_log = structlog.get_logger()


class ActiveConfiguration:
    """Moves from revision to revision, never back.

    Attributes:
        configuration: What is in effect; revision 0 is none.
        fault: Why the saved revision couldn't be used, if it couldn't.

    Args:
        store: Keeps the revision over restarts; memory only without a data folder.
    """

    def __init__(self, store: RevisionStore | None = None) -> None:
        self.configuration = Configuration()
        self.fault: ArbutusliftError | None = None
        self._store = store or MemoryRevisionStore()
        self._listeners: list[Listener] = []
        self._history: dict[int, Configuration] = {}
        self._deltas: dict[int, RevisionDelta | None] = {}
        self._load()

    @property
    def revision(self) -> int:
        """Revision in effect."""
        return self.configuration.revision

    def on_change(self, listener: Listener) -> None:
        """Call ``listener`` with every configuration, at once if one is in effect."""
        self._listeners.append(listener)
        if self.revision:
            listener(self.configuration)

    def activate_if_newer(self, configuration: Configuration) -> bool:
        """Put a configuration in effect if its revision is higher.

        It takes effect even if it can't be saved: a full disk must not keep an
        instance on an old configuration.

        Returns:
            Whether it took effect.
        """
        if configuration.revision <= self.revision:
            return False
        self._save(configuration)
        self._remember(configuration)
        for listener in list(self._listeners):
            listener(configuration)
        return True

    def configuration_at(self, revision: int) -> Configuration | None:
        """Return one of the latest configurations that were in effect here."""
        return self._history.get(revision)

    def delta_from(self, base_revision: int) -> RevisionDelta | None:
        """Return the changes since a revision, if it is known here."""
        if base_revision not in self._deltas:
            base = self._history.get(base_revision)
            delta = compute_delta(base, self.configuration) if base else None
            self._deltas[base_revision] = delta
        return self._deltas[base_revision]

    def _remember(self, configuration: Configuration) -> None:
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
            self.fault = error
            _log.error("revision_not_saved", error=str(error))

    def _load(self) -> None:
        try:
            saved = self._store.load()
            if saved is None:
                return
            document = from_canonical_json(saved.document)
        except (StorageError, DocumentError) as error:
            self.fault = error
            _log.error("saved_revision_unusable", error=str(error))
            return
        self._remember(Configuration(revision=saved.revision, document=document))
