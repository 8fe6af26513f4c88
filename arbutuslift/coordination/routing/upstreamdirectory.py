"""What an entry instance knows of upstreams, from several control instances."""

from collections.abc import Iterable

from attrs import define, field

from ...clock import Clock
from ...protocol.feed import StartNews
from ...state.flowtags import TagIndex, tag_of
from ...state.starts import GONE_KEPT_S, Phase, StartTable, UpstreamStart

# The end of a cold start is known to a few hundred ms only: the record travels, and
# the clocks of timers differ.
COLD_MARGIN_S = 0.3
# Weight of a new response time: about the last ten count.
RESPONSE_WEIGHT = 0.1
# Longer than the pauses of callers between requests.
RESPONSE_KEPT_S = 5.0


@define(kw_only=True, eq=False)
class KnownStart:
    """A start with what this instance knows of it.

    Attributes:
        start: The newest record.
        tag: Its flow tag.
        cold_until_s: End of its cold start.
        gone_since_s: When it was learned to be gone.
        flow_count: Flows that this instance has seen there lately.
        is_lost: Whether no connection to it can be made, so that its flows are lost.
        response_s: Smoothed time from a request to the first acknowledged answer.
        measured_s: When it was measured last.
    """

    start: UpstreamStart
    tag: int
    cold_until_s: float
    gone_since_s: float = 0.0
    flow_count: int = 0
    is_lost: bool = False
    response_s: float = 0.0
    measured_s: float = 0.0

    def observe_response(self, duration_s: float, now_s: float) -> None:
        """Take one measured response time into the smoothed one."""
        self.measured_s = now_s
        if self.response_s == 0.0:
            self.response_s = duration_s
        self.response_s += RESPONSE_WEIGHT * (duration_s - self.response_s)

    def recent_response_s(self, now_s: float) -> float:
        """Return the smoothed response time, 0 if none was measured lately.

        An upstream that is avoided for being slow isn't measured; once the measure
        is old, new flows try the upstream again.
        """
        is_recent = now_s - self.measured_s < RESPONSE_KEPT_S
        return self.response_s if is_recent else 0.0

    @property
    def is_gone(self) -> bool:
        """Return whether its flows have ended with it."""
        return self.start.phase is Phase.GONE


@define
class _Source:
    """What one control instance says.

    Attributes:
        is_settled: Whether it has heard of every running upstream.
        silent: Whether the announcements have stopped, by upstream.
    """

    is_settled: bool = False
    silent: dict[str, bool] = field(factory=dict)


class UpstreamDirectory:
    """Starts of upstreams by service and by flow tag.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._table = StartTable()
        self._tags = TagIndex()
        self._known: dict[tuple[str, int], KnownStart] = {}
        self._by_tag: dict[int, KnownStart] = {}
        self._services: dict[str, list[KnownStart]] = {}
        self._sources: dict[str, _Source] = {}

    def __len__(self) -> int:
        return sum(len(starts) for starts in self._services.values())

    def find(self, tag: int) -> KnownStart | None:
        """Return the start that a flow tag stands for."""
        return self._by_tag.get(tag)

    def find_start(self, key: tuple[str, int]) -> KnownStart | None:
        """Return the start with a key."""
        return self._known.get(key)

    def of_service(self, service: str) -> list[KnownStart]:
        """Return the starts that aren't gone."""
        return self._services.get(service, [])

    def is_silent(self, start: UpstreamStart) -> bool:
        """Return whether no control instance hears the upstream any more."""
        opinions = [
            source.silent.get(start.upstream_id, True)
            for source in self._sources.values()
            if source.is_settled or start.upstream_id in source.silent
        ]
        return bool(opinions) and all(opinions)

    def receive(
        self,
        source_name: str,
        news: Iterable[StartNews],
        *,
        is_complete: bool,
        is_settled: bool,
    ) -> list[UpstreamStart]:
        """Take in an answer of a control instance; return the records that changed."""
        source = self._sources.setdefault(source_name, _Source())
        if is_complete:
            source.silent.clear()
        source.is_settled = is_settled
        changed = []
        for item in news:
            source.silent[item.start.upstream_id] = item.is_silent
            for record in self._table.merge(item.start):
                self._store(record)
                changed.append(record)
        return changed

    def forget_source(self, source_name: str) -> None:
        """Drop the opinions of a control instance that can't be reached."""
        if len(self._sources) > 1:
            self._sources.pop(source_name, None)

    def expire(self) -> None:
        """Forget starts whose flows have all ended."""
        oldest_s = self._clock.monotonic_s() - GONE_KEPT_S
        for key, known in list(self._known.items()):
            if known.is_gone and known.gone_since_s < oldest_s:
                self._forget(key, known)

    def _store(self, start: UpstreamStart) -> None:
        now_s = self._clock.monotonic_s()
        known = self._known.get(start.key)
        if known is None:
            cold_s = start.warm_up_left_ms / 1000
            known = self._known[start.key] = KnownStart(
                start=start,
                tag=tag_of(start),
                cold_until_s=now_s + cold_s + COLD_MARGIN_S if cold_s else 0.0,
            )
        known.start = start
        if self._tags.put(start):
            self._by_tag[known.tag] = known
        listed = self._services.setdefault(start.service, [])
        if known.is_gone:
            known.gone_since_s = now_s
            if known in listed:
                listed.remove(known)
        elif known not in listed and self._tags.owns(start):
            listed.append(known)

    def _forget(self, key: tuple[str, int], known: KnownStart) -> None:
        del self._known[key]
        self._tags.remove(known.start)
        if self._by_tag.get(known.tag) is known:
            del self._by_tag[known.tag]
        held = self._table.get(known.start.upstream_id)
        if held is not None and held.key == key:
            self._table.remove(known.start.upstream_id)
