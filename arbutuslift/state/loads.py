"""Load that upstreams report, as exchanged inside a data centre."""

from collections.abc import Iterable

from attrs import evolve, frozen

from .hashing import hash_64
from .registers import Register, record_key, record_version
from .upstreams import UpstreamRecord, UpstreamView

# Change of the open connections that gives a load record a new version, so that it is
# exchanged: a sixteenth of the 2,000 connections that one upstream can hold.
CONNECTIONS_STEP = 125
# Number of announcements that gives a load record a new version. Instances to which an
# upstream doesn't announce itself learn from its load that it is alive. At one
# announcement a second, a new version every 16 s is well within the 60 s after which
# they would time the upstream out.
SEQUENCE_STEP = 16


@frozen(kw_only=True)
class UpstreamLoad:
    """Load that an upstream reported.

    Attributes:
        upstream_id: The upstream.
        sequence: Sequence of the announcement.
        open_connections: Its open connections.
        busy_slots: Its slots in use.
    """

    upstream_id: str
    sequence: int
    open_connections: int
    busy_slots: int

    @classmethod
    def of(cls, record: UpstreamRecord) -> "UpstreamLoad":
        """Return the load in an upstream's record."""
        return cls(
            upstream_id=record.upstream_id,
            sequence=record.sequence,
            open_connections=record.open_connections,
            busy_slots=record.busy_slots,
        )


@record_key.register
def _(record: UpstreamLoad) -> str:
    return record.upstream_id


@record_version.register
def _(record: UpstreamLoad) -> int:
    connections_step = record.open_connections // CONNECTIONS_STEP
    sequence_step = record.sequence // SEQUENCE_STEP
    return hash_64(f"{connections_step} {record.busy_slots} {sequence_step}".encode())


class LoadRegister(Register):
    """Newest known load of the upstreams of this data centre.

    Load isn't pushed to peers, since it changes all the time and only the newest report
    matters.

    Args:
        view: Receives the load and the sequence of each upstream.
    """

    kind = "load"
    record_class = UpstreamLoad
    is_local = True
    is_pushed = False

    def __init__(self, view: UpstreamView) -> None:
        self._view = view
        self._loads: dict[str, UpstreamLoad] = {}

    def records(self) -> Iterable[UpstreamLoad]:
        """Return all loads."""
        return list(self._loads.values())

    def get(self, key: str) -> UpstreamLoad | None:
        """Return the load of an upstream."""
        return self._loads.get(key)

    def merge(self, record: UpstreamLoad) -> bool:
        """Merge a load if its sequence is higher; return whether it was."""
        current = self._loads.get(record.upstream_id)
        if current and record.sequence <= current.sequence:
            return False
        self._loads[record.upstream_id] = record
        upstream_record = self._view.get(record.upstream_id)
        if upstream_record and upstream_record.sequence < record.sequence:
            self._view.merge(
                evolve(
                    upstream_record,
                    sequence=record.sequence,
                    open_connections=record.open_connections,
                    busy_slots=record.busy_slots,
                )
            )
        return True

    def remove(self, upstream_id: str) -> None:
        """Remove an upstream that is gone."""
        self._loads.pop(upstream_id, None)
