"""Strict codec of attrs objects: as rows without names, or as maps by field names.

Values aren't converted between types: a float isn't accepted as an integer, nor a
number as bytes. The codec of a class is built when an object of it is first encoded or
decoded, because an entry process, which has only a small share of a core, uses few of
the classes that it loads.
"""

import math
import types
from collections import Counter
from collections.abc import Callable
from enum import Enum
from functools import cache
from typing import Any, TypeVar, get_args, get_origin

import attrs
from attrs import frozen

T = TypeVar("T")

Convert = Callable[[Any], Any]

_Decode = Callable[[Any, type], Any]

_PLAIN = (int, str, bytes, bool)
_DECODING_ERRORS = (ArithmeticError, TypeError, ValueError)

# Metadata of a field with a tuple of records that don't depend on each other: one that
# can't be decoded costs itself, not the others.
INDEPENDENT_ITEMS = {"are_items_independent": True}

# Numbers of records that couldn't be decoded, by the field that holds them.
dropped_items: Counter[str] = Counter()


@frozen
class _Column:
    """How one field is encoded and decoded.

    Attributes:
        name: Name of the field.
        plain: Type of a value that is encoded unchanged, None for other types.
        encode: Returns the encoded form of a value.
        decode: Returns the value of an encoded form; raises TypeError or ValueError.
    """

    name: str
    plain: type | None
    encode: Convert
    decode: Convert


def to_row(value: Any) -> list[Any]:
    """Return the values of an attrs object, ready for msgpack."""
    return [_encoded(value, column) for column in _columns_of(type(value))]


def from_row(row: Any, value_type: type[T], *, ignores_extra_values: bool = False) -> T:
    """Return the object in a row.

    Args:
        row: Decoded msgpack.
        value_type: Class of the object.
        ignores_extra_values: Whether values after the last field are ignored; a newer
            version of the sender may have added them.

    Raises:
        TypeError: A value has a wrong type, or a field without a default is missing.
        ValueError: A value isn't permitted, or there are too many.
        ArithmeticError: A number is too large for its field.
    """
    if type(row) is not list:
        raise TypeError(f"expected a row, got {type(row).__name__}")
    columns = _columns_of(value_type)
    if len(row) > len(columns) and not ignores_extra_values:
        raise ValueError(f"{len(row)} values for {len(columns)} fields")
    pairs = zip(columns, row, strict=False)
    return value_type(
        **{column.name: _decoded(value, column) for column, value in pairs}
    )


def to_map(value: Any) -> dict[str, Any]:
    """Return an attrs object, and all objects in it, as maps by field names."""
    columns = _named_columns_of(type(value))
    return {column.name: _encoded(value, column) for column in columns}


def from_map(fields: Any, value_type: type[T]) -> T:
    """Return the object in a map by field names.

    Raises:
        TypeError: A value has a wrong type, or a field without a default is missing.
        ValueError: A value isn't permitted, or a field is unknown.
        ArithmeticError: A number is too large for its field.
    """
    if type(fields) is not dict:
        raise TypeError(f"expected a map, got {type(fields).__name__}")
    columns = _named_columns_of(value_type)
    unknown = fields.keys() - {column.name for column in columns}
    if unknown:
        raise ValueError(f"unknown fields {sorted(map(str, unknown))}")
    present = (column for column in columns if column.name in fields)
    return value_type(**{c.name: _decoded(fields[c.name], c) for c in present})


def _encoded(value: Any, column: _Column) -> Any:
    field_value = getattr(value, column.name)
    return field_value if column.plain else column.encode(field_value)


def _decoded(value: Any, column: _Column) -> Any:
    if column.plain is None:
        return column.decode(value)
    if type(value) is not column.plain:
        raise _wrong_type(value, column.plain)
    return value


@cache
def _columns_of(owner: type) -> tuple[_Column, ...]:
    return _columns(owner, to_row, from_row)


