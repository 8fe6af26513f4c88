"""Configuration document: faults, canonical form and input files."""

import json
from pathlib import Path

import pytest
import yaml
from hypothesis import given, settings, strategies as st

from arbutuslift.errors import DocumentError
from arbutuslift.protocol import document, documentchecks, documentfile
from arbutuslift.protocol.document import (
    Document,
    from_canonical_json,
    load_document,
    structure_document,
    to_canonical_json,
)

from .. import builders

EXAMPLES = Path(__file__).parents[2] / "docs" / "examples"


def document_dict_with(path: list, value: object) -> dict:
    content = builders.document_dict()
    target = content
    for key in path[:-1]:
        target = target[key]
    target[path[-1]] = value
    return content


def faults_of(content: object) -> dict[str, str]:
    with pytest.raises(DocumentError) as caught:
        structure_document(content)
    return {fault.path: fault.reason for fault in caught.value.faults}


SERVICE = ["services", 0]
CENTRE = ["data_centres", 0]
FIRST = "services[0]"
OUT = "out_of_rotation"
FAULTY = [
    ([*SERVICE, "name"], "claims", "services[1].name", "already used by services[0]"),
    ([*SERVICE, "name"], "a\n", "services[0].name", "must be a name"),
    ([*SERVICE, "address"], "127.10.0.2", "services[1].address", "already used"),
    ([*SERVICE, "address"], "127.10.0", "services[0].address", "dotted IPv4"),
    ([*SERVICE, "address"], "224.0.0.1", "services[0].address", "unicast"),
    ([*SERVICE, "address"], "0.0.0.0", "services[0].address", "unicast"),
    ([*SERVICE, "port"], 0, "services[0].port", "at least 1"),
    ([*SERVICE, "port"], 65536, "services[0].port", "at most 65535"),
    ([*SERVICE, "port"], True, "services[0].port", "type integer"),
    ([*SERVICE, "port"], "8443", "services[0].port", "type integer"),
    ([*SERVICE, "protocol"], "sctp", "services[0].protocol", "one of tcp, udp"),
    ([*SERVICE, "protocol"], "udp", "services[0].idempotent", "must be true over udp"),
    ([*SERVICE, "priority"], "top", "services[0].priority", "one of urgent"),
    ([*SERVICE, "kind"], "", "services[0].kind", "must be a name"),
    ([*SERVICE, "idempotent"], "no", "services[0].idempotent", "type boolean"),
    ([*SERVICE, "max_connections"], 0, "services[0].max_connections", "at least 1"),
    ([*SERVICE, "slots"], 0, "services[0].slots", "at least 1"),
    ([*SERVICE, "cold_new_flows_per_s"], -1, "services[0].cold_new_flows_per_s", "1"),
    ([*SERVICE, "warm_up_s"], 0, "services[0].warm_up_s", "more than 0"),
    ([*SERVICE, "warm_up_s"], float("nan"), "services[0].warm_up_s", "finite"),
    ([*SERVICE, "warm_up_s"], 10**400, "services[0].warm_up_s", "at most"),
    ([*SERVICE, "max_new_flows_per_s"], -1, f"{FIRST}.max_new_flows_per_s", "least 0"),
    ([*SERVICE, "max_open_requests"], 1.5, f"{FIRST}.max_open_requests", "integer"),
    ([*SERVICE, "min_share_percent"], 101, f"{FIRST}.min_share_percent", "most 100"),
    ([*SERVICE, "colour"], "red", "services[0].colour", "unknown field"),
    (["extra"], 1, "extra", "unknown field"),
    (["services"], None, "services", "type array"),
    (["services", 0], 3, "services[0]", "type object"),
    ([*CENTRE, "name"], "dc-2", "data_centres[1].name", "already used"),
    ([*CENTRE, "region"], " ", "data_centres[0].region", "must be a name"),
    ([*CENTRE, "instances"], ["i", "i"], "data_centres[0].instances[1]", "already"),
    ([*CENTRE, "instances"], ["dc-2-1"], "data_centres[1].instances[0]", "already"),
    ([*CENTRE, "instances"], [1], "data_centres[0].instances[0]", "type string"),
    (["data_centres"], [], "data_centres", "at least one must"),
    ([OUT], [{"upstream_id": ""}], f"{OUT}[0].upstream_id", "must be a name"),
    ([OUT], [{"upstream_id": "a"}] * 2, f"{OUT}[1].upstream_id", "already used"),
    ([OUT], [{"upstream_id": "a", "until_s": -1}], f"{OUT}[0].until_s", "at least 0"),
    ([OUT], [{"until_s": 1}], f"{OUT}[0].upstream_id", "missing"),
]


