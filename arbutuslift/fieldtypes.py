"""Types of the fields of input from outside the system, with their ranges.

What these types accept can be encoded by every codec of the system, so that a value
that has passed them can't raise an error further in.
"""

import json
import re
import socket
from abc import ABC, abstractmethod
from collections.abc import Callable
from functools import cache
from typing import Any, Generic, TypeVar

from attrs import frozen

from .errors import FieldError

T = TypeVar("T")

PairsHook = Callable[[list[tuple[str, object]]], dict[str, object]]

MAX_DEPTH = 32
# Whole numbers are encoded in 64 bits, some of them with a sign.
MAX_INTEGER = 2**63 - 1
MAX_NAME_BYTES = 128
_MAX_SHOWN_CHARACTERS = 40

_BRACKETS = b"[]{}"
_NOT_BRACKETS = bytes(byte for byte in range(256) if byte not in _BRACKETS)
# A string in JSON. Without a last quote it is the rest of the text, so that each quote
# begins a match or is in one, and the search takes a time linear in the length.
_STRING = re.compile(rb'"(?:[^"\\]++|\\.?)*+"?', re.DOTALL)
_ADDRESS = re.compile(r"([0-9.]{7,15}):([1-9][0-9]{0,4})", re.ASCII)
_OCTET = r"(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
IPV4_PATTERN = rf"{_OCTET}(?:\.{_OCTET}){{3}}"
_IPV4 = re.compile(IPV4_PATTERN)
_FIRST_MULTICAST_OCTET = 224
_REQUIRED: Any = object()


class FieldType(ABC, Generic[T]):
    """Type of a field: its values and their range."""

    @abstractmethod
    def read(self, value: object) -> T:
        """Return a value of a field.

        Raises:
            ValueError: It has another type or is out of range; gives the reason.
        """


@frozen
class Integer(FieldType[int]):
    """Whole number from ``minimum`` to ``maximum``; a bool or a fraction is none."""

    minimum: int = 0
    maximum: int = MAX_INTEGER

    def read(self, value: object) -> int:
        """Return the number."""
        if type(value) is not int or not self.minimum <= value <= self.maximum:
            limits = f"from {self.minimum} to {self.maximum}"
            raise ValueError(f"{shown(value)} is no whole number {limits}")
        return value


@frozen
class Number(FieldType[float]):
    """Finite number from ``minimum`` to ``maximum``."""

    minimum: float
    maximum: float

    def read(self, value: object) -> float:
        """Return the number."""
        is_number = type(value) in (int, float)
        if not is_number or not self.minimum <= value <= self.maximum:
            limits = f"from {self.minimum:g} to {self.maximum:g}"
            raise ValueError(f"{shown(value)} is no number {limits}")
        return float(value)


@frozen
class Text(FieldType[str]):
    """Printable text of 1 to ``max_bytes`` bytes of UTF-8."""

    max_bytes: int = MAX_NAME_BYTES

    def read(self, value: object) -> str:
        """Return the text."""
        if not isinstance(value, str) or not value or not value.isprintable():
            raise ValueError(f"{shown(value)} is no printable text")
        if len(value.encode()) > self.max_bytes:
            raise ValueError(f"{shown(value)} is longer than {self.max_bytes} bytes")
        return value


class Ipv4(FieldType[str]):
    """Dotted IPv4 address to which a packet can be sent."""

    def read(self, value: object) -> str:
        """Return the address."""
        if not isinstance(value, str) or not _IPV4.fullmatch(value):
            raise ValueError(f"{shown(value)} is no dotted IPv4 address")
        first_octet = socket.inet_aton(value)[0]
        if not 0 < first_octet < _FIRST_MULTICAST_OCTET:
            raise ValueError(f"{shown(value)} is no address of a machine")
        return value


class IpPort(FieldType[tuple[str, int]]):
    """``ip:port`` with a dotted IPv4 address and a port from 1 to 65535."""

    def read(self, value: object) -> tuple[str, int]:
        """Return the address and the port."""
        found = _ADDRESS.fullmatch(value) if isinstance(value, str) else None
        if found is None:
            raise ValueError(f"{shown(value)} is no ip:port")
        return IPV4.read(found[1]), PORT.read(int(found[2]))


COUNT = Integer()
PORT = Integer(1, 65535)
NAME = Text()
IPV4 = Ipv4()
IP_PORT = IpPort()


