"""State that control instances agree on, and the orders that change it."""

from functools import singledispatch

from attrs import evolve, frozen

from .codec import decode_value, encode_value
from .configuration import MAX_DOCUMENT_BYTES

MAX_VERSION = 2**63 - 1
# Room in a document for the version and the names of the data centres out of service.
_STATE_BYTES = 64 * 1024
MAX_SOURCE_BYTES = MAX_DOCUMENT_BYTES - _STATE_BYTES


@frozen(kw_only=True)
class AgreedState:
    """Current configuration, and the data centres out of service.

    Attributes:
        version: Version of the configuration, assigned by the operators; 0 before the
            first one.
        source: The configuration as the operator sent it.
        out_of_service: Names of data centres, sorted.
    """

    version: int = 0
    source: bytes = b""
    out_of_service: tuple[str, ...] = ()

    def encode(self) -> bytes:
        """Return the state as the document of a revision."""
        return encode_value(self)

    @staticmethod
    def decode(document: bytes) -> "AgreedState":
        """Return the state in the document of a revision.

        Raises:
            StorageError: The document isn't an encoded state.
        """
        return decode_value(document, AgreedState)


@frozen(kw_only=True)
class PutConfiguration:
    """Order to accept a validated configuration; the highest version takes effect.

    Attributes:
        version: Version of the configuration, assigned by the operators.
        source: The configuration as the operator sent it.
    """

    version: int
    source: bytes


@frozen(kw_only=True)
class SetInService:
    """Order to put a data centre in or out of service."""

    data_centre: str
    in_service: bool


Order = PutConfiguration | SetInService


@singledispatch
def is_fenced(order: object) -> bool:
    """Return whether an order carries a number by which a newer one supersedes it.

    An order without one takes effect whenever it is applied, even long after its
    sender has given it up and sent others.
    """
    raise TypeError(f"{type(order).__name__} is not an order")


@is_fenced.register
def _is_put_fenced(order: PutConfiguration) -> bool:
    del order
    return True


@is_fenced.register
def _is_set_in_service_fenced(order: SetInService) -> bool:
    del order
    return False


@singledispatch
def apply_order(order: object, state: AgreedState) -> AgreedState:
    """Return the state after an order, which is idempotent."""
    raise TypeError(f"{type(order).__name__} is not an order")


@apply_order.register
def _put(order: PutConfiguration, state: AgreedState) -> AgreedState:
    # A version beyond the range, which an earlier version of this program accepted,
    # would shut out every later configuration.
    if order.version <= state.version <= MAX_VERSION:
        return state
    return evolve(state, version=order.version, source=order.source)


@apply_order.register
def _set_in_service(order: SetInService, state: AgreedState) -> AgreedState:
    out = set(state.out_of_service)
    if order.in_service:
        out.discard(order.data_centre)
    else:
        out.add(order.data_centre)
    return evolve(state, out_of_service=tuple(sorted(out)))