@pytest.mark.parametrize(("path", "value", "fault_path", "reason"), FAULTY)
def test_a_fault_is_reported_at_its_field(path, value, fault_path, reason):
    assert reason in faults_of(document_dict_with(path, value))[fault_path]


def test_missing_fields_are_reported_at_their_path():
    content = builders.document_dict()
    del content["services"][1]["address"], content["data_centres"]
    faults = faults_of(content)
    assert faults["services[1].address"] == faults["data_centres"] == "missing"


def test_a_document_without_a_data_centre_in_service_is_refused():
    content = builders.document_dict()
    for centre in content["data_centres"]:
        centre["in_service"] = False
    assert "in service" in faults_of(content)["data_centres"]


def test_guaranteed_shares_over_100_percent_are_refused():
    content = builders.document_dict()
    for row, percent in zip(content["services"], (60, 41), strict=True):
        row["min_share_percent"] = percent
    assert "101%" in faults_of(content)["services[1].min_share_percent"]


@pytest.mark.parametrize("name", ["agencia.yaml", "cydweithfa.yaml"])
def test_examples_are_valid(name):
    centres = load_document(EXAMPLES / name).data_centres
    instances = [name for centre in centres for name in centre.instances]
    assert len(centres) == 3
    assert 7 <= len(instances) <= 9


def test_a_document_of_an_earlier_version_keeps_its_bytes():
    # Instances compare documents by the digest of their canonical form.
    body = (
        b'{"data_centres":[{"in_service":true,"instances":["i"],"name":"dc-1",'
        b'"region":""}],"services":[{"address":"127.10.0.1",'
        b'"cold_new_flows_per_s":10,"idempotent":false,"kind":"alerts",'
        b'"max_connections":2000,"name":"alerts","port":8443,"priority":"urgent",'
        b'"protocol":"tcp","slots":2,"warm_up_s":30.0}]}'
    )
    assert to_canonical_json(from_canonical_json(body)) == body
    assert to_canonical_json(structure_document(json.loads(body))) == body


def with_shuffled_keys(value: object, random) -> object:
    if isinstance(value, dict):
        keys = list(value)
        random.shuffle(keys)
        return {key: with_shuffled_keys(value[key], random) for key in keys}
    if isinstance(value, list):
        return [with_shuffled_keys(item, random) for item in value]
    return value


@settings(derandomize=True, max_examples=60, deadline=None)
@given(builders.documents(), st.randoms(use_true_random=False))
def test_canonical_json_depends_on_values_only(content, random):
    body = to_canonical_json(content)
    assert from_canonical_json(body) == content
    reordered = json.dumps(
        with_shuffled_keys(json.loads(body), random), indent=1
    ).encode()
    assert to_canonical_json(from_canonical_json(reordered)) == body
    # The YAML parser reads the same bytes independently of the JSON parser.
    assert from_canonical_json(json.dumps(yaml.safe_load(body)).encode()) == content


def test_canonical_json_with_an_unknown_field_names_its_path():
    body = to_canonical_json(Document(services=(builders.service(),)))
    with pytest.raises(DocumentError, match=r"services\[0\].hue: unknown field"):
        from_canonical_json(body.replace(b'"kind"', b'"hue":1,"kind"'))


