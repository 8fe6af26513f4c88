"""Scenarios of operators and members of the replicated log."""

import asyncio
from types import SimpleNamespace

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from arbutuslift.errors import ConfigurationConflict

from ..cluster import Cluster, submission

scenarios("features/agreement.feature")

text = parsers.parse


@pytest.fixture
def runner():
    with asyncio.Runner() as runner:
        yield runner


@pytest.fixture
def run(runner):
    return runner.run


@pytest.fixture
def cluster(run):
    cluster = Cluster()
    yield cluster
    run(cluster.close())


@pytest.fixture
def case():
    """Return the state that the steps of one scenario share."""
    return SimpleNamespace(results=[], victim=None, term=None)


def others(cluster, name):
    return [other for other in cluster.members if other != name]


def terms(cluster):
    return {storage.terms.load().term for storage in cluster.storages.values()}


@given(text("members with {count:d} accepted revisions"))
def _(cluster, run, count):
    async def begin():
        cluster.start()
        await cluster.submit_many("a", count)

    run(begin())


@when(text('operators submit "one" to a and "two" to b on revision 2 at once'))
def _(cluster, run, case):
    async def race():
        sent = {"a": submission("one", 2), "b": submission("two", 2)}
        work = [cluster.members[name].submit(sent[name]) for name in sent]
        return await cluster.run_until_done(
            asyncio.gather(*work, return_exceptions=True)
        )

    case.results = run(race())


@when(text('the answer to "{request_id}" on revision {revision:d} is lost'))
def _(cluster, run, request_id, revision):
    async def lose_answer():
        sender = others(cluster, await cluster.leader())[0]
        sent = submission(request_id, revision)
        task = asyncio.ensure_future(cluster.members[sender].submit(sent))
        await cluster.run(0.0015)
        await cluster.kill(sender)
        task.cancel()
        cluster.start(sender)

    run(lose_answer())


@when(text("others have {count:d} more documents accepted"))
def _(cluster, run, count):
    run(cluster.submit_many("a", count, start=3))


@when("the leader is lost")
def _(cluster, run, case):
    case.victim = run(cluster.leader())
    run(cluster.kill(case.victim))


@when("a follower loses its disk")
def _(cluster, run, case):
    async def lose_disk():
        await cluster.wipe(case.victim)
        cluster.start(case.victim)

    case.victim = others(cluster, run(cluster.leader()))[0]
    run(lose_disk())


@when("an operator replaces it")
def _(cluster, run, case):
    server = cluster.members[others(cluster, case.victim)[0]]
    run(cluster.run_until_done(server.replace_member(case.victim, case.victim)))


@when("another member loses its disk")
def _(cluster, run, case):
    case.victim = others(cluster, case.victim)[0]
    run(cluster.wipe(case.victim))


@when(text("a follower is cut off while {count:d} documents are accepted"))
def _(cluster, run, case, count):
    leader = run(cluster.leader())
    case.term = max(terms(cluster))
    case.victim = others(cluster, leader)[0]
    cluster.isolate(case.victim)
    run(cluster.submit_many(leader, count, start=2))
    run(cluster.run(600))


@when("the partition heals")
def _(cluster, run):
    cluster.network.heal()
    run(cluster.run(10))


@then(text("one is accepted as revision {revision:d} and the other is shown it"))
def _(case, revision):
    conflict, accepted = sorted(
        case.results, key=lambda result: not isinstance(result, Exception)
    )
    assert isinstance(conflict, ConfigurationConflict)
    assert conflict.current == accepted
    assert accepted.revision == revision


@then(text('a resend of "{request_id}" on revision {expected:d} gets revision {got:d}'))
def _(cluster, run, request_id, expected, got):
    assert run(cluster.submit("c", request_id, expected)).revision == got


@then(text('"{request_id}" is in every history once'))
def _(cluster, run, request_id):
    for history in run(cluster.histories()):
        ids = [stored.submission.request_id for stored in history]
        assert ids.count(request_id) == 1


@then("the others accept a document and show all revisions in order")
def _(cluster, run, case):
    run(cluster.submit(others(cluster, case.victim)[0], "after", 2))
    run(cluster.run(5))
    for history in run(cluster.histories()):
        ids = [stored.submission.request_id for stored in history]
        assert ids == ["after", "r1", "r0"]


@then("the follower shows the newest revision and the last 100")
def _(cluster, run, case):
    member = cluster.members[case.victim]
    history = run(member.history(1000))
    assert [stored.revision for stored in history] == list(range(402, 302, -1))
    assert run(cluster.run_until_done(member.current())) == history[0]


@then("no election was held")
def _(cluster, case):
    assert terms(cluster) == {case.term}
