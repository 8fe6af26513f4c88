"""Bounded cache of the upstreams that hold flows."""

from collections import OrderedDict

from attrs import define

MAX_FLOWS = 400_000
SEQ_MODULUS = 2**32
# How far the sequence numbers of a connection may move between two packets that
# reach this instance. Another connection on a reused port starts at random numbers,
# so that it is mistaken for the same one with a probability of 2**-18.
SEQ_WINDOW_BYTES = 2**22


@define(eq=False)
class FlowEntry:
    """The upstream of a flow.

    Attributes:
        upstream_id: The upstream.
        is_confirmed: Whether the upstream sent traffic that only the holder of the
            connection sends. Otherwise the entry is a hint.
        caller_seq: Sequence number that the upstream last acknowledged.
        upstream_seq: Sequence number after the last segment of the upstream.
    """

    upstream_id: str
    is_confirmed: bool
    caller_seq: int = 0
    upstream_seq: int = 0

    def is_in_window(self, caller_seq: int, upstream_seq: int) -> bool:
        """Return whether a segment may belong to the confirmed connection.

        A caller may have reused its port for another connection, whose packets went
        through other instances.
        """
        return is_in_window(caller_seq, self.caller_seq) and is_in_window(
            upstream_seq, self.upstream_seq
        )


class FlowCache:
    """Least-recently-used cache of flows.

    The eviction of an entry never breaks a flow, since its packets then go to all
    candidates. Flows are identified by the bytes of their key (``FlowKey.to_bytes``).

    Args:
        max_flows: Maximum number of entries.
    """

    def __init__(self, max_flows: int = MAX_FLOWS) -> None:
        self._max_flows = max_flows
        self._entries: OrderedDict[bytes, FlowEntry] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, flow: bytes) -> FlowEntry | None:
        """Return the entry of a flow and mark it as used."""
        entry = self._entries.get(flow)
        if entry is not None:
            self._entries.move_to_end(flow)
        return entry

    def confirmed_upstream(self, flow: bytes) -> str | None:
        """Return the upstream that is known to hold the flow."""
        entry = self.get(flow)
        return entry.upstream_id if entry and entry.is_confirmed else None

    def hint(self, flow: bytes, upstream_id: str) -> None:
        """Record the upstream of a SYN, unless the flow is confirmed at another one."""
        entry = self.get(flow)
        if entry is None:
            self._put(flow, FlowEntry(upstream_id, False))
        elif not entry.is_confirmed:
            entry.upstream_id = upstream_id

    def confirm(
        self, flow: bytes, upstream_id: str, caller_seq: int = 0, upstream_seq: int = 0
    ) -> None:
        """Record the upstream that holds the flow."""
        entry = self.get(flow)
        if entry is None:
            self._put(flow, FlowEntry(upstream_id, True, caller_seq, upstream_seq))
            return
        entry.upstream_id = upstream_id
        entry.is_confirmed = True
        entry.caller_seq = caller_seq
        entry.upstream_seq = upstream_seq

    def remove(self, flow: bytes) -> None:
        """Remove a flow."""
        self._entries.pop(flow, None)

    def _put(self, flow: bytes, entry: FlowEntry) -> None:
        self._entries[flow] = entry
        if len(self._entries) > self._max_flows:
            self._entries.popitem(last=False)


def is_in_window(left: int, right: int) -> bool:
    """Return whether two sequence numbers are close, modulo their range."""
    return (left - right + SEQ_WINDOW_BYTES) % SEQ_MODULUS < 2 * SEQ_WINDOW_BYTES


def is_confirmed_at(entry: FlowEntry | None, upstream_id: str) -> bool:
    """Return whether an upstream is known to hold the flow of an entry."""
    return entry is not None and entry.is_confirmed and entry.upstream_id == upstream_id
