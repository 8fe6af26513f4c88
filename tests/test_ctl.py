"""Command line: exit codes, JSON shape, retries and the form."""

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
def site():
    return FakeSystem()


@pytest.fixture
def path(tmp_path):
    path = tmp_path / "document.yaml"
    path.write_text(yaml.safe_dump(builders.document_dict()))
    return str(path)


def nothing(site):
    """Leave everything as it is."""


def no_quorum(site):
    site.store.has_quorum = False


def nothing_answers(site):
    for name in ("e1", "m1", "m2"):
        site.network.remove(name)


answer_gets_lost = FakeSystem.lose_next_answer
APPLY = "apply {path} --expected_revision=1"
CASES = [
    (nothing, "check {path}", ExitCode.DONE),
    (nothing, "check {path}.none", ExitCode.INVALID),
    (nothing, APPLY, ExitCode.DONE),
    (nothing, "apply {path} --expected_revision=0", ExitCode.CONFLICT),
    (nothing, "apply {path} --expected_revision=0 --request_id=r", ExitCode.CONFLICT),
    (nothing, "apply {path}", ExitCode.USAGE),
    (nothing, "apply {path} --expected_revision=-1", ExitCode.USAGE),
    (no_quorum, APPLY, ExitCode.UNKNOWN),
    (answer_gets_lost, APPLY, ExitCode.UNKNOWN),
    (nothing_answers, APPLY, ExitCode.UNREACHABLE),
    (nothing, "show", ExitCode.DONE),
    (nothing, "show --revision=1", ExitCode.DONE),
    (nothing, "show --revision=9", ExitCode.NOT_ACCEPTED),
    (no_quorum, "show", ExitCode.NOT_ACCEPTED),
    (nothing_answers, "show", ExitCode.UNREACHABLE),
    (nothing, "show --servers=bad", ExitCode.USAGE),
    (nothing, "show --servers=m1=localhost:1", ExitCode.USAGE),
    (nothing, "show extra", ExitCode.USAGE),
    (nothing, "history --limit=1", ExitCode.DONE),
    (nothing, "history --limit=0", ExitCode.USAGE),
    (nothing, "diff {path}", ExitCode.DONE),
    (nothing, "diff --to_revision=1", ExitCode.DONE),
    (nothing, "diff", ExitCode.USAGE),
    (nothing, "status --data_centre=dc-1 --service=alerts", ExitCode.DONE),
    (nothing, "members", ExitCode.DONE),
    (nothing, "take-out dc-1", ExitCode.DONE),
    (nothing, "take-out nowhere", ExitCode.NOT_ACCEPTED),
    (answer_gets_lost, "take-out dc-1", ExitCode.UNKNOWN),
    (nothing, "bring-back dc-1", ExitCode.DONE),
    (nothing, "replace-member m2 m3", ExitCode.DONE),
    (nothing, "replace-member m9 m3", ExitCode.NOT_ACCEPTED),
    (nothing, "replace-member m2", ExitCode.USAGE),
    (no_quorum, "replace-member m2 m3", ExitCode.UNKNOWN),
    (answer_gets_lost, "replace-member m2 m3", ExitCode.UNKNOWN),
    (nothing, "form {path}", ExitCode.USAGE),
    (nothing, "form {path}.new", ExitCode.USAGE),
    (nothing, "create-key ana {folder}", ExitCode.DONE),
    (nothing, "create-key ana {folder}/none", ExitCode.USAGE),
    (nothing, "create-key ../ana {folder}", ExitCode.USAGE),
    (nothing, "create-key ana", ExitCode.USAGE),
    (nothing, "explain r1 {path}", ExitCode.DONE),
    (nothing, "explain r1 {path}.none", ExitCode.USAGE),
    (nothing, "explain", ExitCode.USAGE),
    (nothing, "nonsense", ExitCode.USAGE),
    (nothing, "--unknown_flag", ExitCode.USAGE),
    (nothing, "help", ExitCode.DONE),
]


