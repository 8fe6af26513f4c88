"""Exception hierarchy of the package."""

from attrs import frozen


@frozen
class Fault:
    """One fault of an input.

    Attributes:
        path: Position in the input, such as ``services[0].port``.
        reason: What is wrong at this position.
        rule: Name of the rule of the configuration that it breaks; empty for others.
        line: Line in the file, from 1; 0 if unknown.
    """

    path: str
    reason: str
    rule: str = ""
    line: int = 0

    def __str__(self) -> str:
        text = f"{self.path}: {self.reason}" if self.path else self.reason
        return f"line {self.line}: {text}" if self.line else text


class ArbutusliftError(Exception):
    """Base of every error raised by the package.

    Args:
        message: What went wrong.
        step: The operation during which it went wrong, such as ``decode packet``.
        peer: The process or file on the other side, if there is one.
    """

    def __init__(self, message: str, *, step: str, peer: str | None = None) -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = f" (peer {self.peer})" if self.peer else ""
        return f"{self.step}: {self.message}{where}"


class FieldError(ArbutusliftError):
    """A field of input from outside that is missing, malformed or out of range.

    Args:
        path: Position of the field in the input, empty for the whole input.
        reason: What is wrong with it.
    """

    def __init__(self, path: str, reason: str) -> None:
        message = f"{path}: {reason}" if path else reason
        super().__init__(message, step="read field")
        self.path = path
        self.reason = reason


class PacketError(ArbutusliftError):
    """A datagram that isn't a valid packet."""


class InputError(ArbutusliftError):
    """An input with faults.

    Args:
        faults: Every fault that was found, or the reason of a single one.
        step: The operation during which they were found.
        peer: The process or file on the other side, if there is one.
    """

    def __init__(
        self, faults: tuple[Fault, ...] | str, *, step: str, peer: str | None = None
    ) -> None:
        if isinstance(faults, str):
            faults = (Fault("", faults),)
        super().__init__("; ".join(map(str, faults)), step=step, peer=peer)
        self.faults = faults


class SettingsError(InputError):
    """Invalid settings; lists every fault."""


class DocumentError(InputError):
    """An invalid configuration document; lists every fault."""


class AnnouncementError(ArbutusliftError):
    """An upstream's announcement that is malformed or not allowed."""


class TransportError(ArbutusliftError):
    """A socket or endpoint can't be used."""


class PeerTimeout(TransportError):
    """A peer didn't answer in time; whether it processed the request is unknown."""


class MessageError(ArbutusliftError):
    """A message between processes that is malformed or unexpected."""


class PeerFailure(ArbutusliftError):
    """A peer answered that processing the request failed."""


class NoQuorum(ArbutusliftError):
    """No quorum of members answered; whether a change was accepted is unknown."""


class ConfigurationConflict(ArbutusliftError):
    """A document was based on a revision that is no longer current.

    Args:
        message: What went wrong.
        current: The current revision, a ``StoredRevision`` or, at the client, a
            ``Configuration``; None if there is none.
        step: The operation during which it went wrong.
        peer: The process on the other side.
    """

    def __init__(
        self,
        message: str,
        *,
        current: object,
        step: str,
        peer: str | None = None,
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.current = current


class ChangeNotAccepted(ArbutusliftError):
    """A change was refused; it certainly wasn't made and won't be."""


class OrderAbandoned(ChangeNotAccepted):
    """An order that its sender no longer waits for, and that wasn't carried out."""


class OutcomeUnknown(ArbutusliftError):
    """It is unknown whether a change was made, since no answer says so."""


class ServersUnreachable(TransportError):
    """No server answered; no request was sent to any of them."""


class UsageError(ArbutusliftError):
    """An invalid command line."""


class RequestReused(ArbutusliftError):
    """A request_id was reused with another document or expected revision."""


class BootstrapError(ArbutusliftError):
    """The initial members can't form a cluster; an operator must intervene."""


class MembershipChangeError(ArbutusliftError):
    """A change of members can't be made."""


class StorageError(ArbutusliftError):
    """A file of the data folder can't be read or written; the peer is its path."""


class TaskFailed(ArbutusliftError):
    """A task of the process ended with an unhandled error."""
