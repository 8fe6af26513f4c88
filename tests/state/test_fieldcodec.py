"""Codec of attrs objects: round trip, and no conversion between types."""

from enum import IntEnum

import msgpack
import pytest
from attrs import frozen

from arbutuslift.state.fieldcodec import from_map, from_row, to_map, to_row


class Grade(IntEnum):
    LOW = 1
    HIGH = 2


@frozen(kw_only=True)
class Inner:
    name: str
    grade: Grade


@frozen(kw_only=True)
class Outer:
    count: int
    ratio: float
    body: bytes
    is_open: bool
    inner: Inner
    many: tuple[Inner, ...]
    names: tuple[str, ...]
    maybe: Inner | None
    added: int = 7


INNER = Inner(name="a", grade=Grade.HIGH)
OUTER = Outer(
    count=3,
    ratio=0.5,
    body=b"\xff",
    is_open=True,
    inner=INNER,
    many=(INNER, INNER),
    names=("a", "b"),
    maybe=None,
    added=1,
)


def round_trip(value: object) -> list:
    """Return the row of an object after a round trip through msgpack."""
    return msgpack.unpackb(msgpack.packb(to_row(value)))


def test_a_decoded_object_equals_the_encoded_one():
    assert from_row(round_trip(OUTER), Outer) == OUTER
    assert type(from_row(round_trip(OUTER), Outer).inner.grade) is Grade


def test_a_field_that_an_older_version_lacks_has_its_default():
    """Guards against a new version that can't decode the rows of an older one."""
    assert from_row(round_trip(OUTER)[:-1], Outer).added == 7


def test_extra_values_of_a_newer_version_are_ignored_only_on_request():
    row = [*round_trip(INNER), "newer"]
    assert from_row(row, Inner, ignores_extra_values=True) == INNER
    with pytest.raises(ValueError, match="3 values"):
        from_row(row, Inner)


@pytest.mark.parametrize(
    ("position", "value"),
    [
        (0, 1.0),
        (0, True),
        (0, "1"),
        (1, float("nan")),
        (1, float("inf")),
        (1, True),
        (2, "text"),
        (2, 5),
        (3, 1),
        (4, None),
        (4, {}),
        (4, ["a", 3]),
        (4, ["a", 2.0]),
        (4, ["a", True]),
        (4, ["a"]),
        (5, "aa"),
        (5, [["a", 2], 1]),
        (6, "ab"),
        (6, [b"a"]),
        (7, 0),
        (8, None),
    ],
)
def test_a_value_of_another_type_is_refused(position, value):
    """Guards against values of another type, such as a string in place of a list."""
    row = round_trip(OUTER)
    row[position] = value
    with pytest.raises((TypeError, ValueError)):
        from_row(row, Outer)


def test_a_map_holds_the_names_of_all_fields():
    """Guards against stored values that a later version can't decode."""
    stored = msgpack.unpackb(msgpack.packb(to_map(OUTER)))
    assert stored["inner"] == {"name": "a", "grade": 2}
    assert stored["many"] == [stored["inner"], stored["inner"]]
    assert from_map(stored, Outer) == OUTER
    del stored["added"]
    assert from_map(stored, Outer).added == 7


@pytest.mark.parametrize(
    "changes",
    [
        {"unknown": 1},
        {1: 2},
        {"count": "3"},
        {"inner": ["a", 2]},
        {"inner": {"name": "a"}},
        {"inner": {"name": "a", "grade": 9}},
        {"many": {}},
    ],
)
def test_a_map_that_does_not_match_the_class_is_refused(changes):
    stored = to_map(OUTER) | changes
    with pytest.raises((TypeError, ValueError)):
        from_map(stored, Outer)
    with pytest.raises(TypeError):
        from_map(list(stored.items()), Outer)


def test_a_class_with_a_field_without_a_codec_is_refused():
    @frozen
    class Unsupported:
        mapping: dict[str, int]

    with pytest.raises(TypeError, match="no codec"):
        to_row(Unsupported({}))