REFUSED_INPUT = [
    ("a.yaml", b"services: []\nservices: []\n", "duplicate key 'services'"),
    ("a.yaml", b"x: &a [1]\ny: *a\n", "aliases"),
    ("a.yaml", b"<<: {a: 1}\n", "merge keys"),
    ("a.yaml", b"? [a]\n: 1\n", "must be text"),
    ("a.yaml", b"\xff\xfe", "not UTF-8"),
    ("a.yaml", b"[" * 5000, "not YAML"),
    ("a.yaml", b"x: 2024-99-99\n", "not YAML"),
    ("a.yaml", b"--- 1\n--- 2\n", "not YAML"),
    ("a.yaml", b"x: 0x" + b"f" * 5000, "too large"),
    ("a.yaml", b"!!python/object:os.system {}", "not YAML"),
    ("a.yaml", b"", "empty"),
    ("a.json", b" \n", "empty"),
    ("a.json", b'{"services": [], "services": []}', "duplicate key"),
    ("a.json", b"[" * 100_000, "not JSON"),
    ("a.json", b"NaN", "NaN"),
    ("a.json", b"9" * 5000, "not JSON"),
    ("a.json", b" " * (documentfile.MAX_DOCUMENT_BYTES + 1), "larger than"),
]


@pytest.mark.parametrize(("name", "body", "reason"), REFUSED_INPUT)
def test_refused_input_files(tmp_path, name, body, reason):
    path = tmp_path / name
    path.write_bytes(body)
    with pytest.raises(DocumentError, match=reason) as caught:
        load_document(path)
    assert caught.value.peer == str(path)
    assert "\n" not in str(caught.value)


def test_the_number_of_yaml_values_is_bounded(monkeypatch):
    # A file of 2 MB with a million short values would take 1 GB.
    monkeypatch.setattr(documentfile, "MAX_YAML_VALUES", 100)
    assert len(documentfile.parse_yaml(b"[" + b"1," * 99 + b"]")) == 99
    with pytest.raises(DocumentError, match="more than 100 values"):
        documentfile.parse_yaml(b"[" + b"1," * 100 + b"]")


def test_the_number_of_faults_is_bounded():
    # A million errors of the schema check would take about 1 GB of memory.
    content = builders.document_dict() | {"services": [1] * 100_000}
    assert len(faults_of(content)) <= documentchecks.MAX_REPORTED_FAULTS


def test_a_document_too_large_with_its_defaults_is_refused(monkeypatch):
    # It would exceed the message size, so that its submission would appear lost.
    monkeypatch.setattr(document, "MAX_DOCUMENT_BYTES", 500)
    assert "canonical form" in faults_of(builders.document_dict())[""]


def test_a_missing_file_is_reported(tmp_path):
    with pytest.raises(DocumentError, match="No such file"):
        load_document(tmp_path / "none.yaml")


PLAIN_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["name", "port", "address", "x"]), inner)
    ),
    max_leaves=8,
)
ROWS = st.lists(
    st.dictionaries(
        st.sampled_from([*builders.SERVICE_FIELDS, "instances", "in_service"]),
        PLAIN_VALUES,
    )
    | PLAIN_VALUES,
    max_size=3,
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(PLAIN_VALUES | st.fixed_dictionaries({"services": ROWS, "data_centres": ROWS}))
def test_any_plain_values_are_a_document_or_have_faults(content):
    try:
        structured = structure_document(content)
    except DocumentError as error:
        assert error.faults
    else:
        assert from_canonical_json(to_canonical_json(structured)) == structured


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=60) | st.text("{}[]:,-&*!? \n\t\"'a1<", max_size=40))
def test_any_bytes_are_parsed_or_refused(body):
    body = body if isinstance(body, bytes) else body.encode()
    for parse in (documentfile.parse_yaml, documentfile.parse_json):
        try:
            structure_document(parse(body))
        except DocumentError as error:
            assert error.faults
