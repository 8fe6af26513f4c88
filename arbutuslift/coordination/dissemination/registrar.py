"""Merges announcements of upstreams into the view."""

from collections import Counter

from ...clock import Clock, SystemClock
from ...errors import AnnouncementError
from ...state.upstreams import UpstreamRecord
from ..routing.services import ServiceTable
from .announcement import STEP, parse_announcement

# Synchronized clocks differ by milliseconds. An upstream whose clock is further ahead
# would take precedence at its address over processes that start soon after it.
MAX_CLOCK_AHEAD_S = 10.0


class Registrar:
    """Validates announcements and merges them into the view.

    Every change of the view that may affect a slot table, whether by an announcement
    or by gossip, refreshes the slot table of the service.

    Attributes:
        counts: Number of announcements by outcome.

    Args:
        services: Services and view of upstreams.
        clock: Source of time.
    """

    def __init__(self, services: ServiceTable, clock: Clock | None = None) -> None:
        self._view = services.view
        self._clock = clock or SystemClock()
        self._received_at_s: dict[str, float] = {}
        self.counts: Counter[str] = Counter()
        self._view.on_change(self._remove_if_gone)
        self._view.on_eligibility_change(
            lambda record: services.refresh_service(record.service)
        )

    def accept(self, content: object) -> None:
        """Validate and merge one announcement.

        Args:
            content: Decoded JSON value.

        Raises:
            AnnouncementError: The announcement is refused; lists every faulty field.
        """
        try:
            record = parse_announcement(content)
            self._check_against_view(record)
        except AnnouncementError:
            self.counts["refused"] += 1
            raise
        is_change = self._view.merge(record)
        self.counts["merged" if is_change else "unchanged"] += 1
        known = self._view.get(record.upstream_id)
        if known is None:
            self.counts["refused"] += 1
            raise AnnouncementError("too many upstreams are known", step=STEP)
        if not known.is_alive:
            self.counts["gone"] += 1
        elif known.sequence == record.sequence:
            self._received_at_s[record.upstream_id] = self._clock.monotonic_s()

    def received_at_s(self, upstream_id: str) -> float | None:
        """Return when this instance last received an upstream's newest announcement.

        Gossip may have delivered the same sequence earlier, so the announcement needn't
        have changed the view. The time is on the monotonic clock; None if the upstream
        isn't alive or doesn't announce itself to this instance.
        """
        return self._received_at_s.get(upstream_id)

    def _remove_if_gone(self, record: UpstreamRecord) -> None:
        if not record.is_alive:
            self._received_at_s.pop(record.upstream_id, None)

    def _check_against_view(self, record: UpstreamRecord) -> None:
        ahead_s = record.started_at_s - self._clock.wall_s()
        if ahead_s > MAX_CLOCK_AHEAD_S:
            raise AnnouncementError(
                f"started_at_s: {ahead_s:.0f} s ahead of this instance's clock",
                step=STEP,
            )
        known = self._view.get(record.upstream_id)
        if known is not None and not record.is_same_process(known):
            raise AnnouncementError(
                "upstream_id: already announced with another name, data_centre, "
                "address, port, service or started_at_s",
                step=STEP,
            )
