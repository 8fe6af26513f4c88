"""The load of all instances, as a control instance last summed it up."""

from collections.abc import Iterable

from ...clock import Clock
from ...protocol.loads import LoadSummary
from ...state.loadfigures import ServiceLoad, UpstreamLoad
from ...state.starts import StartKey

# Reports are a second apart. This tolerates two lost answers; older figures mislead
# more than none.
MAX_AGE_S = 3.0


class LoadView:
    """Holds the newest summary and its age.

    Args:
        clock: Source of time.

    Attributes:
        instances: Instances whose reports the newest summary contains, 0 before the
            first.
        summaries: Number of summaries so far.
    """

    def __init__(self, clock: Clock) -> None:
        self.instances = 0
        self.summaries = 0
        self._clock = clock
        self._updated_s = float("-inf")
        self._upstreams: dict[StartKey, UpstreamLoad] = {}
        self._own_outstanding: dict[StartKey, float] = {}
        self._services: dict[tuple[str, str], ServiceLoad] = {}

    @property
    def age_s(self) -> float:
        """Return the time since the newest summary, infinite before the first."""
        return self._clock.monotonic_s() - self._updated_s

    @property
    def is_usable(self) -> bool:
        """Return whether the newest summary is recent enough for decisions."""
        return self.age_s <= MAX_AGE_S

    def update(self, summary: LoadSummary, own: Iterable[UpstreamLoad] = ()) -> None:
        """Replace the figures by those of a new summary.

        Args:
            summary: The summary.
            own: What this instance reported itself; the summary contains it.
        """
        self._updated_s = self._clock.monotonic_s()
        self.instances = summary.instances
        self.summaries += 1
        self._upstreams = {load.key: load for load in summary.upstreams}
        self._own_outstanding = {load.key: load.outstanding for load in own}
        self._services = {
            (load.service, load.data_centre): load for load in summary.services
        }

    def upstream(self, key: StartKey) -> UpstreamLoad | None:
        """Return the sums for a start, None if the newest summary has none.

        They are kept when the view isn't usable any more.
        """
        return self._upstreams.get(key)

    def upstreams(self) -> list[UpstreamLoad]:
        """Return the sums for all starts in the newest summary."""
        return list(self._upstreams.values())

    def outstanding_elsewhere(self, key: StartKey) -> float:
        """Return the mean outstanding requests at a start through other instances."""
        load = self._upstreams.get(key)
        if load is None:
            return 0.0
        return max(0.0, load.outstanding - self._own_outstanding.get(key, 0.0))

    def service(self, service: str, data_centre: str) -> ServiceLoad | None:
        """Return the load of a service in a data centre, None if it isn't known.

        Its age is the ``age_ms`` of the figures plus ``age_s`` of this view.
        """
        return self._services.get((service, data_centre))

    def services(self) -> list[ServiceLoad]:
        """Return the load of all services in all data centres."""
        return list(self._services.values())
