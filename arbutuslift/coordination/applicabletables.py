"""The routing table of the newest configuration that can be put in effect.

An earlier version may have accepted a configuration that this one can't read. It stays
agreed; what is in effect is decided from the agreed revisions alone, so that every
instance that holds them decides alike.
"""

from collections.abc import Callable, Iterable

import structlog
from attrs import evolve

from ..errors import ArbutusliftError
from ..state.agreedstate import AgreedState
from ..state.configuration import StoredRevision
from ..state.routingtable import RoutingTable

TableReader = Callable[[int, AgreedState], RoutingTable]
# Returns revisions, newest first.
History = Callable[[], Iterable[StoredRevision]]

_log = structlog.get_logger()


class ApplicableTables:
    """Derives routing tables from agreed revisions.

    Args:
        read_table: Returns the routing table of an agreed state; raises
            ArbutusliftError if it has none.

    Attributes:
        unusable_version: Version of the newest configuration if it can't be put in
            effect, 0 if it can.
    """

    def __init__(self, read_table: TableReader) -> None:
        self.unusable_version = 0
        self._read_table = read_table

    def table_of(
        self, stored: StoredRevision, history: History = tuple
    ) -> RoutingTable | None:
        """Return the table that a revision puts in effect, None without any.

        If its configuration can't be used, the newest earlier one that can is, with the
        data centres that this revision takes out of service.

        Args:
            stored: The newest revision.
            history: Returns the revisions up to it that are still known.
        """
        state = _decode(stored)
        if state is None:
            return None
        table = self._try_read(stored.revision, state)
        if table is not None:
            self.unusable_version = 0
            return table
        self.unusable_version = state.version
        for earlier in history():
            if earlier.revision >= stored.revision:
                continue
            table = self._table_with(earlier, stored.revision, state)
            if table is not None:
                _log.error(
                    "configuration_unusable",
                    version=state.version,
                    kept_version=table.version,
                )
                return table
        _log.error("configuration_unusable", version=state.version, kept_version=0)
        return None

    def _table_with(
        self, earlier: StoredRevision, revision: int, state: AgreedState
    ) -> RoutingTable | None:
        """Return the table of an earlier configuration in the state of a later one."""
        former = _decode(earlier)
        if former is None or former.source == state.source:
            return None
        return self._try_read(
            revision, evolve(former, out_of_service=state.out_of_service)
        )

    def _try_read(self, revision: int, state: AgreedState) -> RoutingTable | None:
        """Return the table of a state, None if its configuration can't be read."""
        try:
            return self._read_table(revision, state)
        except ArbutusliftError as error:
            _log.error(
                "configuration_refused", version=state.version, reason=str(error)
            )
            return None


def _decode(stored: StoredRevision) -> AgreedState | None:
    try:
        return AgreedState.decode(stored.submission.document)
    except ArbutusliftError as error:
        _log.error("configuration_refused", revision=stored.revision, reason=str(error))
        return None
