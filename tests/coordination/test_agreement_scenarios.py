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

    def others(self, *names):
        return [name for name in self.cluster.members if name not in names]

    def submit(self, name, request_id, revision):
        work = self.cluster.submit(name, request_id, revision)
        try:
            self.results.append(self.run(work))
        except ConfigurationConflict as error:
            self.results.append(error)

    def terms(self):
        return {s.terms.load().term for s in self.cluster.storages.values()}


@pytest.fixture
def world():
    with asyncio.Runner() as runner:
        world = World(runner)
        yield world
        world.run(world.cluster.close())


@given(parsers.parse("members a, b and c with {count:d} accepted revisions"))
def _(world, count):
    async def begin():
        world.cluster.start()
        await world.cluster.fill("a", count)

    world.run(begin())


@when(
    parsers.parse(
        'operators submit "{first}" to a and "{second}" to b at the same time on '
        "revision {revision:d}"
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
    async def lose_answer():
        leader = await world.cluster.leader()
        sender = world.others(leader)[0]
        sent = submission(request_id, revision)
        task = asyncio.ensure_future(world.cluster.members[sender].submit(sent))
        await world.cluster.run(0.0015)
        await world.cluster.kill(sender)
        task.cancel()
        world.cluster.start(sender)

    world.run(lose_answer())


@when(parsers.parse("other operators have {count:d} more documents accepted"))
def _(world, count):
    newest = world.run(world.cluster.do(world.cluster.members["a"].current()))
    world.run(world.cluster.fill("a", count, start=newest.revision))


@when(parsers.parse('"{request_id}" on revision {revision:d} is sent to {name}'))
@when(parsers.parse('"{request_id}" on revision {revision:d} is sent again to {name}'))
def _(world, request_id, revision, name):
    world.submit(name, request_id, revision)


@when("all members restart")
def _(world):
    async def restart():
        for name in world.cluster.names:
            await world.cluster.kill(name)
        world.cluster.start()

    world.run(restart())


@when("the leader is lost")
def _(world):
    world.victim = world.run(world.cluster.leader())
    world.run(world.cluster.kill(world.victim))


@when("a follower loses its disk")
def _(world):
    world.victim = world.others(world.run(world.cluster.leader()))[0]
    world.run(world.cluster.wipe(world.victim))

    async def restart():
        world.cluster.start(world.victim)

    world.run(restart())


@when("an operator replaces it")
def _(world):
    name = world.victim
    asked = world.cluster.members[world.others(name)[0]]
    world.run(world.cluster.do(asked.replace_member(name, name)))


@when("another member that had the documents loses its disk")
def _(world):
    leader = world.run(world.cluster.leader())
    world.victim = leader if leader != world.victim else world.others(leader)[0]
    world.run(world.cluster.wipe(world.victim))


@when("the leader is replaced by d")
def _(world):
    world.victim = world.run(world.cluster.leader())

    async def replace():
        world.cluster.start("d", initial=())
        asked = world.cluster.members[world.others(world.victim, "d")[0]]
        await world.cluster.do(asked.replace_member(world.victim, "d"))
        await world.cluster.kill(world.victim)

    world.run(replace())


@when(parsers.parse("a follower is cut off while {count:d} documents are accepted"))
def _(world, count):
    leader = world.run(world.cluster.leader())
    world.term = max(world.terms())
    world.victim = world.others(leader)[0]
    world.cluster.isolate(world.victim)
    world.run(world.cluster.fill(leader, count, start=2))
    world.run(world.cluster.run(600))


@when("the partition heals")
def _(world):
    world.cluster.network.heal()
    world.run(world.cluster.run(10))


@then(parsers.parse("exactly one is accepted as revision {revision:d}"))
def _(world, revision):
    accepted = [r for r in world.results if not isinstance(r, Exception)]
    assert [stored.revision for stored in accepted] == [revision]
    world.accepted = accepted[0]


@then(parsers.parse("the other is shown revision {revision:d} with its document"))
def _(world, revision):
    (conflict,) = [r for r in world.results if isinstance(r, Exception)]
    assert isinstance(conflict, ConfigurationConflict)
    assert conflict.standing.revision == revision
    assert conflict.standing in world.run(world.cluster.histories())[0]


@then(parsers.parse("both answers show revision {revision:d} with its document"))
def _(world, revision):
    first, again = world.results
    assert isinstance(first, ConfigurationConflict)
    assert isinstance(again, ConfigurationConflict)
    assert first.standing == again.standing
    assert first.standing.revision == revision


@then(parsers.parse("it is accepted as revision {revision:d}"))
def _(world, revision):
    assert world.results[-1].revision == revision


@then(parsers.parse('"{request_id}" is in the history once'))
def _(world, request_id):
    for history in world.run(world.cluster.histories()):
        ids = [stored.submission.request_id for stored in history]
        assert ids.count(request_id) == 1


@then(parsers.parse("the other members accept a document on revision {revision:d}"))
def _(world, revision):
    world.submit(world.others(world.victim)[0], "after", revision)
    assert world.results[-1].revision == revision + 1


@then("they show all revisions in order")
def _(world):
    world.run(world.cluster.run(5))
    for history in world.run(world.cluster.histories()):
        ids = [stored.submission.request_id for stored in history]
        assert ids == ["after", "r1", "r0"]


@then("d is a voter and the old leader is no member")
def _(world):
    members = world.run(world.cluster.do(world.cluster.members["d"].members()))
    roles = {member.name: member.role for member in members}
    assert roles.keys() == {*"abcd"} - {world.victim}
    assert roles["d"] in ("voter", "leader")


@then("the follower shows the newest revision and the last 100")
def _(world):
    member = world.cluster.members[world.victim]
    history = world.run(member.history(1000))
    assert [stored.revision for stored in history] == list(range(402, 302, -1))
    assert world.run(world.cluster.do(member.current())) == history[0]


@then("no election was held")
def _(world):
    assert world.terms() == {world.term}
