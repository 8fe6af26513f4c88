"""Creates the load features of an entry instance that its settings ask for."""

from math import isfinite
from typing import TYPE_CHECKING

from .clock import Clock
from .coordination.routing.upstreamdirectory import UpstreamDirectory
from .coordination.routing.upstreamselector import UpstreamSelector
from .errors import Fault, SettingsError
from .loadfeatures import LoadFeatures
from .rolesettings import EntrySettings, LoadSettings

if TYPE_CHECKING:
    from .coordination.routing.admissiongate import AdmissionGate


def make_load_features(
    settings: EntrySettings, clock: Clock, directory: UpstreamDirectory
) -> LoadFeatures:
    """Return the load features that the settings ask for.

    Raises:
        SettingsError: The settings contradict each other or are out of range.
    """
    check_load_settings(settings.load)
    if not settings.load.is_load_reported:
        features = LoadFeatures()
        if settings.load.is_admission_limited:
            from .coordination.routing.loadtracker import LoadTracker

            features.observer = LoadTracker(clock, settings.data_centre)
        return features
    # Imported only if used, since an entry process starts with little processor time.
    from .sharedload import SharedLoad

    return SharedLoad(settings, clock, directory)


def check_load_settings(settings: LoadSettings) -> None:
    """Check that the settings of the load features agree.

    Raises:
        SettingsError: They contradict each other or are out of range.
    """
    faults = []
    if settings.is_locality_weighted and not settings.is_load_reported:
        reason = "needs is_load_reported, which is off"
        faults.append(Fault("load.is_locality_weighted", reason))
    queue_length = settings.upstream_queue_length
    if queue_length is not None and queue_length < 0:
        reason = f"{queue_length} is not a number from 0"
        faults.append(Fault("load.upstream_queue_length", reason))
    price_per_gb = settings.remote_price_per_gb
    if not isfinite(price_per_gb) or price_per_gb < 0:
        reason = f"{price_per_gb} is not a number from 0"
        faults.append(Fault("load.remote_price_per_gb", reason))
    if faults:
        raise SettingsError(tuple(faults), step="make load features")


def make_gate(
    settings: EntrySettings,
    clock: Clock,
    selector: UpstreamSelector,
    load: LoadFeatures,
) -> "AdmissionGate | None":
    """Return the gate of new flows, None if all are let through."""
    if not settings.load.is_admission_limited:
        return None
    from .coordination.routing.admissiongate import open_gate

    return open_gate(
        clock,
        selector,
        load.observer,
        settings.data_centre,
        load.view,
        settings.load.upstream_queue_length,
    )
