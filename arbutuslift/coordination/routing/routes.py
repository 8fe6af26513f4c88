"""Routing state of one service: its slot tables and the slot of each flow."""

import ipaddress

import xxhash

from ...protocol.document import Service
from ...protocol.packets import PROTOCOL_BYTES, PROTOCOL_TCP, PROTOCOL_UDP
from ...state.generations import GenerationHistory
from ...state.slottable import SLOT_COUNT

PROTOCOL_NUMBERS = {"tcp": PROTOCOL_TCP, "udp": PROTOCOL_UDP}


class ServiceRoutes:
    """Routing state of one service.

    Args:
        service: Its entry in the document.
    """

    def __init__(self, service: Service) -> None:
        self.service = service
        self.history = GenerationHistory(service.name)

    @property
    def key(self) -> bytes:
        """Return address, port and protocol, as packed in the keys of packets."""
        ip = ipaddress.IPv4Address(self.service.address).packed
        port = self.service.port.to_bytes(2)
        return ip + port + PROTOCOL_BYTES[PROTOCOL_NUMBERS[self.service.protocol]]

    def slot_of(self, flow: bytes) -> int:
        """Return the slot of a flow.

        Args:
            flow: Bytes of the flow's key.
        """
        return xxhash.xxh3_64_intdigest(flow) % SLOT_COUNT
