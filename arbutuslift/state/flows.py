"""Bounded cache of flows seen by this instance."""

from collections import OrderedDict

from attrs import define

from .flowkey import FlowKey

MAX_FLOWS = 400_000


@define
class FlowEntry:
    """Where a flow is.

    Attributes:
        upstream_id: The upstream.
        confirmed: Whether the upstream sent traffic that only the holder of the
            connection sends. Otherwise the entry is a hint.
    """

    upstream_id: str
    confirmed: bool


class FlowCache:
    """Least-recently-used cache; losing an entry never breaks a flow.

    Args:
        max_flows: Number of entries kept.
    """

    def __init__(self, max_flows: int = MAX_FLOWS) -> None:
        self._max_flows = max_flows
        self._entries: OrderedDict[FlowKey, FlowEntry] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, flow: FlowKey) -> FlowEntry | None:
        """Return the entry of a flow and mark it as used."""
        entry = self._entries.get(flow)
        if entry is not None:
            self._entries.move_to_end(flow)
        return entry

    def confirmed_at(self, flow: FlowKey) -> str | None:
        """Return the upstream that is known to hold the flow."""
        entry = self.get(flow)
        return entry.upstream_id if entry and entry.confirmed else None

    def hint(self, flow: FlowKey, upstream_id: str) -> None:
        """Note where a SYN went, unless the flow is confirmed elsewhere."""
        entry = self.get(flow)
        if entry is None or not entry.confirmed:
            self._put(flow, FlowEntry(upstream_id, confirmed=False))

    def confirm(self, flow: FlowKey, upstream_id: str) -> None:
        """Note the upstream that holds the flow."""
        self._put(flow, FlowEntry(upstream_id, confirmed=True))

    def remove(self, flow: FlowKey) -> None:
        """Forget a flow."""
        self._entries.pop(flow, None)

    def _put(self, flow: FlowKey, entry: FlowEntry) -> None:
        self._entries[flow] = entry
        self._entries.move_to_end(flow)
        if len(self._entries) > self._max_flows:
            self._entries.popitem(last=False)
