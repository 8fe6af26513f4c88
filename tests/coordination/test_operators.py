"""Operators' service: checks, forwarding and its deadline."""

import asyncio

import pytest
from attrs import evolve

from arbutuslift.errors import PeerFailure
from arbutuslift.protocol.channel import Channel
from arbutuslift.protocol.document import Document, to_canonical_json
from arbutuslift.protocol.operators import (
    ApplyDocument,
    DocumentApplied,
    DocumentConflict,
    DocumentRejected,
    OutcomeUndecided,
    ReplaceMember,
    RequestRefused,
    RevisionShown,
    ShowRevision,
)

from .. import builders
from ..fakes import FakeStore, FakeSystem, ThreadCounter, run_until_done

APPLY = ApplyDocument(
    timeout_s=10.0,
    document=to_canonical_json(builders.document()),
    expected_revision=0,
    request_id="r",
    author="a",
    submitted_at_s=0.0,
)


@pytest.fixture
def site():
    return FakeSystem()


@pytest.fixture
def threads(monkeypatch):
    """Let virtual time wait for threads, which take real time."""
    count = ThreadCounter()
    monkeypatch.setattr(asyncio, "to_thread", count.to_thread)
    return count


@pytest.fixture
def ask(site, threads):
    channel = Channel(site.network.bus("client"))

    async def ask_server(message, server="e1"):
        work = channel.request(server, message, message.timeout_s)
        return await run_until_done(site.clock, work, threads)

    return ask_server


async def test_the_service_rejects_what_a_client_failed_to_check(site, ask):
    body = to_canonical_json(Document())
    assert isinstance(await ask(evolve(APPLY, document=body)), DocumentRejected)
    assert isinstance(await ask(evolve(APPLY, document=b"{")), DocumentRejected)
    spaced = APPLY.document.replace(b",", b", ")
    assert isinstance(await ask(evolve(APPLY, document=spaced)), RequestRefused)
    assert site.store.revisions == []


async def test_a_large_document_is_checked_in_a_thread(ask):
    services = tuple(
        builders.service(name=f"s{number}", address=f"10.0.{number}.1")
        for number in range(200)
    )
    body = to_canonical_json(builders.document(services=services))
    assert await ask(evolve(APPLY, document=body), "m1") == DocumentApplied(revision=1)


async def test_conflict_carries_the_standing_document(ask):
    assert await ask(evolve(APPLY, expected_revision=4)) == DocumentConflict(
        revision=0, document=b""
    )
    assert await ask(APPLY) == DocumentApplied(revision=1)
    stale = evolve(APPLY, request_id="s", expected_revision=0)
    assert await ask(stale) == DocumentConflict(revision=1, document=APPLY.document)


async def test_a_request_id_can_not_be_used_for_another_document(site, ask):
    # The store answers by identifier; without this check the operator would be told
    # that a document was accepted that never was.
    await ask(APPLY)
    other = to_canonical_json(builders.document(services=()))
    answer = await ask(evolve(APPLY, document=other, expected_revision=1))
    assert isinstance(answer, RequestRefused)
    assert len(site.store.revisions) == 1


async def test_a_member_that_is_gone_is_passed_over(site, ask):
    site.network.remove("m1")
    assert await ask(APPLY) == DocumentApplied(revision=1)


async def test_a_lost_answer_of_a_member_is_fetched_from_the_next(site, ask):
    site.store.on_accept = lambda: site.network.remove("m1")
    assert await ask(APPLY) == DocumentApplied(revision=1)


async def test_a_lost_answer_about_a_replacement_is_unknown(site, ask):
    site.store.on_accept = lambda: site.network.remove("m1")
    request = ReplaceMember(timeout_s=10.0, old_name="m2", new_name="m3")
    assert isinstance(await ask(request), OutcomeUndecided)
    assert site.store.replacements == 1


async def test_without_members_nothing_is_accepted(site, ask):
    site.network.remove("m1")
    site.network.remove("m2")
    assert isinstance(await ask(APPLY), RequestRefused)


async def test_a_request_is_passed_on_once_only(site, ask):
    # Two instances that take each other for members would pass it on for ever.
    site.add_instance("m1", None)
    assert await ask(APPLY) == DocumentApplied(revision=1)
    site.add_instance("m2", None)
    assert isinstance(await ask(evolve(APPLY, request_id="s")), RequestRefused)


async def test_refusal_after_a_lost_answer_stays_unknown(site, ask):
    # The first member may still complete the change that the second refuses.
    await ask(APPLY)
    other = to_canonical_json(builders.document(services=()))
    submit = site.store.submit

    async def lose_first(submission):
        site.store.submit = submit
        site.network.remove("m1")
        return await submit(submission)

    site.store.submit = lose_first
    reused = evolve(APPLY, document=other, expected_revision=1)
    assert isinstance(await ask(reused), OutcomeUndecided)


@pytest.mark.parametrize("server", ["e1", "m1"])
async def test_a_change_finds_the_member_with_a_quorum(site, ask, server):
    partitioned = FakeStore()
    partitioned.has_quorum = False
    site.add_instance("m1", partitioned)
    assert await ask(APPLY, server) == DocumentApplied(revision=1)


async def test_reads_look_for_a_member_with_a_quorum(site, ask):
    await ask(APPLY)
    partitioned = FakeStore()
    partitioned.has_quorum = False
    site.add_instance("m1", partitioned)
    shown = await ask(ShowRevision(timeout_s=10.0))
    assert isinstance(shown, RevisionShown)
    assert shown.document == APPLY.document
    assert await ask(ShowRevision(timeout_s=10.0), "m1") == shown
    site.store.has_quorum = False
    assert isinstance(await ask(ShowRevision(timeout_s=10.0)), RequestRefused)


async def test_a_forwarded_request_ends_before_its_client_gives_up(site, ask):
    async def never(submission):
        await site.clock.sleep(1000.0)

    site.store.submit = never
    assert isinstance(await ask(APPLY), OutcomeUndecided)


async def test_a_failing_store_is_not_an_acceptance(site, ask):
    async def fail(submission):
        raise PeerFailure("disk full", step="store")

    site.store.submit = fail
    assert isinstance(await ask(APPLY), OutcomeUndecided)
