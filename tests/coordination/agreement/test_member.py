"""Members: all faults, identities of disks, bootstrap, reads, leadership transfer."""

import asyncio

import pytest

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.agreement.agreementtiming import AgreementTiming
from arbutuslift.coordination.agreement.memberstate import MemberState
from arbutuslift.errors import (
    DocumentError,
    MembershipChangeError,
    NoQuorum,
    RequestReused,
    SettingsError,
    StorageError,
)
from arbutuslift.protocol.agreement import TakeOver
from arbutuslift.state.logstore import EntryKind, LogEntry
from arbutuslift.state.snapshots import Snapshot
from arbutuslift.state.storage import MemberStorage

from ..cluster import Cluster, submission


@pytest.fixture
async def clusters():
    opened = []

    def open_cluster(*args, **options):
        opened.append(Cluster(*args, **options))
        return opened[-1]

    yield open_cluster
    for cluster in opened:
        await cluster.close()


@pytest.fixture
async def cluster(clusters):
    cluster = clusters()
    cluster.start()
    await cluster.leader()
    return cluster


async def roles(cluster):
    """Return the leader and the followers."""
    leader = await cluster.leader()
    return leader, *(name for name in cluster.names if name != leader)


async def kill(cluster, name):
    await cluster.kill(name)


async def lose_disk(cluster, name):
    await cluster.wipe(name)
    cluster.start(name)


async def partition(cluster, name):
    cluster.isolate(name)


async def freeze(cluster, name):
    cluster.freeze(name)


def fail_storage(*args):
    raise StorageError("injected", step="write")


FAULTS = [kill, lose_disk, partition, freeze]


async def repair(cluster, name, fault, server):
    if fault is kill:
        cluster.start(name)
    cluster.network.heal()
    cluster.unfreeze(name)
    if fault is lose_disk:
        await cluster.run_until_done(cluster.members[server].replace_member(name, name))


@pytest.mark.parametrize("position", [0, 1], ids=["leader", "follower"])
@pytest.mark.parametrize("fault", FAULTS)
async def test_one_fault_loses_no_revision_and_blocks_no_change(
    cluster, fault, position
):
    await cluster.submit_many("a", 3)
    victim = (await roles(cluster))[position]
    await fault(cluster, victim)
    others = [name for name in cluster.names if name != victim]
    assert (await cluster.submit(others[0], "during", 3)).revision == 4
    assert (await cluster.submit(others[1], "r1", 1)).revision == 2
    await repair(cluster, victim, fault, others[0])
    assert (await cluster.submit(victim, "after", 4)).revision == 5
    assert (
        await cluster.run_until_done(cluster.members[victim].current())
    ).revision == 5
    await cluster.run(5)
    first, *rest = await cluster.histories()
    assert rest == [first, first]
    assert [s.revision for s in first] == [5, 4, 3, 2, 1]


@pytest.mark.parametrize("first", FAULTS)
@pytest.mark.parametrize("second", FAULTS)
async def test_two_faults_at_once_lose_no_revision_and_a_third_blocks_changes(
    clusters, first, second
):
    cluster = clusters("abcde")
    cluster.start()
    leader, other, *rest = await roles(cluster)
    await cluster.submit_many(leader, 2)
    await first(cluster, leader)
    await second(cluster, other)
    await cluster.submit(rest[0], "three of five", 2)
    await cluster.kill(rest[1])
    with pytest.raises(NoQuorum):
        await cluster.submit(rest[0], "two of five", 3)
    with pytest.raises(NoQuorum):
        await cluster.run_until_done(cluster.members[rest[0]].current())
    cluster.start(rest[1])
    await cluster.run_until_done(cluster.members[rest[1]].current())
    ids = [s.submission.request_id for s in (await cluster.histories())[-1]]
    assert ids[-3:] == ["three of five", "r1", "r0"]


