"""Identity of a flow."""

import struct

from attrs import frozen


@frozen
class Endpoint:
    """One end of a flow.

    Attributes:
        ip: IPv4 address in network order, 4 bytes.
        port: Port number.
    """

    ip: bytes
    port: int


@frozen(cache_hash=True)
class FlowKey:
    """Identity of a flow, the same for both directions.

    Attributes:
        caller: The caller's end.
        service: The service's end.
        protocol: IP protocol number.
    """

    caller: Endpoint
    service: Endpoint
    protocol: int

    def to_bytes(self) -> bytes:
        """Return 13 bytes that identify the flow."""
        return struct.pack(
            ">4sH4sHB",
            self.caller.ip,
            self.caller.port,
            self.service.ip,
            self.service.port,
            self.protocol,
        )
