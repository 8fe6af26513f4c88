"""Merging of upstream records."""

from hypothesis import given, settings, strategies as st

from arbutuslift.clock import ManualClock
from arbutuslift.state.upstreams import (
    GONE_RETENTION_S,
    MAX_START_AHEAD_S,
    UpstreamState,
    UpstreamView,
    merge_records,
)

from .. import builders

PROCESSES = [
    builders.upstream(
        number,
        address=f"127.20.0.{number % 3}",
        service=f"service-{number % 2}",
        started_at_s=float(start),
    )
    for number, start in enumerate([10, 20, 20, 30, 5, 30])
]


@st.composite
def records(draw):
    changes = {
        "sequence": draw(st.integers(1, 4)),
        "state": draw(st.sampled_from(UpstreamState)),
        "weight": draw(st.sampled_from([50, 100])),
        "lapsed_sequence": draw(st.integers(-1, 4)),
    }
    number = draw(st.integers(0, len(PROCESSES) - 1))
    base = PROCESSES[number]
    kept = {"address": base.address, "service": base.service}
    return builders.upstream(number, started_at_s=base.started_at_s, **kept, **changes)


def naive_view(arrived):
    """Compute sequence, weight, state, lapsed_sequence by identity from all records."""
    result = {}
    for record in arrived:
        own = [r for r in arrived if r.upstream_id == record.upstream_id]
        rivals = [r for r in arrived if r.address == record.address]
        last = max(rivals, key=lambda r: (r.started_at_s, r.upstream_id))
        state = max(r.state for r in own)
        if last.upstream_id != record.upstream_id:
            state = UpstreamState.GONE
        sequence, weight = max((r.sequence, r.weight) for r in own)
        lapsed_sequence = max(r.lapsed_sequence for r in own)
        result[record.upstream_id] = (sequence, weight, state, lapsed_sequence)
    return result


def contents(view):
    return {
        r.upstream_id: (r.sequence, r.weight, r.state, r.lapsed_sequence) for r in view
    }


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(records(), max_size=12), st.randoms(use_true_random=False))
def test_any_order_and_repetition_gives_the_naive_view(arrived, random):
    # Guards against a view that depends on the order in which gossip arrives.
    view = UpstreamView(ManualClock())
    repeated = arrived + random.sample(arrived, len(arrived) // 2)
    random.shuffle(repeated)
    for record in repeated:
        view.merge(record)
    assert contents(view) == naive_view(arrived)
    alive = {r.upstream_id for r in view if r.is_alive}
    indexed = [r for n in range(2) for r in view.of_service(f"service-{n}")]
    assert {r.upstream_id for r in indexed} == alive
    assert all(view.get(r.upstream_id) is r for r in indexed)
    assert all(view.at_address(r.address, r.service) is r for r in indexed)
    assert not any(view.merge(record) for record in arrived)


def test_merging_is_independent_of_grouping():
    # A peer sends merged records instead of the single announcements.
    older = builders.upstream(sequence=3, state=UpstreamState.DRAINING)
    newer = builders.upstream(sequence=5, weight=10, lapsed_sequence=4)
    assert merge_records(older, newer) == merge_records(
        newer, merge_records(newer, older)
    )
    assert merge_records(older, newer).state == UpstreamState.DRAINING
    assert merge_records(older, newer).weight == 10


def test_reuse_of_an_address_by_another_service_ends_the_older_process_at_once():
    view = UpstreamView(ManualClock())
    changed = []
    view.on_change(changed.append)
    view.merge(builders.upstream(1, address="127.20.0.9", started_at_s=10.0))
    new = builders.upstream(
        2, address="127.20.0.9", started_at_s=11.0, service="dossiers"
    )
    view.merge(new)
    assert view.of_service("alerts") == []
    assert view.at_address("127.20.0.9", "alerts") is None
    assert view.at_address("127.20.0.9", "dossiers") == new
    assert [(r.upstream_id[-1], r.is_alive) for r in changed] == [
        ("1", True),
        ("1", False),
        ("2", True),
    ]


def test_replay_of_a_gone_identity_changes_nothing_for_the_retention_time():
    clock = ManualClock()
    view = UpstreamView(clock)
    view.merge(builders.upstream(sequence=5, state=UpstreamState.GONE))
    clock.jump(GONE_RETENTION_S - 1.0)
    view.expire()
    assert not view.merge(builders.upstream(sequence=4))
    view.merge(builders.upstream(sequence=9))
    assert view.of_service("alerts") == []


def test_a_peer_can_not_reintroduce_a_removed_record():
    # Peers remove a gone record at slightly different times. Without this rule they
    # would keep sending it to each other for ever.
    clock = ManualClock()
    view, peer = UpstreamView(clock), UpstreamView(clock)
    view.merge(builders.upstream(state=UpstreamState.GONE))
    for record in view:
        peer.merge(record)
    clock.jump(GONE_RETENTION_S)
    view.expire()
    assert len(view) == 0
    assert not any(view.merge(record) for record in peer)


def test_timed_out_upstream_is_alive_again_only_after_a_newer_announcement():
    view = UpstreamView(ManualClock())
    view.merge(builders.upstream(sequence=7))
    view.mark_timed_out(builders.upstream().upstream_id)
    assert view.of_service("alerts") == []
    assert not view.merge(builders.upstream(sequence=7))
    assert view.of_service("alerts") == []
    view.merge(builders.upstream(sequence=8))
    assert len(view.of_service("alerts")) == 1
    view.merge(builders.upstream(sequence=7, lapsed_sequence=7))
    assert len(view.of_service("alerts")) == 1


def test_start_in_the_far_future_does_not_block_an_address():
    clock = ManualClock()
    view = UpstreamView(clock)
    future_s = clock.wall_s() + MAX_START_AHEAD_S + 1.0
    view.merge(builders.upstream(1, address="127.20.0.9", started_at_s=future_s))
    view.merge(builders.upstream(2, address="127.20.0.9", started_at_s=10.0))
    assert [r.started_at_s for r in view.of_service("alerts")] == [10.0]
    assert view.refused_future_start == 1


def test_at_the_bound_the_record_gone_longest_is_evicted():
    clock = ManualClock()
    view = UpstreamView(clock, max_records=3)
    for number in range(1, 4):
        view.merge(builders.upstream(number))
    assert not view.merge(builders.upstream(4))
    assert view.refused_at_capacity == 1
    for number in (2, 1):
        clock.jump(1.0)
        view.merge(builders.upstream(number, state=UpstreamState.GONE))
    assert view.merge(builders.upstream(4))
    assert view.get(builders.upstream(2).upstream_id) is None
    assert view.get(builders.upstream(1).upstream_id) is not None


def test_announcements_of_load_only_do_not_report_an_eligibility_change():
    view = UpstreamView(ManualClock())
    changed, eligibility_changed = [], []
    view.on_change(changed.append)
    view.on_eligibility_change(eligibility_changed.append)
    view.merge(builders.upstream(sequence=1))
    view.merge(builders.upstream(sequence=2, open_connections=5))
    view.merge(builders.upstream(sequence=3, weight=5))
    assert len(changed) == 3
    assert len(eligibility_changed) == 2