@pytest.mark.parametrize("duration_s", [2.0, 30.0, 3600.0])
async def test_cluster_recovers_from_a_freeze_of_all_members(cluster, duration_s):
    await cluster.submit_many("a", 2)
    cluster.clock.jump(duration_s)
    assert (await cluster.submit("b", "after", 2)).revision == 3
    assert (await cluster.run_until_done(cluster.members["c"].current())).revision == 3


async def test_leader_that_was_frozen_returns_no_stale_revision(cluster):
    """Guards against stale reads from a leader that hasn't noticed its successor."""
    leader, other, _ = await roles(cluster)
    await cluster.submit_many(leader, 1)
    cluster.freeze(leader)
    await cluster.submit(other, "newer", 1)
    assert cluster.members[leader].is_leader
    read = asyncio.ensure_future(cluster.members[leader].current())
    await cluster.run(0)
    cluster.unfreeze(leader)
    assert (await cluster.run_until_done(read)).revision == 2


async def test_new_leader_reads_what_its_predecessor_committed(cluster, monkeypatch):
    """Guards against a read before an entry of the leader's own term is committed.

    The test skips the read round with the quorum, since it mostly hides the failure.
    """

    async def confirm(timeout_s):
        return True

    leader, holder, lagging = await roles(cluster)
    await cluster.submit_many(leader, 3)
    cluster.network.partition([lagging], [leader, holder])
    sent = asyncio.ensure_future(cluster.members[leader].submit(submission("r3", 3)))
    await cluster.run_until(sent.done, step_s=0.0005)
    await cluster.kill(leader)
    assert len(await cluster.members[holder].history(9)) == 3
    cluster.network.heal()
    successor = cluster.members[holder]
    monkeypatch.setattr(successor._replicator, "confirm_leadership", confirm)
    await cluster.run_until(lambda: successor.is_leader, step_s=0.0005)
    read = asyncio.ensure_future(successor.current())
    await cluster.run_until(read.done, step_s=0.0005)
    assert read.result().revision == 4


async def test_rejoining_leader_discards_uncommitted_entries(cluster):
    """Guards against conflicting entries that remain below a matching later entry."""
    leader, other, third = await roles(cluster)
    await cluster.submit_many(leader, 1)
    cluster.isolate(leader)
    uncommitted = [
        asyncio.ensure_future(cluster.members[leader].submit(submission(name, 1)))
        for name in ("x", "y", "z")
    ]
    await cluster.submit(other, "r1", 1)
    for name in (other, third):
        await cluster.kill(name)
    cluster.start(other, third)
    await cluster.submit(third, "r2", 2)
    for task in uncommitted:
        task.cancel()
    cluster.network.heal()
    await cluster.run(10)
    first, *rest = await cluster.histories()
    assert rest == [first, first]
    assert [s.submission.request_id for s in first] == ["r2", "r1", "r0"]


async def test_leader_without_quorum_steps_down(cluster):
    leader, *_ = await roles(cluster)
    cluster.isolate(leader)
    await cluster.run(4.5)
    assert not cluster.members[leader].is_leader


async def test_rejoining_member_doesn_t_disrupt_the_leader(cluster):
    """Guards against an election caused by the higher term of a partitioned member."""
    leader, other, _ = await roles(cluster)
    term = cluster.storages[leader].terms.load().term
    cluster.isolate(other)
    await cluster.run(100)
    cluster.network.heal()
    await cluster.run(20)
    assert cluster.leaders() == [leader]
    assert {s.terms.load().term for s in cluster.storages.values()} == {term}


async def test_entry_of_an_earlier_term_isn_t_committed_by_counting(cluster):
    """Guards against a commit of an entry that a later leader can still replace."""
    leader, *_ = await roles(cluster)
    member = cluster.members[leader]
    kinds = [entry.kind for entry in cluster.storages[leader].log.read(1, 10**6)]
    assert kinds == [EntryKind.MEMBERSHIP, EntryKind.NO_OP]
    state, replicator = member._state, member._replicator
    state.append((LogEntry(index=3, term=state.term, kind=EntryKind.NO_OP),))
    state.become_candidate(state.term + 1)
    for peer in replicator.peers:
        peer.matched_index = 3
    replicator._advance_commit_index()
    assert state.commit_index == 2


