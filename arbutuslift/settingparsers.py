"""Parsers of setting values; each raises ValueError with a reason."""

import ipaddress
import os
import re
from collections.abc import Callable
from pathlib import Path

from attrs import frozen

from .protocol.channel import OPERATOR_PREFIX
from .transport.fabric import Address

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
TRACE_FILE_PREFIX = "file:"
MIN_KEY_BYTES = 16


@frozen
class Seed:
    """An instance to contact first.

    Attributes:
        name: Name of the instance.
        address: Address on which its bus listens.
    """

    name: str
    address: Address


def parse_instance_name(text: str) -> str:
    """Parse the name of an instance, which mustn't have the prefix of operators."""
    if text.startswith(OPERATOR_PREFIX):
        raise ValueError(f"names that begin with {OPERATOR_PREFIX} are operators'")
    return parse_name(text)


def parse_name(text: str) -> str:
    """Parse a name."""
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError("must be letters, digits, dot, hyphen and underscore")
    return text


def parse_address(text: str) -> Address:
    """Parse ip:port."""
    ip, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(ip)
    except ValueError as error:
        raise ValueError("must be ip:port with a dotted IPv4 address") from error
    is_number = port.isascii() and port.isdecimal() and len(port) <= 5
    if not (is_number and 0 < int(port) < 65536):
        raise ValueError("must be ip:port with a port from 1 to 65535")
    return Address(ip, int(port))


def _split_list(text: str) -> list[str]:
    parts = [part.strip() for part in text.split(",")]
    return [part for part in parts if part]


def parse_seeds(text: str) -> tuple[Seed, ...]:
    """Parse a list of name=ip:port."""
    seeds = []
    for part in _split_list(text):
        name, equals, address = part.partition("=")
        if not equals:
            raise ValueError(f"{part} must be name=ip:port")
        seeds.append(Seed(parse_name(name), parse_address(address)))
    _check_unique([seed.name for seed in seeds])
    _check_unique([seed.address for seed in seeds])
    return tuple(seeds)


def parse_members(text: str) -> tuple[str, ...]:
    """Parse a list of names."""
    names = tuple(parse_name(part) for part in _split_list(text))
    _check_unique(names)
    return names


def _check_unique(values: list | tuple) -> None:
    for index, value in enumerate(values):
        if value in values[:index]:
            raise ValueError(f"{value} is given twice")


def choice_parser(choices: tuple[str, ...]) -> Callable[[str], str]:
    """Return a parser that accepts one of the given words."""

    def parse(text: str) -> str:
        if text not in choices:
            raise ValueError(f"must be one of {', '.join(choices)}")
        return text

    return parse


def number_parser(kind: type, low: float, high: float) -> Callable[[str], object]:
    """Return a parser that accepts a number from ``low`` to ``high``."""

    def parse(text: str) -> object:
        try:
            value = kind(text)
        except ValueError as error:
            noun = "a whole number" if kind is int else "a number"
            raise ValueError(f"must be {noun}") from error
        if not low <= value <= high:
            raise ValueError(f"must be from {low} to {high}")
        return value

    return parse


def parse_trace(text: str) -> str:
    """Parse the destination of spans."""
    if text in ("off", "console"):
        return text
    path = text.removeprefix(TRACE_FILE_PREFIX)
    if path in ("", text):
        raise ValueError("must be off, console or file:PATH")
    if not Path(path).parent.is_dir():
        raise ValueError("must be in an existing folder")
    return text


def parse_file(text: str) -> Path:
    """Parse the path of a readable file."""
    path = Path(text)
    if not path.is_file() or not os.access(path, os.R_OK):
        raise ValueError("must be a readable file")
    return path


def parse_key_file(text: str) -> Path:
    """Parse the path of a key file."""
    path = parse_file(text)
    if path.stat().st_size < MIN_KEY_BYTES:
        raise ValueError(f"must hold at least {MIN_KEY_BYTES} bytes")
    return path


def parse_folder(text: str) -> Path:
    """Parse the path of a folder."""
    path = Path(text)
    if not path.is_dir():
        raise ValueError("must be a folder")
    return path


def parse_data_folder(text: str) -> Path:
    """Parse the path of a folder that exists or can be created."""
    path = Path(text)
    if path.exists() and not path.is_dir():
        raise ValueError("must be a folder")
    existing = path if path.exists() else path.parent
    if not existing.is_dir() or not os.access(existing, os.W_OK):
        raise ValueError("must be in a folder that can be written")
    return path
