"""Load that an entry instance shares: its reports, the view and what decides by it."""

import random
from typing import TYPE_CHECKING

from .clock import Clock
from .coordination.concurrency import TaskSet
from .coordination.dissemination.loadclient import LoadClient
from .coordination.routing.loadtracker import LoadTracker
from .coordination.routing.loadview import LoadView
from .coordination.routing.sharedloadchoice import SharedLoadChoice
from .coordination.routing.upstreamdirectory import UpstreamDirectory
from .coordination.routing.upstreamweights import UpstreamWeights
from .loadfeatures import LoadFeatures
from .protocol.channel import Channel
from .protocol.feed import FeedAnswer
from .protocol.loads import LoadReport, LoadSummary
from .rolesettings import EntrySettings
from .state.routingtable import RoutingTable

if TYPE_CHECKING:
    from .coordination.routing.routedservices import RoutedService
    from .metricfamilies import MetricFamily


class SharedLoad(LoadFeatures):
    """Reports the load of this instance and selects upstreams by that of all.

    Args:
        settings: Checked settings.
        clock: Source of time.
        directory: Upstreams of this instance's view.

    Attributes:
        tracker: Load through this instance.
        view: Load through all instances.
        weights: Weights of slow upstreams.
        client: Sends the reports; None before the start.
    """

    def __init__(
        self, settings: EntrySettings, clock: Clock, directory: UpstreamDirectory
    ) -> None:
        super().__init__()
        self.tracker = self.observer = LoadTracker(clock, settings.data_centre)
        self.view = LoadView(clock)
        self.weights = UpstreamWeights(self._service_of)
        self.client: LoadClient | None = None
        self._settings = settings
        self._clock = clock
        self._directory = directory
        self._rng = random.Random()
        self.shared_choice = SharedLoadChoice(
            self.view, self.tracker, self.weights, self._rng
        )
        self._table: RoutingTable | None = None
        self._services: tuple[RoutedService, ...] = ()

    def start(self, channel: Channel, tasks: TaskSet) -> None:
        """Send reports over a channel."""
        self.client = LoadClient(
            channel,
            self._clock,
            self._settings.data_centre,
            self._settings.seeds,
            self._make_report,
            self._on_summary,
            self._rng,
        )
        tasks.spawn_loop(self.client.run, self._clock)

    def apply(self, table: RoutingTable) -> None:
        """Use the services of a routing table that is in effect from now on."""
        self._table = table
        self._services = ()

    def on_feed_answer(self, answer: FeedAnswer) -> None:
        """Report to the control instances that an answer names."""
        if self.client is not None:
            self.client.set_controls(answer.controls)

    def families(self) -> "list[MetricFamily]":
        """Return the metric families of load reports."""
        # Imported on the first request, as by the other metrics of entry instances.
        from .loadmetrics import entry_load_families, locality_families

        families = entry_load_families(self)
        if self.locality is not None:
            families += locality_families(self.locality)
        return families

    def _make_report(self, sequence: int) -> LoadReport:
        if not self.view.is_usable:
            self.weights.update(())
        interval = self.tracker.take_report()
        return LoadReport(
            sequence=sequence,
            interval_ms=interval.interval_ms,
            data_centre=self._settings.data_centre,
            upstreams=interval.upstreams,
            services=interval.services,
        )

    def _on_summary(self, report: LoadReport, summary: LoadSummary) -> None:
        self.view.update(summary, report.upstreams)
        self.weights.update(summary.upstreams)
        if self._settings.load.is_locality_weighted and self._table is not None:
            self._update_locality(self._table)

    def _update_locality(self, table: RoutingTable) -> None:
        # Imported with the first summary, so that the instance is ready sooner.
        from .coordination.routing.locality import LocalityWeights
        from .coordination.routing.routedservices import routed_services

        if self.locality is None:
            self.locality = LocalityWeights(
                self._clock, self._settings.data_centre, self._settings.load
            )
            self.on_locality(self.locality)
        self._services = self._services or routed_services(table)
        self.locality.update(self.view, self._services, table.out_of_service)

    def _service_of(self, key: tuple[str, int]) -> str | None:
        tracked = self._directory.find_by_key(key)
        return tracked.start.service if tracked is not None else None
