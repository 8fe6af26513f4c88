"""Cost of decoding input, by kind of text and length, and how it grows."""

import json
import math
import statistics
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from arbutuslift.errors import ArbutusliftError
from arbutuslift.loglines import MAX_LINE_CHARACTERS, LogReader
from arbutuslift.protocol.documentfile import parse_json as parse_document
from arbutuslift.protocol.messages import decode as decode_message

from .result import Measure, at_most

PLATFORM = Path(__file__).parents[1] / "platform"

LENGTHS_BYTES = (16_384, 32_768, 65_536, 131_072, 262_144)
REPEATS = 5
# A cost that grows with the length has an exponent of 1, one with its square of 2.
MAX_EXPONENT = 1.3
ROUTE = {
    "name": "r",
    "path_prefix": "/8443/",
    "route_type": "safe",
    "timeout_ms": 1000,
    "priority": 2,
    "service": "one",
}
SERVICE = {"name": "one", "max_conns": 2000}

Decode = Callable[[bytes], object]
Text = Callable[[int], bytes]


def measure() -> list[Measure]:
    """Decode texts of doubled lengths with each decoder."""
    measures = []
    for decoder, decode in _decoders().items():
        for kind, text in TEXTS.items():
            measures += _measure(f"{decoder}, {kind}", decode, text)
    return measures


def _measure(name: str, decode: Decode, text: Text) -> list[Measure]:
    durations_s = [_duration_s(decode, text(length)) for length in LENGTHS_BYTES]
    largest_kb = LENGTHS_BYTES[-1] / 1024
    exponent = math.log(durations_s[-1] / durations_s[0]) / math.log(
        LENGTHS_BYTES[-1] / LENGTHS_BYTES[0]
    )
    cost_us = 1e6 * durations_s[-1] / largest_kb
    return [
        Measure(name=f"{name}: cost per KB", figure=round(cost_us, 2), unit="us"),
        at_most(f"{name}: exponent", round(exponent, 2), "", MAX_EXPONENT),
    ]


def _duration_s(decode: Decode, body: bytes) -> float:
    durations_s = []
    for _ in range(REPEATS):
        started_s = time.perf_counter()
        with suppress(ArbutusliftError):
            decode(body)
        durations_s.append(time.perf_counter() - started_s)
    return statistics.median(durations_s)


def _decoders() -> dict[str, Decode]:
    # The platform's folder isn't a package; see its ``__main__``.
    sys.path.append(str(PLATFORM))
    from adapter.announcements import decode_announcement
    from adapter.configurations import decode_configuration

    return {
        "configuration": decode_configuration.__wrapped__,
        "status report": lambda body: decode_announcement("i-1", body),
        "document": parse_document,
        "message of a peer": decode_message,
        "log lines": _read_log,
    }


def _read_log(body: bytes) -> None:
    text = body.decode()
    lines = (
        text[start : start + MAX_LINE_CHARACTERS]
        for start in range(0, len(text), MAX_LINE_CHARACTERS)
    )
    list(LogReader().read(lines))


def _good(length: int) -> bytes:
    count = length // len(json.dumps(ROUTE | {"host": "198.18.100.100"}))
    routes = [
        ROUTE | {"host": f"198.18.{number // 250}.{1 + number % 250}"}
        for number in range(count)
    ]
    limits = {"idle_timeout_ms": 15000}
    content = {"version": 3, "routes": routes, "services": [SERVICE], "limits": limits}
    return json.dumps(content).encode()


def _encoded_twice_and_cut(length: int) -> bytes:
    return json.dumps(_good(length).decode()).encode()[: int(0.95 * length)]


TEXTS: dict[str, Text] = {
    "well-formed": _good,
    "cut": lambda length: _good(length)[: int(0.95 * length)],
    "encoded twice and cut": _encoded_twice_and_cut,
    "opening brackets": lambda length: b"[" * length,
    "pairs of brackets": lambda length: b"[" * (length // 2) + b"]" * (length // 2),
    "escaped quotes": lambda length: b'{"' + b'\\"' * (length // 2),
    "names with quotes": lambda length: b'a="' * (length // 3),
    "one word": lambda length: b"a" * length,
}
