"""Guards against documents that crash the check, and errors that instances accept."""

import asyncio
import json
import tracemalloc

import pytest
import yaml
from attrs import asdict, evolve
from hypothesis import given, settings, strategies as st

from arbutuslift.commands.outcome import ExitCode
from arbutuslift.errors import DocumentError
from arbutuslift.protocol.configurationrules import RULES, Severity
from arbutuslift.protocol.document import DataCentre, OutOfRotation, structure_document
from arbutuslift.protocol.documentfile import MAX_DOCUMENT_BYTES, parse_json, parse_yaml

from . import builders
from .fakes import FakeSystem

FIELDS = [*builders.SERVICE_FIELDS, "instances", "in_service", "upstream_id", "until_s"]
PLAIN = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(FIELDS) | st.text(max_size=3), inner)
    ),
    max_leaves=8,
)
NAMED = st.fixed_dictionaries(
    {key: st.lists(PLAIN, max_size=3) for key in ("services", "data_centres")},
    optional={"out_of_rotation": PLAIN, "x": PLAIN},
)


def write(path, content):
    path.write_text(yaml.safe_dump(to_lists(asdict(content))))
    return str(path)


def to_lists(content):
    return json.loads(json.dumps(content))


def run(*words, system=None):
    system = system or FakeSystem()
    code = asyncio.run(system.run(*words, "--output=json"))
    return code, json.loads(system.output[-1])


def is_accepted(parse, body):
    try:
        structure_document(parse(body))
    except DocumentError:
        return False
    return True


def check_bytes(path, body):
    path.write_bytes(body)
    code, shown = run("check", str(path))
    parse = parse_json if path.suffix == ".json" else parse_yaml
    assert (code != ExitCode.INVALID) == is_accepted(parse, body)
    severities = {finding["severity"] for finding in shown["result"]["findings"]}
    assert (Severity.ERROR in severities) == (code == ExitCode.INVALID)
    assert (Severity.WARNING in severities) == (code == ExitCode.WARNINGS)
    rules = {finding["rule"] for finding in shown["result"]["findings"]}
    assert rules <= {rule.name for rule in RULES}


@settings(derandomize=True, max_examples=150, deadline=None)
@given(PLAIN | NAMED, st.sampled_from(["json", "yaml"]))
def test_what_the_check_calls_an_error_is_refused(tmp_path_factory, content, suffix):
    path = tmp_path_factory.getbasetemp() / f"plain.{suffix}"
    dump = json.dumps if suffix == "json" else yaml.safe_dump
    check_bytes(path, dump(content).encode())


@settings(derandomize=True, max_examples=60, deadline=None)
@given(builders.documents(), st.sampled_from(["json", "yaml"]))
def test_documents_with_faults_across_fields(tmp_path_factory, content, suffix):
    path = tmp_path_factory.getbasetemp() / f"document.{suffix}"
    check_bytes(path, json.dumps(asdict(content)).encode())


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    st.binary(max_size=60) | st.text(max_size=60).map(str.encode),
    st.sampled_from(["json", "yaml"]),
)
def test_no_bytes_crash_the_check(tmp_path_factory, body, suffix):
    check_bytes(tmp_path_factory.getbasetemp() / f"bytes.{suffix}", body)


def sparse(path):
    with path.open("wb") as file:
        file.truncate(50_000_000)


BAD_FILES = [
    ("missing.yaml", lambda path: None),
    ("folder.yaml", lambda path: path.mkdir()),
    ("empty.yaml", lambda path: path.touch()),
    ("huge.yaml", sparse),
    ("huge.json", sparse),
    ("deep.yaml", lambda path: path.write_bytes(b"- " * 100_000)),
    ("deep.json", lambda path: path.write_bytes(b"[" * MAX_DOCUMENT_BYTES)),
]


@pytest.mark.parametrize(("name", "make"), BAD_FILES, ids=[row[0] for row in BAD_FILES])
def test_a_bad_file_gives_one_line_and_a_code_in_bounded_memory(tmp_path, name, make):
    path = tmp_path / name
    make(path)
    system = FakeSystem()
    tracemalloc.start()
    code = asyncio.run(system.run("check", str(path)))
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert code == ExitCode.INVALID
    assert len(system.output[-1].splitlines()) == 1
    assert peak_bytes < 10 * MAX_DOCUMENT_BYTES


