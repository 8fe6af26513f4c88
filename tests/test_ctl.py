"""Command line: exit codes, structure of the JSON output, retries and the form."""

import json
from pathlib import Path

import pytest
import yaml

from arbutuslift.commands.environment import new_request_id
from arbutuslift.commands.outcome import ExitCode
from arbutuslift.ctl import COMMANDS
from arbutuslift.protocol.document import load_document

from . import builders
from .fakes import FakeSystem

FIELDS = {
    "command",
    "status",
    "exit_code",
    "message",
    "request_id",
    "result",
    "faults",
}


@pytest.fixture
def system():
    return FakeSystem()


@pytest.fixture
def path(tmp_path):
    path = tmp_path / "document.yaml"
    path.write_text(yaml.safe_dump(builders.document_dict()))
    return str(path)


def unchanged(system):
    """Run the command in the initial state."""


def no_quorum(system):
    system.store.has_quorum = False


def no_server_answers(system):
    for name in ("e1", "m1", "m2"):
        system.network.remove(name)


lose_answer = FakeSystem.lose_next_answer
APPLY = "apply {path} --expected_revision=1"
CASES = [
    (unchanged, "check {path}", ExitCode.DONE),
    (unchanged, "check {path}.none", ExitCode.INVALID),
    (unchanged, "check {path} --against={path}", ExitCode.DONE),
    (unchanged, "check {path} --against={path}.none", ExitCode.INVALID),
    (unchanged, "check {path} --against=servers", ExitCode.WARNINGS),
    (no_quorum, "check {path} --against=servers", ExitCode.NOT_ACCEPTED),
    (no_server_answers, "check {path} --against=servers", ExitCode.UNREACHABLE),
    (unchanged, "check", ExitCode.USAGE),
    (unchanged, APPLY, ExitCode.DONE),
    (unchanged, "apply {path} --expected_revision=0", ExitCode.CONFLICT),
    (unchanged, "apply {path} --expected_revision=0 --request_id=r", ExitCode.CONFLICT),
    (unchanged, "apply {path}", ExitCode.USAGE),
    (unchanged, "apply {path} --expected_revision=-1", ExitCode.USAGE),
    (no_quorum, APPLY, ExitCode.UNKNOWN),
    (lose_answer, APPLY, ExitCode.UNKNOWN),
    (no_server_answers, APPLY, ExitCode.UNREACHABLE),
    (unchanged, "show", ExitCode.DONE),
    (unchanged, "show --revision=1", ExitCode.DONE),
    (unchanged, "show --revision=9", ExitCode.NOT_ACCEPTED),
    (no_quorum, "show", ExitCode.NOT_ACCEPTED),
    (no_server_answers, "show", ExitCode.UNREACHABLE),
    (unchanged, "show --servers=bad", ExitCode.USAGE),
    (unchanged, "show --servers=m1=localhost:1", ExitCode.USAGE),
    (unchanged, "show extra", ExitCode.USAGE),
    (unchanged, "history --limit=1", ExitCode.DONE),
    (unchanged, "history --limit=0", ExitCode.USAGE),
    (unchanged, "diff {path}", ExitCode.DONE),
    (unchanged, "diff --to_revision=1", ExitCode.DONE),
    (unchanged, "diff", ExitCode.USAGE),
    (unchanged, "status --data_centre=dc-1 --service=alerts", ExitCode.DONE),
    (unchanged, "load --service=alerts --data_centre=dc-1", ExitCode.DONE),
    (no_quorum, "load", ExitCode.DONE),
    (no_server_answers, "load", ExitCode.UNREACHABLE),
    (unchanged, "load alerts", ExitCode.USAGE),
    (unchanged, "members", ExitCode.DONE),
    (unchanged, "take-out dc-1", ExitCode.DONE),
    (unchanged, "take-out nowhere", ExitCode.NOT_ACCEPTED),
    (lose_answer, "take-out dc-1", ExitCode.UNKNOWN),
    (unchanged, "bring-back dc-1", ExitCode.DONE),
    (unchanged, "take-upstream-out u1", ExitCode.DONE),
    (unchanged, "take-upstream-out u1 --for_s=60", ExitCode.DONE),
    (unchanged, "take-upstream-out u1 --for_s=-1", ExitCode.USAGE),
    (unchanged, "take-upstream-out u1 --for_s=1e3", ExitCode.USAGE),
    (unchanged, "take-upstream-out u1 --for_s=999999999999", ExitCode.USAGE),
    (unchanged, "take-upstream-out u/1", ExitCode.INVALID),
    (unchanged, "take-upstream-out", ExitCode.USAGE),
    (lose_answer, "take-upstream-out u1", ExitCode.UNKNOWN),
    (no_quorum, "take-upstream-out u1", ExitCode.NOT_ACCEPTED),
    (unchanged, "bring-upstream-back u1", ExitCode.DONE),
    (unchanged, "bring-upstream-back", ExitCode.USAGE),
    (unchanged, "replace-member m2 m3", ExitCode.DONE),
    (unchanged, "replace-member m9 m3", ExitCode.NOT_ACCEPTED),
    (unchanged, "replace-member m2", ExitCode.USAGE),
    (no_quorum, "replace-member m2 m3", ExitCode.UNKNOWN),
    (lose_answer, "replace-member m2 m3", ExitCode.UNKNOWN),
    (unchanged, "form {path}", ExitCode.USAGE),
    (unchanged, "form {path}.new", ExitCode.USAGE),
    (unchanged, "create-key ana {folder}", ExitCode.DONE),
    (unchanged, "create-key ana {folder}/none", ExitCode.USAGE),
    (unchanged, "create-key ../ana {folder}", ExitCode.USAGE),
    (unchanged, "create-key ana", ExitCode.USAGE),
    (unchanged, "explain r1 {path}", ExitCode.DONE),
    (unchanged, "explain r1 {path}.none", ExitCode.USAGE),
    (unchanged, "explain", ExitCode.USAGE),
    (unchanged, "nonsense", ExitCode.USAGE),
    (unchanged, "--unknown_flag", ExitCode.USAGE),
    (unchanged, "help", ExitCode.DONE),
]


