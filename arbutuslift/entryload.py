"""Load features of an entry instance; each is imported only where it is switched on.

An entry process starts with little processor time.
"""

from typing import TYPE_CHECKING

from .clock import Clock
from .coordination.routing.upstreamselector import UpstreamSelector
from .rolesettings import EntrySettings

if TYPE_CHECKING:
    from .coordination.routing.admissiongate import AdmissionGate
    from .coordination.routing.loadtracker import LoadTracker
    from .coordination.routing.poolsource import SharedView


def make_tracker(settings: EntrySettings, clock: Clock) -> "LoadTracker | None":
    """Return the counter of this instance's load, None if nothing needs it."""
    if not settings.load.is_admission_limited:
        return None
    from .coordination.routing.loadtracker import LoadTracker

    return LoadTracker(clock, settings.data_centre)


def make_gate(
    settings: EntrySettings,
    clock: Clock,
    selector: UpstreamSelector,
    tracker: "LoadTracker | None",
    view: "SharedView | None" = None,
) -> "AdmissionGate | None":
    """Return the gate of new flows, None if all are let through."""
    if not settings.load.is_admission_limited:
        return None
    from .coordination.routing.admissiongate import open_gate

    return open_gate(
        clock,
        selector,
        tracker,
        settings.data_centre,
        view,
        settings.load.upstream_queue_length,
    )