async def _wipe_an_acknowledging_member(cluster):
    """Accept a change on two of three members, and leave one wiped, one lagging."""
    leader, holder, lagging = await roles(cluster)
    cluster.network.partition([lagging], [leader, holder])
    await cluster.submit(leader, "accepted")
    await cluster.kill(leader)
    await cluster.wipe(holder)
    cluster.network.heal()
    cluster.start(holder, initial=())
    await cluster.run(30)
    return leader, holder, lagging


async def test_without_identities_a_wiped_member_loses_an_accepted_change(clusters):
    """Shows the failure that identities prevent: a wiped disk votes under its name."""
    cluster = clusters(identities={name: name.encode() * 16 for name in "abc"})
    cluster.start()
    *_, lagging = await _wipe_an_acknowledging_member(cluster)
    assert await cluster.run_until_done(cluster.members[lagging].current()) is None
    assert (await cluster.submit(lagging, "in its place")).revision == 1


async def test_wiped_member_doesn_t_vote_for_a_member_that_lags(cluster):
    leader, holder, lagging = await _wipe_an_acknowledging_member(cluster)
    for name in (holder, lagging):
        with pytest.raises(NoQuorum):
            await cluster.submit(name, "in its place")
    cluster.start(leader)
    found = await cluster.run_until_done(cluster.members[lagging].current())
    assert found.submission.request_id == "accepted"


async def test_wiped_first_member_doesn_t_form_a_second_cluster(cluster):
    await cluster.submit_many("a", 1)
    await lose_disk(cluster, "a")
    await cluster.run(20)
    assert "already belongs to a cluster" in cluster.members["a"].fault
    cluster.isolate("a")
    with pytest.raises(NoQuorum):
        await cluster.submit("a", "alone")
    await repair(cluster, "a", lose_disk, "b")
    await cluster.run(5)
    assert cluster.members["a"].fault is None


async def test_two_bootstraps_with_different_lists_form_at_most_one_cluster(clusters):
    cluster = clusters("abcd")
    cluster.start("a", initial=("a", "b", "c"))
    cluster.start("d", initial=("d", "b", "c"))
    cluster.start("b", "c")
    await cluster.run(60)
    assert len(cluster.leaders()) <= 1
    assert any(member.fault for member in cluster.members.values())


async def test_bootstrap_waits_for_every_initial_member(clusters):
    cluster = clusters()
    cluster.start("a", "b")
    await cluster.run(30)
    assert not any(s.terms.load().cluster for s in cluster.storages.values())
    cluster.start("c")
    await cluster.leader()


async def test_bootstrap_needs_every_initial_member_to_agree(clusters):
    """Guards against a cluster one of whose members can still join another cluster."""
    cluster = clusters()
    cluster.start("a", "b")
    cluster.start("c", initial=())
    await cluster.run(30)
    assert cluster.leaders() == []
    assert "doesn't list this member" in cluster.members["a"].fault


@pytest.mark.parametrize("names", ["a", "ab", "aab"])
async def test_short_list_of_initial_members_is_refused(clusters, names):
    """Guards against a wiped member that forms a cluster alone."""
    with pytest.raises(SettingsError, match="3 to 13"):
        clusters().start("a", initial=tuple(names))


async def test_leader_is_replaced_under_a_new_name(cluster):
    leader, other, _ = await roles(cluster)
    cluster.start("d", initial=())
    for _ in ("request", "resend after a lost answer"):
        await cluster.run_until_done(cluster.members[other].replace_member(leader, "d"))
    with pytest.raises(MembershipChangeError, match="no member"):
        await cluster.run_until_done(cluster.members[other].replace_member(other, "d"))
    await cluster.kill(leader)
    members = await cluster.run_until_done(cluster.members["d"].members())
    assert sorted(m.name for m in members) == sorted({*"abcd"} - {leader})
    assert sorted(m.role for m in members) == ["leader", "voter", "voter"]