@pytest.mark.parametrize(("prepare", "line", "code"), CASES)
async def test_exit_code_and_shape_of_json(system, path, prepare, line, code):
    assert await system.run("apply", path, "--expected_revision=0") == ExitCode.DONE
    prepare(system)
    words = line.format(path=path, folder=Path(path).parent).split()
    assert await system.run(*words, "--output=json") == code
    shown = json.loads(system.output[-1])
    assert set(shown) == FIELDS
    assert shown["exit_code"] == code
    assert shown["status"] == code.name.lower()


def test_every_command_has_a_case():
    assert set(COMMANDS) <= {line.split()[0] for _, line, _ in CASES}


async def test_text_output_lists_faults_and_results(system, path):
    await system.run("apply", path, "--expected_revision=0")
    await system.run("show")
    assert "name: alerts" in system.output[-1]
    await system.run("status")
    assert "upstream alerts-1 dc-2 ready" in system.output[-1]
    await system.run("members")
    assert "leader   m1" in system.output[-1]
    await system.run("check", path + ".none")
    assert system.output[-1].startswith("invalid: 1 fault in")


async def test_json_differences_carry_their_fields(system, path, tmp_path):
    # The details were empty when the field was annotated with the base class.
    await system.run("apply", path, "--expected_revision=0")
    content = builders.document_dict()
    content["services"][0]["slots"] = 5
    (tmp_path / "next.json").write_text(json.dumps(content))
    await system.run("diff", str(tmp_path / "next.json"), "--output=json")
    (change,) = json.loads(system.output[-1])["result"]["changes"]
    expected = {"name": "alerts", "field": "slots", "before": 2, "after": 5}
    assert change["details"] == expected


async def test_apply_prints_warnings_and_sends_nothing_with_errors(system, tmp_path):
    content = builders.document_dict()
    content["services"][0] |= {"max_open_requests": 1}
    target = tmp_path / "next.json"
    target.write_text(json.dumps(content))
    assert await system.run("apply", str(target), "--expected_revision=0") == 0
    assert "[requests-below-slots]" in system.notes[0]
    content["services"][0] |= {"max_open_requests": -1}
    target.write_text(json.dumps(content))
    code = await system.run("apply", str(target), "--expected_revision=1")
    assert code == ExitCode.INVALID
    assert len(system.clients) == 1


async def test_request_id_is_printed_before_the_request_is_sent(system, path):
    # After an interruption of the client, the operator needs it for the resend.
    no_quorum(system)
    await system.run("apply", path, "--expected_revision=0")
    assert system.notes == ["request_id=request-1"]
    assert new_request_id() != new_request_id()


async def test_another_server_is_asked_after_a_lost_answer(system, path):
    system.store.on_accept = lambda: system.network.remove("e1")
    assert await system.run("apply", path, "--expected_revision=0") == ExitCode.DONE
    assert len(system.store.revisions) == 1


async def test_a_replacement_is_not_repeated_after_a_lost_answer(system):
    # A second server would start a second replacement.
    system.store.on_accept = lambda: system.network.remove("e1")
    assert await system.run("replace-member", "m2", "m3") == ExitCode.UNKNOWN
    assert system.store.replacements == 1


SERVICE = ["alerts", "127.10.0.1", "8443", "", "alerts", *[""] * 9]


async def test_form_asks_again_for_each_refused_answer(system, tmp_path):
    target = tmp_path / "new.yaml"
    system.answers = ["maybe", "yes", *SERVICE]
    system.answers += ["yes", "alerts", "claims", "127.10.0.1", "127.10.0.2", "x"]
    system.answers += ["70000", "53", "udp", "claims", "top", "high", "no", "yes"]
    system.answers += ["", "0", "3", "", "nan", "5", "", "-1", "70", "101", "50", "no"]
    system.answers += ["no", "yes", "dc-1", "", "no", "dc-1-1, dc-1-1", "dc-1-1"]
    system.answers += ["no", "yes", "dc-2", "north", "", "", "no"]
    assert await system.run("form", str(target)) == ExitCode.DONE
    document = load_document(target)
    assert [row.name for row in document.services] == ["alerts", "claims"]
    assert document.services[1].idempotent
    assert document.services[1].slots == 3
    assert document.services[1].max_open_requests == 70
    assert document.data_centres[0].instances == ("dc-1-1",)
    assert system.answers == []
    assert len(system.notes) == 15
    assert system.notes[-1].strip() == "at least one must be in service"


async def test_form_that_ends_early_writes_nothing(system, tmp_path):
    target = tmp_path / "new.yaml"
    system.answers = ["yes", "alerts"]
    assert await system.run("form", str(target)) == ExitCode.USAGE
    assert not target.exists()
