"""Packets of callers in the form that entry instances use for any wire format."""

from abc import ABC, abstractmethod


class CallerPacket:
    """The fields of a caller's packet by which it is routed.

    Attributes:
        flow: Key of the flow: addresses and ports of both ends.
        service_ip: Address that the caller uses, 4 bytes.
        service_port: Port that the caller uses.
        caller_ip: Address of the caller, 4 bytes.
        tag: Flow tag, 0 if the packet carries none.
        is_syn: Whether the packet opens a flow.
        is_fin: Whether the caller sends no more data after it.
        is_reset: Whether the caller resets the flow.
        seq: Sequence number.
        ack: Acknowledged sequence number; in a SYN the number of earlier copies sent.
        data_length_bytes: Length of the data.
        datagram: The packet as it was received.
    """

    __slots__ = (
        "ack",
        "caller_ip",
        "data_length_bytes",
        "datagram",
        "flow",
        "is_fin",
        "is_reset",
        "is_syn",
        "seq",
        "service_ip",
        "service_port",
        "tag",
    )

    def __init__(
        self,
        *,
        flow: bytes,
        service_ip: bytes,
        service_port: int,
        caller_ip: bytes,
        tag: int = 0,
        is_syn: bool = False,
        is_fin: bool = False,
        is_reset: bool = False,
        seq: int = 0,
        ack: int = 0,
        data_length_bytes: int = 0,
        datagram: bytes = b"",
    ) -> None:
        self.flow = flow
        self.service_ip = service_ip
        self.service_port = service_port
        self.caller_ip = caller_ip
        self.tag = tag
        self.is_syn = is_syn
        self.is_fin = is_fin
        self.is_reset = is_reset
        self.seq = seq
        self.ack = ack
        self.data_length_bytes = data_length_bytes
        self.datagram = datagram


class PacketCodec(ABC):
    """Codec of callers' packets and of the datagrams that an instance sends."""

    @abstractmethod
    def decode(self, datagram: bytes) -> CallerPacket:
        """Return the packet in a datagram.

        Raises:
            PacketError: The datagram contains no valid packet.
        """

    @abstractmethod
    def encapsulate(self, datagram: bytes, number: int, tag: int) -> bytes:
        """Return the datagram that forwards a packet to an upstream.

        Args:
            datagram: The packet as it was received.
            number: Number of the upstream.
            tag: Flow tag to write.
        """

    @abstractmethod
    def encode_reset(self, packet: CallerPacket) -> bytes:
        """Return a datagram that resets the flow of a packet at the caller."""

    @abstractmethod
    def request_id(self, datagram: bytes) -> str:
        """Return the request id if the packet begins a request, else an empty text."""
