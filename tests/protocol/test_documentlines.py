"""Guards against faults that are reported without a line, or with a wrong one."""

import json

import pytest
import yaml
from hypothesis import given, settings, strategies as st

from arbutuslift.errors import DocumentError, Fault
from arbutuslift.protocol import documentlines
from arbutuslift.protocol.document import load_document
from arbutuslift.protocol.documentlines import with_lines

from .. import builders

YAML_TEXT = """# comment
services:
  - name: alerts
    address: "127.10.0.1: x"
    port: 0
    kind: {a: 1}
  - name: claims

data_centres: []
"""


def lines_in(path, *paths):
    faults = with_lines(path, [Fault(path, "reason") for path in paths])
    return [fault.line for fault in faults]


@pytest.mark.parametrize("suffix", ["yaml", "json"])
def test_faults_have_the_line_of_their_value_or_of_the_object_around_it(
    tmp_path, suffix
):
    path = tmp_path / f"a.{suffix}"
    text = YAML_TEXT
    if suffix == "json":
        text = json.dumps(yaml.safe_load(YAML_TEXT), indent=1)
    path.write_text(text)
    lines = text.splitlines()
    port, second, address = lines_in(
        path, "services[0].port", "services[1].port", "services[0].address"
    )
    assert "port" in lines[port - 1]
    assert "127.10.0.1: x" in lines[address - 1]
    assert "claims" in "".join(lines[second - 1 : second + 1])
    assert lines_in(path, "") == [0]
    with pytest.raises(DocumentError, match=f"line {port}: services.0..port"):
        load_document(path)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.recursive(
        st.none() | st.integers() | st.text() | st.booleans(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    ),
    st.sampled_from([None, 0, 2]),
)
def test_json_text_of_any_form_gives_positions(content, indent):
    root = documentlines._json_positions(json.dumps(content, indent=indent))
    if isinstance(content, (list, dict)) and len(set(map(str, content))) == 1:
        assert len(root.children) >= 1


def test_a_long_document_gets_its_lines_without_a_line_per_byte(tmp_path):
    content = builders.document_dict()
    content["services"] *= 1000
    path = tmp_path / "a.json"
    path.write_text(json.dumps(content, indent=1))
    with pytest.raises(DocumentError) as caught:
        load_document(path)
    assert all(fault.line > 0 for fault in caught.value.faults)
