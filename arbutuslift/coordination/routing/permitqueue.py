"""SYNs that wait for a permit, since all their upstreams are in cold start."""

import random
from collections import deque
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING

from ...clock import Clock
from ...protocol.channel import Channel
from ...transport.callerpackets import CallerPacket
from .upstreamselector import UpstreamSelector

if TYPE_CHECKING:
    from ..dissemination.coldpermits import ColdPermits

# Longest wait for a permit. All granters are asked in it.
MAX_WAIT_S = 1.0
MAX_WAITING = 256

Spawn = Callable[[Coroutine[object, object, None]], None]


class PermitQueue:
    """Holds SYNs until a request for a permit is answered.

    Args:
        clock: Source of time.
        selector: Uses the permits from ``open`` on.
        route_again: Routes a SYN again, given when it arrived.

    Attributes:
        permits: Permits of this instance; None before ``open``.
    """

    def __init__(
        self,
        clock: Clock,
        selector: UpstreamSelector,
        route_again: Callable[[CallerPacket, float], None],
    ) -> None:
        self.permits: ColdPermits | None = None
        self._clock = clock
        self._selector = selector
        self._route_again = route_again
        self._controls: tuple[str, ...] = ()
        self._waiting: deque[tuple[CallerPacket, float]] = deque(maxlen=MAX_WAITING)

    def open(self, channel: Channel, spawn: Spawn) -> None:
        """Ask control instances for new flows at cold upstreams from now on.

        Args:
            channel: Connection to the control instances.
            spawn: Runs a request.
        """
        # Imported here, since the import delays the packets that are waiting.
        from ..dissemination.coldpermits import ColdPermits

        self.permits = ColdPermits(
            channel,
            self._clock,
            spawn,
            random.Random(),
            self._selector.cold_admission,
            self.route_waiting,
        )
        self.permits.set_controls(self._controls)
        self._selector.cold_admission = self.permits

    def set_controls(self, names: tuple[str, ...]) -> None:
        """Use the names of the control instances that an answer of the feed gives."""
        self._controls = names
        if self.permits is not None:
            self.permits.set_controls(names)

    def add(self, packet: CallerPacket, arrived_s: float | None) -> None:
        """Hold a SYN that arrived at a given time, None for now."""
        if arrived_s is None:
            arrived_s = self._clock.monotonic_s()
        self._waiting.append((packet, arrived_s))

    def clear(self) -> int:
        """Forget the SYNs that wait; return how many there were."""
        count = len(self._waiting)
        self._waiting.clear()
        return count

    def route_waiting(self) -> None:
        """Route the SYNs that wait again, in order; the first one gets the permit."""
        oldest_s = self._clock.monotonic_s() - MAX_WAIT_S
        waiting = list(self._waiting)
        self._waiting.clear()
        for packet, arrived_s in waiting:
            if arrived_s >= oldest_s:
                self._route_again(packet, arrived_s)
