"""Upstreams that the configuration in effect takes out of rotation."""

from collections.abc import Iterable
from math import inf

from ... import logs
from ...clock import Clock
from ...protocol.document import OutOfRotation

_log = logs.get_logger()


class Rotation:
    """Tells which upstreams get no new flows.

    The end of an entry is converted to the clock that includes time in suspend when
    the entry takes effect, so that a later step of the wall clock neither ends nor
    extends it.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._end_by_id: dict[str, float] = {}

    def apply(self, entries: Iterable[OutOfRotation]) -> None:
        """Put the entries of a revision in effect.

        Args:
            entries: The upstreams out of rotation, some of which may have ended.
        """
        to_local_s = self._clock.boottime_s() - self._clock.wall_s()
        now_s = self._clock.boottime_s()
        ends = {
            entry.upstream_id: entry.until_s + to_local_s if entry.until_s else inf
            for entry in entries
        }
        before = self._end_by_id
        self._end_by_id = {key: end_s for key, end_s in ends.items() if end_s > now_s}
        for upstream_id in before.keys() - self._end_by_id.keys():
            _log_back(upstream_id)
        for upstream_id in self._end_by_id.keys() - before.keys():
            _log.info("upstream_out_of_rotation", upstream=upstream_id)

    def is_out(self, upstream_id: str) -> bool:
        """Return whether an upstream is out of rotation now."""
        end_s = self._end_by_id.get(upstream_id)
        if end_s is None:
            return False
        if self._clock.boottime_s() < end_s:
            return True
        del self._end_by_id[upstream_id]
        _log_back(upstream_id)
        return False


def _log_back(upstream_id: str) -> None:
    _log.info("upstream_back_in_rotation", upstream=upstream_id)
