"""Tracing: spans of sampled packets and of configuration changes."""

import struct
from abc import ABC, abstractmethod
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext

import xxhash

RECEIVE, ROUTE, SEND = "receive", "route", "send"
SUBMIT, REPLICATE, APPLY = "submit", "replicate", "apply"

# Offsets in an IPv4 header without options, followed by ports.
_SOURCE_IP = slice(12, 16)
_DESTINATION_IP = slice(16, 20)
_SOURCE_PORT = slice(20, 22)
_DESTINATION_PORT = slice(22, 24)
# Both addresses, then both ports, at offset 12.
_ENDPOINTS = struct.Struct(">IIHH").unpack_from

# 2**32 divided by the golden ratio. Multiplication by it (Fibonacci hashing) gives
# consecutive numbers hashes that are far apart.
_HASH_FACTOR = 0x9E3779B1
_HASH_MASK = 2**32 - 1


class Span:
    """An open span; this base class records nothing."""

    def set_attribute(self, key: str, value: str | int) -> None:
        """Set an attribute of the span."""


class Tracer(ABC):
    """Records spans of sampled packets and of configuration changes.

    Attributes:
        is_enabled: Whether anything is recorded. If not, the packet path should
            contain no calls of this class.
    """

    is_enabled = True

    @abstractmethod
    def sampler(self) -> Callable[[bytes], bool]:
        """Return a predicate that is true for packets of traced flows."""

    @abstractmethod
    def packet_span(self, name: str, data: bytes) -> AbstractContextManager[Span]:
        """Record the first span of a packet at this instance."""

    @abstractmethod
    def span(self, name: str) -> AbstractContextManager[Span]:
        """Record a child span of the current one."""

    @abstractmethod
    def change_span(self, name: str, request_id: str) -> AbstractContextManager[Span]:
        """Record a span of a configuration change.

        All instances derive the trace from the request identifier, so they don't
        propagate a trace context.
        """

    @abstractmethod
    def close(self) -> None:
        """Write the remaining spans."""


class NoOpTracer(Tracer):
    """Records nothing."""

    is_enabled = False

    def sampler(self) -> Callable[[bytes], bool]:
        """Return a predicate that is always false."""
        return flow_sampler(0.0)

    def packet_span(self, name: str, data: bytes) -> AbstractContextManager[Span]:
        """Record nothing."""
        return nullcontext(Span())

    def span(self, name: str) -> AbstractContextManager[Span]:
        """Record nothing."""
        return nullcontext(Span())

    def change_span(self, name: str, request_id: str) -> AbstractContextManager[Span]:
        """Record nothing."""
        return nullcontext(Span())

    def close(self) -> None:
        """Do nothing."""


def flow_key(data: bytes) -> bytes:
    """Return a key of a packet's flow that is equal for both directions."""
    source = data[_SOURCE_IP] + data[_SOURCE_PORT]
    destination = data[_DESTINATION_IP] + data[_DESTINATION_PORT]
    if source < destination:
        return source + destination
    return destination + source


def flow_sampler(ratio: float) -> Callable[[bytes], bool]:
    """Return a predicate that is true for packets of sampled flows.

    Both directions of a flow give the same result on every instance. The predicate is
    evaluated for every packet, so it is one symmetric expression of the endpoints.

    Args:
        ratio: Fraction of the flows that belong to the sample.
    """
    threshold = int(ratio * (_HASH_MASK + 1))
    endpoints = _ENDPOINTS

    def samples(data: bytes) -> bool:
        try:
            source, destination, source_port, destination_port = endpoints(data, 12)
        except struct.error:
            # Without a complete header no flow can be determined.
            return xxhash.xxh3_64_intdigest(data) & _HASH_MASK < threshold
        key = source ^ destination ^ source_port ^ destination_port
        return key * _HASH_FACTOR & _HASH_MASK < threshold

    return samples