async def test_lagging_member_gets_a_snapshot_in_chunks(cluster, monkeypatch):
    monkeypatch.setattr(
        "arbutuslift.coordination.agreement.replication.CHUNK_BYTES", 1000
    )
    monkeypatch.setattr(
        "arbutuslift.coordination.agreement.memberstate.SNAPSHOT_ENTRIES", 20
    )
    leader, other, _ = await roles(cluster)
    await cluster.submit_many(leader, 2)
    cluster.isolate(other)
    await cluster.submit_many(leader, 60, start=2)
    cluster.network.heal()
    await cluster.run(10)
    assert cluster.storages[other].snapshots.indexes()
    assert [s.revision for s in cluster.reported[other]] == list(range(1, 63))
    await cluster.kill(leader)
    cluster.start(leader)
    assert (await cluster.submit(other, "r62", 62)).revision == 63


@pytest.mark.parametrize(("term", "last_index"), [(1, 5), (2, 3)])
def test_installed_snapshot_keeps_only_entries_that_continue_it(term, last_index):
    """Guards against the loss of entries that the member has acknowledged."""
    storage = MemberStorage.in_memory()
    kind = EntryKind.NO_OP
    storage.log.append([LogEntry(index=n, term=1, kind=kind) for n in range(1, 6)])
    state = MemberState("a", storage, ManualClock())
    state.install_snapshot(Snapshot(index=3, term=term))
    assert (state.last_index, state.commit_index) == (last_index, 3)


async def test_learner_that_doesn_t_catch_up_never_votes(cluster, monkeypatch):
    cluster.start("d", initial=())
    monkeypatch.setattr(cluster.storages["d"].log, "append", fail_storage)
    replacement = cluster.members["a"].replace_member("b", "d")
    with pytest.raises(MembershipChangeError, match="doesn't catch up"):
        await cluster.run_until_done(replacement, 100)
    members = await cluster.run_until_done(cluster.members["a"].members())
    assert [m.name for m in members if m.role == "learner"] == ["d"]
    assert [m.name for m in members if m.role != "learner"] == ["a", "b", "c"]


async def test_submissions_that_can_t_be_stored_are_refused(cluster):
    with pytest.raises(DocumentError, match="limit"):
        await cluster.submit("a", "big", document="x" * 3_000_000)
    await cluster.submit("a", "r0")
    with pytest.raises(RequestReused, match="r0"):
        await cluster.submit("b", "r0", document="another")


async def test_replication_of_a_change_is_traced_at_the_leader_once(cluster):
    _, follower, _ = await roles(cluster)
    await cluster.submit(follower, "r0")
    await cluster.submit(follower, "r0")
    assert cluster.tracer.spans == [("replicate", "r0")]


@pytest.mark.parametrize("store", ["log", "terms"])
async def test_failed_storage_stops_only_that_member(cluster, monkeypatch, store):
    leader, other, _ = await roles(cluster)
    broken = getattr(cluster.storages[leader], store)
    monkeypatch.setattr(broken, "append" if store == "log" else "save", fail_storage)
    if store == "terms":
        cluster.isolate(leader)
        await cluster.run(20)
        cluster.network.heal()
    assert (await cluster.submit(other, "r0")).revision == 1
    await cluster.run(10)
    assert "injected" in cluster.members[leader].fault
    with pytest.raises(NoQuorum):
        await cluster.submit(leader, "r1", 1)


