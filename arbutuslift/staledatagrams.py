"""Drops what waited in an entry instance while its process was suspended."""

import socket
from collections.abc import Callable

import structlog

from .clock import Clock

MAX_DATAGRAM_BYTES = 2048
# Ticks are half a second apart. A longer gap means that the process was suspended and
# that queued datagrams are stale.
MAX_TICK_GAP_S = 1.5

_log = structlog.get_logger()


class StaleDatagrams:
    """Detects suspensions, and drops the datagrams that are older than their end.

    Their callers have retransmitted them to other instances, and the view of this
    instance is as old as they are. Those that waited in a queue were routed by that
    view.

    Args:
        clock: Source of time.
        packets: Socket on which packets arrive.
        clear_queues: Clears the queues of packets and returns how many they held.
        on_dropped: Called with the number of dropped packets.
    """

    def __init__(
        self,
        clock: Clock,
        packets: socket.socket,
        clear_queues: Callable[[], int],
        on_dropped: Callable[[int], None],
    ) -> None:
        self._clock = clock
        self._socket = packets
        self._clear_queues = clear_queues
        self._on_dropped = on_dropped
        self._last_tick_s = clock.boottime_s()

    def tick(self) -> None:
        """Drop what is stale; to be called at least every half second."""
        self.drop()
        self._last_tick_s = self._clock.boottime_s()

    def drop(self) -> None:
        """Drop all datagrams if the process was suspended since the last tick."""
        if self._was_suspended():
            self._on_dropped(self._clear_queues() + self._clear_socket())

    def _was_suspended(self) -> bool:
        now_s = self._clock.boottime_s()
        gap_s = now_s - self._last_tick_s
        if gap_s < MAX_TICK_GAP_S:
            return False
        self._last_tick_s = now_s
        _log.warning("process_was_frozen", gap_s=round(gap_s, 3))
        return True

    def _clear_socket(self) -> int:
        count = 0
        try:
            while self._socket.recv(MAX_DATAGRAM_BYTES):
                count += 1
        except BlockingIOError:
            pass
        return count
