"""Traces: a span per hop of a sampled packet and of a configuration change."""

from abc import ABC, abstractmethod
from contextlib import AbstractContextManager, nullcontext

import xxhash

RECEIVE, ROUTE, SEND = "receive", "route", "send"
SUBMIT, REPLICATE, APPLY = "submit", "replicate", "apply"

# Offsets in an IPv4 header without options, followed by ports.
_SOURCE_IP = slice(12, 16)
_DESTINATION_IP = slice(16, 20)
_SOURCE_PORT = slice(20, 22)
_DESTINATION_PORT = slice(22, 24)


class Hop:
    """A hop under way; this one records nothing."""

    def note(self, key: str, value: str | int) -> None:
        """Note an attribute."""


class Traces(ABC):
    """Records the hops of sampled packets and of configuration changes.

    Attributes:
        is_enabled: Whether anything is recorded. Packets should take a path without
            any call of this class if not.
    """

    is_enabled = True

    @abstractmethod
    def samples(self, data: bytes) -> bool:
        """Whether the flow of a packet is traced; both directions give the same."""

    @abstractmethod
    def packet_hop(self, name: str, data: bytes) -> AbstractContextManager[Hop]:
        """Record the first hop of a packet at this instance."""

    @abstractmethod
    def hop(self, name: str) -> AbstractContextManager[Hop]:
        """Record a hop inside of the current one."""

    @abstractmethod
    def change_hop(self, name: str, request_id: str) -> AbstractContextManager[Hop]:
        """Record a hop of a configuration change.

        All instances derive the trace from the request identifier, so no trace
        context travels between them.
        """

    @abstractmethod
    def close(self) -> None:
        """Write what was recorded."""


class NoTraces(Traces):
    """Records nothing."""

    is_enabled = False

    def samples(self, data: bytes) -> bool:
        """Return False."""
        return False

    def packet_hop(self, name: str, data: bytes) -> AbstractContextManager[Hop]:
        """Record nothing."""
        return nullcontext(Hop())

    def hop(self, name: str) -> AbstractContextManager[Hop]:
        """Record nothing."""
        return nullcontext(Hop())

    def change_hop(self, name: str, request_id: str) -> AbstractContextManager[Hop]:
        """Record nothing."""
        return nullcontext(Hop())

    def close(self) -> None:
        """Do nothing."""


def flow_of(data: bytes) -> bytes:
    """Return bytes that are equal for both directions of a packet's flow."""
    source = data[_SOURCE_IP] + data[_SOURCE_PORT]
    destination = data[_DESTINATION_IP] + data[_DESTINATION_PORT]
    if source < destination:
        return source + destination
    return destination + source


def is_sampled(data: bytes, threshold: int) -> bool:
    """Whether the hash of a packet's flow is below a threshold of up to 2**64."""
    return xxhash.xxh3_64_intdigest(flow_of(data)) < threshold
