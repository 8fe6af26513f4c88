"""Load features of an entry instance; this module holds what stands in for them."""

from typing import TYPE_CHECKING

from .clock import Clock
from .coordination.concurrency import TaskSet
from .coordination.routing.flowobserver import FlowObserver
from .coordination.routing.upstreamdirectory import UpstreamDirectory
from .protocol.channel import Channel
from .protocol.feed import FeedAnswer
from .rolesettings import EntrySettings

if TYPE_CHECKING:
    from .coordination.routing.sharedloadchoice import SharedLoadChoice
    from .metricfamilies import MetricFamily


class LoadFeatures:
    """Does nothing: the instance decides by what it sees itself.

    Attributes:
        observer: Receives the flows, requests and answers that the router sees.
        shared_choice: Chooses upstreams by the load of all instances, if that is known.
    """

    def __init__(self) -> None:
        self.observer = FlowObserver()
        self.shared_choice: SharedLoadChoice | None = None

    def start(self, channel: Channel, tasks: TaskSet) -> None:
        """Start the tasks of the features.

        Args:
            channel: Connection to the control instances.
            tasks: Owns the tasks.
        """

    def on_feed_answer(self, answer: FeedAnswer) -> None:
        """Use what an answer of the feed says about control instances."""

    def families(self) -> "list[MetricFamily]":
        """Return the metric families of the features."""
        return []


def make_load_features(
    settings: EntrySettings, clock: Clock, directory: UpstreamDirectory
) -> LoadFeatures:
    """Return the load features that the settings ask for."""
    if not settings.load.is_load_reported:
        return LoadFeatures()
    # Imported only if used, since an entry process starts with little processor time.
    from .sharedload import SharedLoad

    return SharedLoad(settings, clock, directory)