def test_no_depth_that_the_parser_permits_crashes_the_check(tmp_path):
    # The text of a value almost as deep as the parser permits exceeded the limit on
    # recursion. How deep that is depends on the stack of the caller.
    path = tmp_path / "deep.json"
    for depth in (30, 40, *range(880, 1000)):
        path.write_text('{"services": ' + "[" * depth + "]" * depth + "}")
        code, shown = run("check", str(path))
        assert code == ExitCode.INVALID
        assert shown["faults"]


def rules_of(shown):
    return {finding["rule"] for finding in shown["result"]["findings"]}


OUT = OutOfRotation(upstream_id="u1", until_s=5)
WARNED = {
    "slots-over-connections": {"slots": 5, "max_connections": 4},
    "rate-below-cold-limit": {"max_new_flows_per_s": 9, "cold_new_flows_per_s": 10},
    "requests-below-slots": {"max_open_requests": 1},
}


@pytest.mark.parametrize("rule", WARNED)
def test_limits_that_contradict_each_other_give_a_warning(tmp_path, rule):
    document = builders.document(services=(builders.service(**WARNED[rule]),))
    path = tmp_path / "a.yaml"
    code, shown = run("check", write(path, document))
    assert code == ExitCode.WARNINGS
    (finding,) = shown["result"]["findings"]
    assert finding["rule"] == rule
    assert (
        finding["path"].split(".")[1]
        in path.read_text().splitlines()[finding["line"] - 1]
    )


def test_an_ended_rotation_is_a_note_and_an_empty_data_centre_a_warning(tmp_path):
    document = builders.document(out_of_rotation=(OUT,))
    code, shown = run("check", write(tmp_path / "a.yaml", document))
    assert (code, rules_of(shown)) == (ExitCode.DONE, {"rotation-ended"})
    document = builders.document(
        data_centres=(*document.data_centres, DataCentre(name="dc-9"))
    )
    code, shown = run("check", write(tmp_path / "a.yaml", document))
    assert (code, rules_of(shown)) == (ExitCode.WARNINGS, {"data-centre-empty"})


def test_what_a_change_does_to_flows_is_told_before_it_is_made(tmp_path):
    old = builders.document(
        data_centres=(
            *builders.document().data_centres,
            DataCentre(name="dc-9", instances=("i-9",), in_service=False),
        )
    )
    moved, gone = old.services
    centres = old.data_centres[:3]
    new = evolve(
        old,
        services=(evolve(moved, address=gone.address),),
        data_centres=(evolve(centres[0], in_service=False), *centres[1:]),
    )
    old_path = write(tmp_path / "old.yaml", old)
    new_path = write(tmp_path / "new.yaml", new)
    code, shown = run("check", new_path, f"--against={old_path}")
    assert code == ExitCode.WARNINGS
    assert rules_of(shown) == {
        "flows-dropped",
        "flows-reset",
        "back-in-service",
        "service-moved",
        "shares-divided-anew",
        "differs",
    }
    code, shown = run("check", old_path, f"--against={old_path}")
    assert (code, rules_of(shown)) == (ExitCode.DONE, set())


def test_entries_that_match_nothing_that_runs_are_warned_of(tmp_path):
    system = FakeSystem()  # Has one upstream of alerts in dc-2, and instances in dc-1.
    document = builders.document(
        data_centres=builders.document().data_centres[:1],
        out_of_rotation=(evolve(OUT, until_s=0),),
    )
    path = write(tmp_path / "a.yaml", document)
    run("apply", path, "--expected_revision=0", system=system)
    _, shown = run("check", path, "--against=servers", system=system)
    expected = {"no-upstream", "data-centre-unknown", "rotation-unknown"}
    assert rules_of(shown) == expected
    out = OutOfRotation(upstream_id=builders.upstream().upstream_id)
    document = builders.document(out_of_rotation=(out,))
    path = write(tmp_path / "a.yaml", document)
    _, shown = run("check", path, "--against=servers", system=system)
    assert {"no-eligible-upstream", "data-centre-unnamed"} <= rules_of(shown)
