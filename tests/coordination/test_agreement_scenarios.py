"""Scenarios of operators and members of the replicated log."""

import asyncio

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from arbutuslift.errors import ConfigurationConflict

from .cluster import Cluster, submission

scenarios("features/agreement.feature")


class World:
    """A cluster driven from steps that aren't coroutines."""

    def __init__(self, runner):
        self.run = runner.run
        self.cluster = Cluster()
        self.results = []
        self.victim = None
        self.term = 0

    def leader(self):
        return self.run(self.cluster.leader())

    def others(self, name):
        return [other for other in self.cluster.members if other != name]

    def histories(self):
        return self.run(self.cluster.histories())

    def terms(self):
        return {s.terms.load().term for s in self.cluster.storages.values()}


@pytest.fixture
def world():
    with asyncio.Runner() as runner:
        world = World(runner)
        yield world
        world.run(world.cluster.close())


@given(parsers.parse("members with {count:d} accepted revisions"))
def _(world, count):
    async def begin():
        world.cluster.start()
        await world.cluster.fill("a", count)

    world.run(begin())


@when(
    parsers.parse(
        'operators submit "{first}" to a and "{second}" to b on revision '
        "{revision:d} at the same time"
    )
)
def _(world, first, second, revision):
    async def race():
        members = world.cluster.members
        both = asyncio.gather(
            members["a"].submit(submission(first, revision)),
            members["b"].submit(submission(second, revision)),
            return_exceptions=True,
        )
        return await world.cluster.do(both)

    world.results = world.run(race())


@when(parsers.parse('the answer to "{request_id}" on revision {revision:d} is lost'))
def _(world, request_id, revision):
    async def lose_answer(sender):
        sent = submission(request_id, revision)
        task = asyncio.ensure_future(world.cluster.members[sender].submit(sent))
        await world.cluster.run(0.0015)
        await world.cluster.kill(sender)
        task.cancel()
        world.cluster.start(sender)

    world.run(lose_answer(world.others(world.leader())[0]))


@when(parsers.parse("others have {count:d} more documents accepted"))
def _(world, count):
    world.run(world.cluster.fill("a", count, start=3))


@when("the leader is lost")
def _(world):
    world.victim = world.leader()
    world.run(world.cluster.kill(world.victim))


@when("a follower loses its disk")
def _(world):
    async def lose_disk():
        await world.cluster.wipe(world.victim)
        world.cluster.start(world.victim)

    world.victim = world.others(world.leader())[0]
    world.run(lose_disk())


@when("an operator replaces it")
def _(world):
    asked = world.cluster.members[world.others(world.victim)[0]]
    replacement = asked.replace_member(world.victim, world.victim)
    world.run(world.cluster.do(replacement))


@when("another member loses its disk")
def _(world):
    world.victim = world.others(world.victim)[0]
    world.run(world.cluster.wipe(world.victim))


@when(parsers.parse("a follower is cut off while {count:d} documents are accepted"))
def _(world, count):
    leader = world.leader()
    world.term = max(world.terms())
    world.victim = world.others(leader)[0]
    world.cluster.isolate(world.victim)
    world.run(world.cluster.fill(leader, count, start=2))
    world.run(world.cluster.run(600))


@when("the partition heals")
def _(world):
    world.cluster.network.heal()
    world.run(world.cluster.run(10))


@then(
    parsers.parse("one is accepted as revision {revision:d} and the other is shown it")
)
def _(world, revision):
    (conflict,) = [r for r in world.results if isinstance(r, Exception)]
    (accepted,) = [r for r in world.results if not isinstance(r, Exception)]
    assert isinstance(conflict, ConfigurationConflict)
    assert conflict.standing == accepted
    assert accepted.revision == revision


@then(
    parsers.parse(
        'a resend of "{request_id}" on revision {expected:d} is accepted as revision '
        "{revision:d}"
    )
)
def _(world, request_id, expected, revision):
    stored = world.run(world.cluster.submit("c", request_id, expected))
    assert stored.revision == revision


@then(parsers.parse('"{request_id}" is in every history once'))
def _(world, request_id):
    for history in world.histories():
        ids = [stored.submission.request_id for stored in history]
        assert ids.count(request_id) == 1


@then("the others accept a document and show all revisions in order")
def _(world):
    sender = world.others(world.victim)[0]
    world.run(world.cluster.submit(sender, "after", 2))
    world.run(world.cluster.run(5))
    for history in world.histories():
        ids = [stored.submission.request_id for stored in history]
        assert ids == ["after", "r1", "r0"]


@then("the follower shows the newest revision and the last 100")
def _(world):
    member = world.cluster.members[world.victim]
    history = world.run(member.history(1000))
    assert [stored.revision for stored in history] == list(range(402, 302, -1))
    assert world.run(world.cluster.do(member.current())) == history[0]


@then("no election was held")
def _(world):
    assert world.terms() == {world.term}