@cache
def _named_columns_of(owner: type) -> tuple[_Column, ...]:
    return _columns(owner, to_map, from_map)


def _columns(owner: type, encode: Convert, decode: _Decode) -> tuple[_Column, ...]:
    attrs.resolve_types(owner)
    factory = _ColumnFactory(encode, decode)
    return tuple(
        factory.independent_column(field.name, field.type)
        if field.metadata.get("are_items_independent")
        else factory.column(field.name, field.type)
        for field in attrs.fields(owner)
    )


@frozen
class _ColumnFactory:
    """Builds columns with the codec of the objects that fields hold.

    Attributes:
        encode: Encodes an attrs object.
        decode: Decodes an attrs object, given its class.
    """

    encode: Convert
    decode: _Decode

    def column(self, name: str, value_type: Any) -> _Column:
        """Return the column of a field."""
        plain = value_type if value_type in _PLAIN else None
        encode, decode = self._converters(value_type)
        return _Column(name, plain, encode, decode)

    def independent_column(self, name: str, value_type: Any) -> _Column:
        """Return the column of a field whose items are decoded one by one."""
        encode, _ = self._converters(value_type)
        _, decode_item = self._converters(get_args(value_type)[0])

        def decode_good(values: Any) -> tuple[Any, ...]:
            items = []
            for value in _check_type(values, list):
                try:
                    items.append(decode_item(value))
                except _DECODING_ERRORS:
                    dropped_items[name] += 1
            return tuple(items)

        return _Column(name, None, encode, decode_good)

    def _converters(self, value_type: Any) -> tuple[Convert, Convert]:
        """Return the functions that encode and decode values of a type.

        Raises:
            TypeError: Values of this type can't be encoded.
        """
        if value_type in _PLAIN:
            return _unchanged, lambda value: _check_type(value, value_type)
        if value_type is float:
            return _unchanged, _check_finite
        if get_origin(value_type) is tuple:
            return self._tuple_converters(value_type)
        if get_origin(value_type) is types.UnionType:
            return self._optional_converters(value_type)
        if isinstance(value_type, type) and issubclass(value_type, Enum):
            return _value_of, lambda value: _enum_member(value, value_type)
        if attrs.has(value_type):
            return self.encode, lambda value: self.decode(value, value_type)
        raise TypeError(f"no codec for {value_type}")

    def _tuple_converters(self, value_type: Any) -> tuple[Convert, Convert]:
        element, *rest = get_args(value_type)
        if rest != [Ellipsis]:
            raise TypeError(f"no codec for {value_type}")
        encode, decode = self._converters(element)

        def encode_all(values: tuple[Any, ...]) -> list[Any]:
            return [encode(value) for value in values]

        def decode_all(values: Any) -> tuple[Any, ...]:
            return tuple([decode(value) for value in _check_type(values, list)])

        return encode_all, decode_all

    def _optional_converters(self, value_type: Any) -> tuple[Convert, Convert]:
        present = [kind for kind in get_args(value_type) if kind is not types.NoneType]
        if len(present) != 1:
            raise TypeError(f"no codec for {value_type}")
        encode, decode = self._converters(present[0])
        return (
            lambda value: None if value is None else encode(value),
            lambda value: None if value is None else decode(value),
        )


def _unchanged(value: Any) -> Any:
    return value


def _value_of(member: Enum) -> Any:
    return member.value


def _check_type(value: Any, value_type: type) -> Any:
    if type(value) is not value_type:
        raise _wrong_type(value, value_type)
    return value


def _check_finite(value: Any) -> float:
    if type(value) not in (int, float) or not math.isfinite(value):
        raise TypeError("not a finite number")
    return float(value)


def _enum_member(value: Any, value_type: type[Enum]) -> Enum:
    if type(value) not in (int, str):
        raise _wrong_type(value, value_type)
    return value_type(value)


def _wrong_type(value: Any, value_type: type) -> TypeError:
    return TypeError(f"expected {value_type.__name__}, got {type(value).__name__}")
