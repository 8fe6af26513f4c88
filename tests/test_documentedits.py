"""Guards against orders that are lost when operators change a document together."""

import asyncio
import json

import pytest
import yaml

from arbutuslift.commands.outcome import ExitCode
from arbutuslift.protocol.document import OutOfRotation, from_canonical_json

from . import builders
from .fakes import FakeSystem, run_until_done


@pytest.fixture
async def system(tmp_path):
    system = FakeSystem()
    path = tmp_path / "document.yaml"
    path.write_text(yaml.safe_dump(builders.document_dict()))
    assert await system.run("apply", str(path), "--expected_revision=0") == 0
    return system


def out_of_rotation(system):
    body = system.store.revisions[-1].submission.document
    return from_canonical_json(body).out_of_rotation


async def race(system, *lines):
    async def run_all():
        return await asyncio.gather(*(system.execute(*line.split()) for line in lines))

    return await run_until_done(system.clock, run_all())


async def test_a_race_of_two_operators_loses_neither_order(system):
    lines = [
        "take-upstream-out u1",
        "take-upstream-out u2 --for_s=60",
        "take-out dc-1",
    ]
    assert await race(system, *lines) == [ExitCode.DONE] * 3
    assert {entry.upstream_id for entry in out_of_rotation(system)} == {"u1", "u2"}
    assert b'"in_service":false' in system.store.revisions[-1].submission.document
    lines = ["bring-upstream-back u1", "take-upstream-out u3", "bring-back dc-1"]
    assert await race(system, *lines) == [ExitCode.DONE] * 3
    assert {entry.upstream_id for entry in out_of_rotation(system)} == {"u2", "u3"}


async def test_a_race_about_one_upstream_tells_the_second_operator(system):
    codes = await race(
        system, "take-upstream-out u1 --for_s=60", "take-upstream-out u1"
    )
    assert sorted(codes) == [ExitCode.DONE, ExitCode.CONFLICT]


async def test_orders_about_an_upstream_can_be_repeated(system):
    for _ in range(2):
        assert await system.run("take-upstream-out", "u1") == ExitCode.DONE
    assert out_of_rotation(system) == (OutOfRotation(upstream_id="u1"),)
    assert "out of rotation until brought back" in system.output[-1]
    for _ in range(2):
        assert await system.run("bring-upstream-back", "u1") == ExitCode.DONE
    assert len(system.store.revisions) == 3
    assert b"out_of_rotation" not in system.store.revisions[-1].submission.document


async def test_entries_that_ended_long_ago_are_removed_by_the_next_order(system):
    # Otherwise the list grows with every order that has an end.
    await system.run("take-upstream-out", "u1", "--for_s=10")
    (entry,) = out_of_rotation(system)
    assert 0 <= entry.until_s - system.clock.wall_s() <= 11
    await system.clock.advance(3600)
    await system.run("take-upstream-out", "u2")
    assert len(out_of_rotation(system)) == 2
    await system.clock.advance(86_400)
    await system.run("take-upstream-out", "u3")
    assert [entry.upstream_id for entry in out_of_rotation(system)] == ["u2", "u3"]
    await system.run("show", "--output=json")
    shown = json.loads(system.output[-1])["result"]["document"]
    assert [row["upstream_id"] for row in shown["out_of_rotation"]] == ["u2", "u3"]
