"""Objects come back equal, and no value is turned into another type."""

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


def sent(value: object) -> list:
    """Return a row as it arrives."""
    return msgpack.unpackb(msgpack.packb(to_row(value)))


def test_an_object_comes_back_equal():
    assert from_row(sent(OUTER), Outer) == OUTER
    assert type(from_row(sent(OUTER), Outer).inner.grade) is Grade


def test_a_value_that_was_added_later_has_its_default():
    """Guards against a new version that can't read what an old one sends."""
    assert from_row(sent(OUTER)[:-1], Outer).added == 7


def test_values_of_a_newer_version_are_ignored_only_where_that_is_wanted():
    row = [*sent(INNER), "newer"]
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
    """Guards against numbers taken for lengths, texts for lists and the like."""
    row = sent(OUTER)
    row[position] = value
    with pytest.raises((TypeError, ValueError)):
        from_row(row, Outer)


def test_a_map_holds_the_names_of_all_fields():
    """Guards against stored values that a later version can't read any more."""
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
def test_a_map_that_does_not_fit_is_refused(changes):
    stored = to_map(OUTER) | changes
    with pytest.raises((TypeError, ValueError)):
        from_map(stored, Outer)
    with pytest.raises(TypeError):
        from_map(list(stored.items()), Outer)


def test_a_class_with_fields_that_can_not_be_sent_is_refused():
    @frozen
    class Odd:
        mapping: dict[str, int]

    with pytest.raises(TypeError, match="no codec"):
        to_row(Odd({}))
