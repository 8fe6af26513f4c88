"""Operators' service: checks of documents, forwarding and its deadline."""

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
def system():
    return FakeSystem()


@pytest.fixture
def thread_counter(monkeypatch):
    """Count running threads, so that the manual clock waits for them."""
    counter = ThreadCounter()
    monkeypatch.setattr(asyncio, "to_thread", counter.to_thread)
    return counter


@pytest.fixture
def send_request(system, thread_counter):
    channel = Channel(system.network.bus("client"))

    async def send(message, server="e1"):
        work = channel.request(server, message, message.timeout_s)
        return await run_until_done(system.clock, work, thread_counter)

    return send


async def test_the_service_rejects_documents_that_a_client_did_not_check(
    system, send_request
):
    body = to_canonical_json(Document())
    assert isinstance(
        await send_request(evolve(APPLY, document=body)), DocumentRejected
    )
    assert isinstance(
        await send_request(evolve(APPLY, document=b"{")), DocumentRejected
    )
    spaced = APPLY.document.replace(b",", b", ")
    assert isinstance(
        await send_request(evolve(APPLY, document=spaced)), RequestRefused
    )
    assert system.store.revisions == []


async def test_a_large_document_is_checked_in_a_thread(send_request):
    services = tuple(
        builders.service(name=f"s{number}", address=f"10.0.{number}.1")
        for number in range(200)
    )
    body = to_canonical_json(builders.document(services=services))
    assert await send_request(evolve(APPLY, document=body), "m1") == DocumentApplied(
        revision=1
    )


async def test_conflict_carries_the_current_document(send_request):
    assert await send_request(evolve(APPLY, expected_revision=4)) == DocumentConflict(
        revision=0, document=b""
    )
    assert await send_request(APPLY) == DocumentApplied(revision=1)
    stale = evolve(APPLY, request_id="s", expected_revision=0)
    assert await send_request(stale) == DocumentConflict(
        revision=1, document=APPLY.document
    )


async def test_a_request_id_can_not_be_used_for_another_document(system, send_request):
    # The store answers by request identifier. Without this check, the operator would
    # be told that a document was accepted although it wasn't.
    await send_request(APPLY)
    other = to_canonical_json(builders.document(services=()))
    answer = await send_request(evolve(APPLY, document=other, expected_revision=1))
    assert isinstance(answer, RequestRefused)
    assert len(system.store.revisions) == 1


async def test_an_unreachable_member_is_skipped(system, send_request):
    system.network.remove("m1")
    assert await send_request(APPLY) == DocumentApplied(revision=1)


async def test_a_change_whose_answer_is_lost_is_sent_to_the_next_member(
    system, send_request
):
    system.store.on_accept = lambda: system.network.remove("m1")
    assert await send_request(APPLY) == DocumentApplied(revision=1)


async def test_the_outcome_of_a_replacement_whose_answer_is_lost_is_unknown(
    system, send_request
):
    system.store.on_accept = lambda: system.network.remove("m1")
    request = ReplaceMember(timeout_s=10.0, old_name="m2", new_name="m3")
    assert isinstance(await send_request(request), OutcomeUndecided)
    assert system.store.replacements == 1


async def test_without_members_nothing_is_accepted(system, send_request):
    system.network.remove("m1")
    system.network.remove("m2")
    assert isinstance(await send_request(APPLY), RequestRefused)


async def test_a_request_is_forwarded_only_once(system, send_request):
    # Two instances that regard each other as members would forward it without end.
    system.add_instance("m1", None)
    assert await send_request(APPLY) == DocumentApplied(revision=1)
    system.add_instance("m2", None)
    assert isinstance(await send_request(evolve(APPLY, request_id="s")), RequestRefused)


async def test_the_outcome_is_unknown_if_a_refusal_follows_a_lost_answer(
    system, send_request
):
    # The first member may still complete the change that the second one refuses.
    await send_request(APPLY)
    other = to_canonical_json(builders.document(services=()))
    submit = system.store.submit

    async def lose_first(submission):
        system.store.submit = submit
        system.network.remove("m1")
        return await submit(submission)

    system.store.submit = lose_first
    reused = evolve(APPLY, document=other, expected_revision=1)
    assert isinstance(await send_request(reused), OutcomeUndecided)


@pytest.mark.parametrize("server", ["e1", "m1"])
async def test_a_change_is_decided_by_a_member_with_a_quorum(
    system, send_request, server
):
    partitioned = FakeStore()
    partitioned.has_quorum = False
    system.add_instance("m1", partitioned)
    assert await send_request(APPLY, server) == DocumentApplied(revision=1)


async def test_a_read_is_answered_by_a_member_with_a_quorum(system, send_request):
    await send_request(APPLY)
    partitioned = FakeStore()
    partitioned.has_quorum = False
    system.add_instance("m1", partitioned)
    shown = await send_request(ShowRevision(timeout_s=10.0))
    assert isinstance(shown, RevisionShown)
    assert shown.document == APPLY.document
    assert await send_request(ShowRevision(timeout_s=10.0), "m1") == shown
    system.store.has_quorum = False
    assert isinstance(await send_request(ShowRevision(timeout_s=10.0)), RequestRefused)


async def test_a_forwarded_request_ends_before_its_client_times_out(
    system, send_request
):
    async def never(submission):
        await system.clock.sleep(1000.0)

    system.store.submit = never
    assert isinstance(await send_request(APPLY), OutcomeUndecided)


async def test_a_failing_store_is_not_an_acceptance(system, send_request):
    async def fail(submission):
        raise PeerFailure("disk full", step="store")

    system.store.submit = fail
    assert isinstance(await send_request(APPLY), OutcomeUndecided)