async def test_first_election_after_a_stop_of_all_members_uses_its_shorter_timeout():
    timing = AgreementTiming(election_timeout_s=3.0, first_election_timeout_s=0.25)
    cluster = Cluster(timing=timing)
    cluster.start()
    await cluster.leader()
    await cluster.submit("a", "r0", 0, "kept")
    for name in cluster.names:
        await cluster.kill(name)
    cluster.start()
    stopped_s = cluster.clock.monotonic_s()
    await cluster.leader()
    assert cluster.clock.monotonic_s() - stopped_s < timing.election_timeout_s
    stored = await cluster.run_until_done(cluster.members["b"].current())
    assert stored.submission.document == b"kept"
    await cluster.close()


async def test_a_restarted_member_does_not_disturb_a_leader():
    timing = AgreementTiming(heartbeat_interval_s=0.2, first_election_timeout_s=0.25)
    cluster = Cluster(timing=timing)
    cluster.start()
    leader = await cluster.leader()
    other = next(name for name in cluster.names if name != leader)
    await cluster.kill(other)
    await cluster.run(1.0)
    cluster.start(other)
    await cluster.run(3.0)
    assert cluster.leaders() == [leader]
    await cluster.close()


async def test_a_leader_that_stops_transfers_the_leadership(cluster):
    """Guards against delays of orders by an election at each rolling restart."""
    leader, *others = await roles(cluster)
    await cluster.submit(leader, "r0", 0, "kept")
    assert await cluster.run_until_done(
        cluster.members[leader].transfer_leadership(0.5)
    )
    await cluster.kill(leader)
    started_s = cluster.clock.monotonic_s()
    successor = await cluster.leader()
    assert cluster.clock.monotonic_s() - started_s < 0.2
    assert successor in others
    stored = await cluster.run_until_done(cluster.members[successor].current())
    assert stored.submission.document == b"kept"
    assert (await cluster.submit(successor, "r1", 1)).revision == 2


async def test_only_a_leader_transfers_the_leadership(cluster):
    leader, other, _ = await roles(cluster)
    assert not await cluster.run_until_done(
        cluster.members[other].transfer_leadership(0.5)
    )
    assert cluster.leaders() == [leader]


async def test_transfer_by_an_isolated_leader_times_out(
    cluster,
):
    """Guards against a process that can't end because the transfer request is lost."""
    leader, *_ = await roles(cluster)
    cluster.isolate(leader)
    started_s = cluster.clock.monotonic_s()
    assert not await cluster.run_until_done(
        cluster.members[leader].transfer_leadership(0.5)
    )
    assert cluster.clock.monotonic_s() - started_s < 1.0


async def test_leadership_is_not_transferred_to_a_member_without_the_whole_log(cluster):
    """Guards against an election that the successor can't win."""
    leader, lagging, other = await roles(cluster)
    await kill(cluster, other)
    cluster.isolate(lagging)
    before = cluster.members[leader]._state.term
    cluster.members[leader]._replicator.propose(EntryKind.NO_OP, b"")
    await cluster.run(0.1)
    assert not await cluster.run_until_done(
        cluster.members[leader].transfer_leadership(0.5)
    )
    assert cluster.members[leader]._state.term == before


async def test_a_transfer_request_of_an_old_term_is_ignored(cluster):
    leader, other, _ = await roles(cluster)
    state = cluster.members[other]._state
    offer = TakeOver(target=state.identity, cluster=state.cluster, term=state.term - 1)
    await cluster.members[leader]._channel.send(other, offer)
    await cluster.run(0.3)
    assert cluster.leaders() == [leader]


async def test_a_newer_term_and_the_vote_in_it_are_stored_together(cluster):
    """Guards against an election that waits for a slow disk twice at each voter."""
    killed, *left = await roles(cluster)
    saved = {name: [] for name in left}
    for name in left:
        terms = cluster.storages[name].terms
        save = terms.save

        def record(value, name=name, save=save):
            saved[name].append(value)
            save(value)

        terms.save = record
    await kill(cluster, killed)
    leader = await cluster.leader()
    voter = next(name for name in left if name != leader)
    assert [record.voted_for for record in saved[voter]] == [
        cluster.members[leader].identity
    ]
