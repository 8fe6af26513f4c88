"""Routes of one service, and the owners of upstreams' addresses."""

import ipaddress

import xxhash

from ..protocol.document import Service
from ..protocol.packets import PROTOCOL_BYTES, PROTOCOL_TCP, PROTOCOL_UDP
from ..state.generations import GenerationHistory
from ..state.table import SLOT_COUNT
from ..state.upstreams import UpstreamRecord, UpstreamView
from ..transport.fabric import Address

PROTOCOL_NUMBERS = {"tcp": PROTOCOL_TCP, "udp": PROTOCOL_UDP}


class ServiceRoutes:
    """Routes of one service.

    Args:
        service: Its entry in the document.
    """

    def __init__(self, service: Service) -> None:
        self.service = service
        self.history = GenerationHistory(service.name)

    @property
    def key(self) -> bytes:
        """Address, port and protocol, in the form of packets' keys."""
        ip = ipaddress.IPv4Address(self.service.address).packed
        port = self.service.port.to_bytes(2)
        return ip + port + PROTOCOL_BYTES[PROTOCOL_NUMBERS[self.service.protocol]]

    def slot_of(self, flow: bytes) -> int:
        """Return the slot of a flow, given by the bytes of its key."""
        return xxhash.xxh3_64_intdigest(flow) % SLOT_COUNT


class AddressOwners:
    """Knows which upstream was the last to start at each address.

    A record can stay alive for seconds after another process took over its
    address, possibly for another service. Packets mustn't go to it any more.

    Args:
        view: Records of upstreams.
    """

    def __init__(self, view: UpstreamView) -> None:
        self._view = view
        self._owners: dict[Address, str] = {}
        self._superseded: set[str] = set()

    def note(self, records: list[UpstreamRecord]) -> set[str]:
        """Take records, also those of upstreams that are gone.

        Returns:
            Services of upstreams that lost their address.
        """
        affected = set()
        for record in records:
            address = Address(record.address, record.port)
            owner = self._view.get(self._owners.get(address, ""))
            if owner is not None and owner.upstream_id == record.upstream_id:
                continue
            if owner is not None and _starts_after(owner, record):
                self._superseded.add(record.upstream_id)
                continue
            self._owners[address] = record.upstream_id
            if owner is not None:
                self._superseded.add(owner.upstream_id)
                affected.add(owner.service)
        return affected

    def owns_address(self, record: UpstreamRecord) -> bool:
        """Whether no later process started at the address of an upstream."""
        return record.upstream_id not in self._superseded

    def successor(self, record: UpstreamRecord) -> UpstreamRecord | None:
        """Return the upstream that was the last to start at the address."""
        owner_id = self._owners.get(Address(record.address, record.port), "")
        return self._view.get(owner_id)


def _starts_after(left: UpstreamRecord, right: UpstreamRecord) -> bool:
    """Whether the left process started later; equal times are ordered by identity."""
    return (left.started_at_s, left.upstream_id) > (
        right.started_at_s,
        right.upstream_id,
    )
