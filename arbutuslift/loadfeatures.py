"""Load features of an entry instance, and what stands for them while they are off."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from .coordination.concurrency import TaskSet
from .coordination.routing.flowobserver import FlowObserver
from .protocol.channel import Channel
from .protocol.feed import FeedAnswer
from .state.routingtable import RoutingTable

if TYPE_CHECKING:
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
