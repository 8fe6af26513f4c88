"""Transfer of all records from one peer, in pages."""

from ...errors import MessageError, PeerFailure, PeerTimeout
from ...protocol.channel import Channel
from ...protocol.gossip import RecordItem, StatePage, StatePageWanted
from ...protocol.records import encode_record
from ...state.recordindex import LEAF_COUNT
from .gossip import Gossip

MAX_PAGE_BYTES = 64 * 1024
# Leaves room for the records that exceed this limit and for the message overhead.
PAGE_FILL_BYTES = 60 * 1024
ITEM_OVERHEAD_BYTES = 24
TIMEOUT_S = 2.0


class StateTransfer:
    """Serves all records to peers in pages, and fetches them from a peer.

    Pages are ordered by the name of the kind and the number of the leaf, which are the
    same on all instances, so that a transfer can continue with another peer.

    Args:
        channel: Connection to the peers.
        gossip: Holds the records.
        data_centre: Data centre of this instance.
    """

    def __init__(self, channel: Channel, gossip: Gossip, data_centre: str) -> None:
        self._channel = channel
        self._gossip = gossip
        self._data_centre = data_centre
        channel.register_handler(StatePageWanted, self._answer)

    async def fetch(self, peers: list[str]) -> None:
        """Fetch all records; continue with the next peer if one fails.

        Raises:
            PeerTimeout: No peer was left before the transfer was complete.
            MessageError: A peer sent a malformed answer.
        """
        remaining = list(peers)
        position = StatePageWanted(kind="", leaf=0, data_centre=self._data_centre)
        while True:
            if not remaining:
                raise PeerTimeout(
                    "no peer completed the transfer", step="fetch full state"
                )
            try:
                page = await self._channel.request(remaining[0], position, TIMEOUT_S)
            except (PeerTimeout, PeerFailure):
                remaining.pop(0)
                continue
            if not isinstance(page, StatePage):
                raise MessageError(
                    "answer is not a StatePage",
                    step="fetch full state",
                    peer=remaining[0],
                )
            for item in page.items:
                self._gossip.merge_item(item, is_unknown_to_peers=False)
            if not page.next_kind:
                return
            next_position = (page.next_kind, page.next_leaf)
            if next_position <= (position.kind, position.leaf):
                raise MessageError(
                    "next page does not advance",
                    step="fetch full state",
                    peer=remaining[0],
                )
            position = StatePageWanted(
                kind=page.next_kind, leaf=page.next_leaf, data_centre=self._data_centre
            )

    async def _answer(self, peer: str, wanted: StatePageWanted) -> StatePage:
        reconciler = self._gossip.reconciler
        items: list[RecordItem] = []
        size_bytes = 0
        for kind in reconciler.kinds(wanted.data_centre == self._data_centre):
            if kind < wanted.kind:
                continue
            first = max(0, wanted.leaf) if kind == wanted.kind else 0
            for leaf in range(first, LEAF_COUNT):
                leaf_items = [
                    RecordItem(kind=kind, body=encode_record(record))
                    for record in reconciler.records_in(kind, leaf)
                ]
                size_bytes += sum(
                    len(item.body) + ITEM_OVERHEAD_BYTES for item in leaf_items
                )
                if items and size_bytes > PAGE_FILL_BYTES:
                    return StatePage(items=tuple(items), next_kind=kind, next_leaf=leaf)
                items.extend(leaf_items)
        return StatePage(items=tuple(items), next_kind="", next_leaf=0)
