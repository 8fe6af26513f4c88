"""Steps of the scenarios in ``features/operators.feature``."""

import asyncio
import json

import pytest
import yaml
from attrs import evolve
from pytest_bdd import given, parsers, scenarios, then, when

from arbutuslift.protocol.document import from_canonical_json, to_canonical_json
from arbutuslift.state.configuration import Submission

from . import builders
from .fakes import FakeSystem, run_until_done

scenarios("features/operators.feature")


@pytest.fixture
def runner():
    with asyncio.Runner() as runner:
        yield runner


@pytest.fixture
def system(runner):
    return FakeSystem()


@pytest.fixture
def run(runner, system):
    def run_command(*words):
        return runner.run(system.run(*words, "--output=json"))

    return run_command


@pytest.fixture
def write(tmp_path):
    def write_document(name, content):
        path = tmp_path / name
        path.write_text(yaml.safe_dump(content))
        return str(path)

    return write_document


def last(system) -> dict:
    return json.loads(system.output[-1])


def current_document(system):
    return from_canonical_json(system.store.revisions[-1].submission.document)


def with_changed_slots(slots: int) -> dict:
    content = builders.document_dict()
    content["services"][0]["slots"] = slots
    return content


@given("the current document is revision 1")
def _(run, write):
    path = write("first.yaml", builders.document_dict())
    assert run("apply", path, "--expected_revision=0") == 0


@when("two operators apply different documents based on revision 1")
def _(runner, system, write):
    async def race():
        commands = [
            system.execute(
                "apply",
                write(f"{slots}.yaml", with_changed_slots(slots)),
                "--expected_revision=1",
                "--output=json",
            )
            for slots in (5, 6)
        ]
        await asyncio.gather(*commands)

    runner.run(run_until_done(system.clock, race()))


@then('one gets the status "done" and the other "conflict"')
def _(system):
    statuses = {json.loads(line)["status"] for line in system.output[-2:]}
    assert statuses == {"done", "conflict"}


@then("the refused operator is shown revision 2 with the accepted document")
def _(system):
    shown = [json.loads(line) for line in system.output[-2:]]
    conflict = next(line for line in shown if line["status"] == "conflict")
    slots = current_document(system).services[0].slots
    assert conflict["result"]["revision"] == 2
    assert conflict["result"]["document"]["services"][0]["slots"] == slots


@when(
    "an operator applies a document with a bad port, a duplicate name and no kind",
)
def _(run, write):
    content = builders.document_dict()
    content["services"][0]["port"] = 70000
    content["services"][1]["name"] = content["services"][0]["name"]
    del content["services"][1]["kind"]
    run("apply", write("faulty.yaml", content), "--expected_revision=1")


@then(parsers.parse("the faults are at {paths}"))
def _(system, paths):
    found = {fault["path"] for fault in last(system)["faults"]}
    assert found == set(paths.split(", "))


@when("an operator applies a document and the answer is lost")
def _(run, system, write):
    system.lose_next_answer()
    path = write("second.yaml", with_changed_slots(5))
    run("apply", path, "--expected_revision=1", "--request_id=mine")


@then("the operator is advised to resend with the request identifier")
def _(system):
    assert "--request_id=mine --expected_revision=1" in last(system)["message"]


@when("the operator resends with the same request identifier")
def _(run, system, tmp_path):
    system.network.heal()
    path = str(tmp_path / "second.yaml")
    run("apply", path, "--expected_revision=1", "--request_id=mine")


@when(parsers.parse("an operator runs {command} {name}"))
def _(run, command, name):
    run(command, name)


@when(parsers.parse("data centre {other} changes while an operator takes {name} out"))
def _(run, system, other, name):
    submit = system.store.submit

    async def submit_after_another_operator(submission):
        system.store.submit = submit
        document = current_document(system)
        centres = tuple(
            evolve(centre, in_service=centre.name != other)
            for centre in document.data_centres
        )
        changed = evolve(document, data_centres=centres)
        body = to_canonical_json(changed)
        await submit(
            Submission(
                document=body,
                expected_revision=1,
                request_id="other",
                author="other",
                submitted_at_s=0.0,
            )
        )
        return await submit(submission)

    system.store.submit = submit_after_another_operator
    run("take-out", name)


@then(parsers.parse('the operator gets the status "{status}"'))
def _(system, status):
    assert last(system)["status"] == status


@then(parsers.parse("data centre {name} is {state} service"))
def _(system, name, state):
    found = {row.name: row.in_service for row in current_document(system).data_centres}
    assert found[name] == (state == "in")


@then(parsers.parse("{count:d} revisions are in the history"))
def _(run, system, count):
    assert run("history") == 0
    assert len(last(system)["result"]["entries"]) == count