class Fields:
    """Fields of one object of the input; each is checked when it is read.

    Args:
        content: The object as decoded from JSON.
        path: Position of the object, or of the list that holds it; empty for the
            whole input.
        index: Index in the list, None if the object isn't in one.

    Raises:
        FieldError: The content is no object.
    """

    __slots__ = ("_content", "_index", "_path")

    def __init__(
        self, content: object, path: str = "", index: int | None = None
    ) -> None:
        self._content = content
        self._path = path
        self._index = index
        if type(content) is not dict:
            raise FieldError(self.path, "must be an object")

    def __contains__(self, name: str) -> bool:
        """Return whether a field is neither missing nor empty."""
        return bool(self._content.get(name))

    def get(self, name: str) -> object:
        """Return the unchecked value of a field, None if it is missing."""
        return self._content.get(name)

    @property
    def path(self) -> str:
        """Return the position of the object in the input."""
        return self._path if self._index is None else f"{self._path}[{self._index}]"

    def read(
        self, name: str, field_type: FieldType[T], default: object = _REQUIRED
    ) -> T:
        """Return the value of a field.

        Args:
            name: Name of the field.
            field_type: Its type.
            default: Value to check if the field is missing; without it the field is
                required.

        Raises:
            FieldError: The field is missing, has another type or is out of range.
        """
        value = self._content.get(name, default)
        if value is _REQUIRED:
            raise FieldError(self.path_of(name), "missing")
        try:
            return field_type.read(value)
        except ValueError as error:
            raise FieldError(self.path_of(name), str(error)) from error

    def read_object(self, name: str) -> "Fields":
        """Return the fields of the object in a field.

        Raises:
            FieldError: The field is missing or holds no object.
        """
        return Fields(self._content.get(name), self.path_of(name))

    def read_objects(self, name: str) -> list["Fields"]:
        """Return the fields of each object in the list in a field.

        Raises:
            FieldError: The field is missing or holds no list of objects.
        """
        rows = self._content.get(name)
        path = self.path_of(name)
        if type(rows) is not list:
            raise FieldError(path, "must be a list")
        return [Fields(row, path, index) for index, row in enumerate(rows)]

    def path_of(self, name: str) -> str:
        """Return the position of a field in the input."""
        path = self.path
        return f"{path}.{name}" if path else name


def parse_json(body: bytes, object_pairs_hook: PairsHook | None = None) -> object:
    """Return the value of a JSON text in UTF-8, nested at most ``MAX_DEPTH`` times.

    Args:
        body: The text.
        object_pairs_hook: Returns an object from its pairs; see ``json.loads``.

    Raises:
        FieldError: It isn't JSON, or it is nested deeper.
    """
    if not _nests_within_limit(body):
        reason = f"brackets that don't match, or nested deeper than {MAX_DEPTH}"
        raise FieldError("", f"not JSON: {reason}")
    try:
        return _decoder(object_pairs_hook).decode(body.decode())
    except ValueError as error:
        raise FieldError("", f"not JSON: {error}") from error


@cache
def _decoder(object_pairs_hook: PairsHook | None) -> json.JSONDecoder:
    return json.JSONDecoder(
        parse_constant=_refuse_constant, object_pairs_hook=object_pairs_hook
    )


def shown(value: object) -> str:
    """Return a short ASCII text that shows a value in messages and logs."""
    if isinstance(value, (list, dict)):
        return f"a {'list' if isinstance(value, list) else 'object'}"
    if isinstance(value, int) and value.bit_length() > MAX_INTEGER.bit_length():
        return f"a number of {value.bit_length()} bits"
    text = ascii(value)
    if len(text) > _MAX_SHOWN_CHARACTERS:
        return text[:_MAX_SHOWN_CHARACTERS] + "..."
    return text


def _nests_within_limit(body: bytes) -> bool:
    # Brackets in strings don't nest, and few texts have any.
    return _is_shallow(body) or (b'"' in body and _is_shallow(_STRING.sub(b"", body)))


def _is_shallow(body: bytes) -> bool:
    """Return whether removing the innermost pairs of brackets leaves none.

    This takes a fraction of the time of parsing.
    """
    brackets = body.translate(None, _NOT_BRACKETS)
    for _ in range(MAX_DEPTH):
        left = brackets.replace(b"{}", b"").replace(b"[]", b"")
        if not left:
            return True
        if len(left) == len(brackets):
            return False
        brackets = left
    return False


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is no number of JSON")
