"""Weights of upstreams by the response times that all instances see."""

from collections.abc import Callable, Iterable

import structlog
from attrs import define

from ...state.loadfigures import UpstreamLoad
from ...state.starts import StartKey

# An upstream counts as slow if its response time exceeds the median of its service by
# this factor. Under high load, queues alone make some upstreams twice as slow as the
# median for a second or two.
SLOW_FACTOR = 3.0
# Largest change of a weight in one interval. All instances see the same figures and
# change their weights together, so that larger steps would overshoot.
STEP = 1.25
MIN_WEIGHT = 1 / 8
# What remains of the answers of earlier intervals, so that a mean covers about two.
DECAY = 0.5
# Answers whose mean tells a slow upstream from one with a few long requests. An
# upstream that counts as slow gets few requests, and any answer is evidence.
MIN_ANSWERS = 4.0
MIN_ANSWERS_OF_SLOW = 0.5
# Instances without an answer from an upstream that aren't a matter of one path.
MIN_FAILING_INSTANCES = 2

_log = structlog.get_logger()


@define
class _Upstream:
    """Recent answers of one start.

    Attributes:
        service: Service that it belongs to.
        answered: Answers, those of earlier intervals decayed.
        response_sum_ms: Sum of their response times.
        weight: Present weight.
        is_failing: Whether it gave no answer to several instances.
    """

    service: str
    answered: float = 0.0
    response_sum_ms: float = 0.0
    weight: float = 1.0
    is_failing: bool = False

    @property
    def has_figures(self) -> bool:
        """Return whether there are enough recent answers to judge it by."""
        least = MIN_ANSWERS if self.weight == 1.0 else MIN_ANSWERS_OF_SLOW
        return self.answered >= least

    @property
    def mean_ms(self) -> float:
        """Return the mean response time."""
        return self.response_sum_ms / self.answered

    def add(self, load: UpstreamLoad | None) -> None:
        """Add the answers of an interval, None if there are none."""
        self.answered *= DECAY
        self.response_sum_ms *= DECAY
        self.is_failing = False
        if load is not None:
            self.answered += load.answered
            self.response_sum_ms += load.response_sum_ms
            is_shared = load.failures >= MIN_FAILING_INSTANCES
            self.is_failing = is_shared and not load.answered

    def target(self, median_ms: float) -> float:
        """Return the weight that its response time asks for."""
        if not self.has_figures or not median_ms:
            return 1.0
        # An upstream that counts as slow has to come close to the others first.
        factor = SLOW_FACTOR if self.weight == 1.0 else STEP
        if self.mean_ms <= factor * median_ms:
            return 1.0
        return max(MIN_WEIGHT, median_ms / self.mean_ms)

    def move(self, median_ms: float) -> None:
        """Change the weight by one step towards its target."""
        if self.is_failing:
            self.weight = MIN_WEIGHT
            return
        target = self.target(median_ms)
        stepped = min(max(target, self.weight / STEP), self.weight * STEP)
        self.weight = min(1.0, max(MIN_WEIGHT, stepped))


class UpstreamWeights:
    """Lowers the weights of slow upstreams and raises them again.

    Args:
        service_of: Returns the service of a start, None if the start isn't known.
    """

    def __init__(self, service_of: Callable[[StartKey], str | None]) -> None:
        self._service_of = service_of
        self._upstreams: dict[StartKey, _Upstream] = {}

    @property
    def slow_count(self) -> int:
        """Return the number of upstreams whose weight is below 1."""
        return sum(item.weight < 1.0 for item in self._upstreams.values())

    def weight(self, key: StartKey) -> float:
        """Return the weight of a start, from 1/8 to 1."""
        upstream = self._upstreams.get(key)
        return upstream.weight if upstream is not None else 1.0

    def update(self, loads: Iterable[UpstreamLoad]) -> None:
        """Move all weights by at most one step.

        Args:
            loads: Sums of an interval through all instances, none if they aren't known.
        """
        rows = {load.key: load for load in loads}
        for key in rows.keys() - self._upstreams.keys():
            service = self._service_of(key)
            if service is not None:
                self._upstreams[key] = _Upstream(service)
        for key, upstream in self._upstreams.items():
            upstream.add(rows.get(key))
        medians_ms = self._medians_ms()
        for key, upstream in list(self._upstreams.items()):
            self._move(key, upstream, medians_ms.get(upstream.service, 0.0))

    def _move(self, key: StartKey, upstream: _Upstream, median_ms: float) -> None:
        previous = upstream.weight
        upstream.move(median_ms)
        if (previous < 1.0) != (upstream.weight < 1.0):
            _log.info(
                "upstream_slow" if upstream.weight < 1.0 else "upstream_not_slow",
                upstream=key[0],
                service=upstream.service,
                response_ms=round(upstream.mean_ms) if upstream.has_figures else 0,
                median_ms=round(median_ms),
                is_failing=upstream.is_failing,
                weight=round(upstream.weight, 3),
            )
        if upstream.weight == 1.0 and upstream.answered < MIN_ANSWERS_OF_SLOW:
            del self._upstreams[key]

    def _medians_ms(self) -> dict[str, float]:
        """Return the lower median of the mean response times, by service."""
        means_ms: dict[str, list[float]] = {}
        for upstream in self._upstreams.values():
            if upstream.has_figures:
                means_ms.setdefault(upstream.service, []).append(upstream.mean_ms)
        return {
            service: sorted(values)[(len(values) - 1) // 2]
            for service, values in means_ms.items()
        }
