"""Creates the load features of an entry instance that its settings ask for."""

from collections.abc import Callable
from math import isfinite
from typing import TYPE_CHECKING

from .clock import Clock
from .coordination.concurrency import TaskSet
from .coordination.routing.flowobserver import FlowObserver
from .coordination.routing.upstreamdirectory import UpstreamDirectory
from .coordination.routing.upstreamselector import UpstreamSelector
from .errors import Fault, SettingsError
from .protocol.channel import Channel
from .protocol.feed import FeedAnswer
from .rolesettings import EntrySettings, LoadSettings
from .state.routingtable import RoutingTable

if TYPE_CHECKING:
    from .coordination.routing.admissiongate import AdmissionGate
    from .coordination.routing.loadview import LoadView
    from .coordination.routing.locality import LocalityWeights
    from .coordination.routing.sharedloadchoice import SharedLoadChoice
    from .metricfamilies import MetricFamily


class LoadFeatures:
    """Base class, used while no load is shared; its methods do nothing.

    Attributes:
        observer: Receives the flows, requests and answers that the router sees.
        view: Load of all instances, None if it isn't shared.
        shared_choice: Chooses upstreams by the load of all instances, if that is known.
        locality: Decides the data centre of a new flow by the load of all of them; None
            before the first summary.
        on_locality: Called with ``locality`` once it exists.
    """

    def __init__(self) -> None:
        self.observer = FlowObserver()
        self.shared_choice: SharedLoadChoice | None = None
        self.locality: LocalityWeights | None = None
        self.view: LoadView | None = None
        self.on_locality: Callable[[LocalityWeights], None] = lambda locality: None

    def start(self, channel: Channel, tasks: TaskSet) -> None:
        """Start the tasks of the features.

        Args:
            channel: Connection to the control instances.
            tasks: Owns the tasks.
        """

    def apply(self, table: RoutingTable) -> None:
        """Use a routing table that is in effect from now on."""

    def on_feed_answer(self, answer: FeedAnswer) -> None:
        """Use what an answer of the feed says about control instances."""

    def families(self) -> "list[MetricFamily]":
        """Return the metric families of the features."""
        return []


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
