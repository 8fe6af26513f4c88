"""Converter for what peers send: no value is turned into another type."""

import math
from enum import Enum
from typing import Any

from cattrs import Converter
from cattrs.preconf.msgpack import make_converter


def make_strict_converter(*, forbid_extra_keys: bool) -> Converter:
    """Return a msgpack converter that refuses values of the wrong type.

    By default cattrs calls the type: a float becomes an integer that msgpack can't
    encode again, and a number given for bytes allocates that many.
    """
    converter = make_converter(forbid_extra_keys=forbid_extra_keys)
    for wanted in (int, str, bytes, bool):
        converter.register_structure_hook(wanted, _structure_same)
    converter.register_structure_hook(float, _structure_float)
    return converter


def _structure_same(value: Any, wanted: type) -> Any:
    # The hook of a class also gets the enumerations derived from it.
    if issubclass(wanted, Enum):
        if type(value) not in (int, str):
            raise TypeError(f"{type(value).__name__} instead of {wanted.__name__}")
        return wanted(value)
    if type(value) is not wanted:
        raise TypeError(f"{type(value).__name__} instead of {wanted.__name__}")
    return value


def _structure_float(value: Any, wanted: type) -> float:
    if type(value) not in (int, float) or not math.isfinite(value):
        raise TypeError("not a finite number")
    return float(value)