@pytest.mark.parametrize(("trouble", "line", "code"), CASES)
async def test_exit_code_and_shape_of_json(site, path, trouble, line, code):
    assert await site.run("apply", path, "--expected_revision=0") == ExitCode.DONE
    trouble(site)
    words = line.format(path=path, folder=Path(path).parent).split()
    assert await site.run(*words, "--output=json") == code
    shown = json.loads(site.output[-1])
    assert set(shown) == FIELDS
    assert shown["exit_code"] == code
    assert shown["status"] == code.name.lower()


def test_every_command_has_a_case():
    assert set(COMMANDS) <= {line.split()[0] for _, line, _ in CASES}


async def test_text_output_lists_faults_and_results(site, path):
    await site.run("apply", path, "--expected_revision=0")
    await site.run("show")
    assert "name: alerts" in site.output[-1]
    await site.run("status")
    assert "upstream alerts-1 dc-2 ready" in site.output[-1]
    await site.run("members")
    assert "leader   m1" in site.output[-1]
    await site.run("check", path + ".none")
    assert site.output[-1].startswith("invalid: 1 fault in")


async def test_json_differences_carry_their_fields(site, path, tmp_path):
    # They were empty while the field had the type of their base class.
    await site.run("apply", path, "--expected_revision=0")
    content = builders.document_dict()
    content["services"][0]["slots"] = 5
    (tmp_path / "next.json").write_text(json.dumps(content))
    await site.run("diff", str(tmp_path / "next.json"), "--output=json")
    (change,) = json.loads(site.output[-1])["result"]["changes"]
    expected = {"name": "alerts", "field": "slots", "before": 2, "after": 5}
    assert change["details"] == expected


async def test_request_id_is_printed_before_the_request_is_sent(site, path):
    # An operator whose client is interrupted needs the identifier for the resend.
    no_quorum(site)
    await site.run("apply", path, "--expected_revision=0")
    assert site.notes == ["request_id=request-1"]
    assert new_request_id() != new_request_id()


async def test_another_server_is_asked_after_a_lost_answer(site, path):
    site.store.on_accept = lambda: site.network.remove("e1")
    assert await site.run("apply", path, "--expected_revision=0") == ExitCode.DONE
    assert len(site.store.revisions) == 1


async def test_a_replacement_is_not_repeated_after_a_lost_answer(site):
    # A second server would start a second replacement.
    site.store.on_accept = lambda: site.network.remove("e1")
    assert await site.run("replace-member", "m2", "m3") == ExitCode.UNKNOWN
    assert site.store.replacements == 1


SERVICE = ["alerts", "127.10.0.1", "8443", "", "alerts", "", "", "", "", "", ""]


async def test_form_asks_again_for_each_refused_answer(site, tmp_path):
    target = tmp_path / "new.yaml"
    site.answers = ["maybe", "yes", *SERVICE]
    site.answers += ["yes", "alerts", "claims", "127.10.0.1", "127.10.0.2", "x"]
    site.answers += ["70000", "53", "udp", "claims", "top", "high", "no", "yes"]
    site.answers += ["", "0", "3", "", "nan", "5", "no"]
    site.answers += ["no", "yes", "dc-1", "", "no", "dc-1-1, dc-1-1", "dc-1-1"]
    site.answers += ["no", "yes", "dc-2", "north", "", "", "no"]
    assert await site.run("form", str(target)) == ExitCode.DONE
    document = load_document(target)
    assert [row.name for row in document.services] == ["alerts", "claims"]
    assert document.services[1].idempotent
    assert document.services[1].slots == 3
    assert document.data_centres[0].instances == ("dc-1-1",)
    assert site.answers == []
    assert len(site.notes) == 13
    assert site.notes[-1].strip() == "at least one must be in service"


async def test_form_that_ends_early_writes_nothing(site, tmp_path):
    target = tmp_path / "new.yaml"
    site.answers = ["yes", "alerts"]
    assert await site.run("form", str(target)) == ExitCode.USAGE
    assert not target.exists()
