"""Guards against input whose check takes longer than its length allows."""

import json
import re
from pathlib import Path

import pytest
from hypothesis import given, strategies as st

from arbutuslift import fieldtypes, loglines
from arbutuslift.errors import FieldError
from arbutuslift.fieldtypes import parse_json
from arbutuslift.protocol import documentlines

ROOT = Path(__file__).parents[1]
PAGE = (ROOT / "docs" / "design" / "input.md").read_text()
costly_texts = st.text(st.sampled_from('"\\\n[]{}a=, '), max_size=200)


@given(costly_texts)
def test_no_quote_is_left_behind_as_a_start_that_failed(text):
    """Guards against a cut text in which each quote is tried to the end of the text.

    A start that fails costs a search of all that follows, so that the time grows with
    the square of the length.
    """
    assert b'"' not in fieldtypes._STRING.sub(b"", text.encode())
    assert '"' not in "".join(documentlines._JSON_TOKEN.split(text))


@given(costly_texts)
def test_a_quoted_value_of_a_log_line_always_ends(text):
    for found in loglines._PAIR.finditer("a=" + text):
        assert found[2].startswith('"') or '="' not in found[0][: len(found[1]) + 2]


@given(
    st.recursive(
        st.text(st.sampled_from('[]{}"\\a'), max_size=8),
        lambda children: st.lists(children, max_size=3),
        max_leaves=8,
    )
)
def test_brackets_in_strings_do_not_nest(value):
    assert parse_json(json.dumps(value).encode()) == value


@pytest.mark.parametrize("length", [2, 3, 40, 4001])
def test_a_text_that_was_encoded_twice_and_cut_is_refused(length):
    """Guards against the text of review/6, which stopped all control instances."""
    inner = json.dumps([{"a": ["b", {"c": "d"}]}] * 200)
    with pytest.raises(FieldError):
        parse_json(json.dumps(inner).encode()[:length])


def test_every_pattern_is_listed_with_the_reason_why_it_is_linear():
    """Guards against a further pattern that sees input and was not looked at."""
    sources = [
        *(ROOT / "arbutuslift").rglob("*.py"),
        *(ROOT / "platform").rglob("*.py"),
    ]
    names = {
        name
        for source in sources
        for name in re.findall(r"^(\w+) = re\.compile\(", source.read_text(), re.M)
    }
    assert {name for name in names if f"`{name}`" not in PAGE} == set()
