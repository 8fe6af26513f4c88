"""Guards against flows that hang, or go to a wrong upstream, after a loss of power."""

import pytest

from arbutuslift.coordination.routing.flowtagrouter import Verdict
from arbutuslift.protocol.feed import StartNews
from arbutuslift.state.flowtags import tag_of
from arbutuslift.state.starts import Phase

from ...builders import start
from .test_flowtagrouter import RouterHarness


def harness_with_restored(*starts):
    harness = RouterHarness()
    add_restored(harness, *starts)
    return harness


def add_restored(harness, *starts):
    records = [StartNews(start=s, is_silent=False, is_remembered=True) for s in starts]
    harness.directory.merge_feed_answer(
        "control", records, is_first=False, is_settled=False
    )


def answer_request(harness, restored):
    """Send a request on a flow of the start, and acknowledge its answer."""
    tag = tag_of(restored)
    harness.data(tag=tag, seq=1, ack=1)
    return harness.data(tag=tag, seq=2, ack=2)


def test_flow_of_a_restored_start_continues():
    """Guards against dropped packets until the next announcement, up to 1.2 s later."""
    harness = harness_with_restored(start(1))
    decision = harness.data(tag=tag_of(start(1)))
    assert decision.verdict is Verdict.FORWARDED
    assert decision.upstream.start == start(1)


def test_restored_start_gets_no_new_flow():
    """Guards against flows to an address that another service has taken over."""
    harness = harness_with_restored(start(1))
    assert len(harness.directory) == 0
    assert harness.syn().verdict is Verdict.REFUSED_NO_UPSTREAM


def test_it_gets_new_flows_after_an_answer():
    harness = harness_with_restored(start(1))
    answer_request(harness, start(1))
    assert len(harness.directory) == 1
    assert harness.syn().upstream.start == start(1)


def test_repeated_packet_is_no_answer():
    harness = harness_with_restored(start(1))
    for _ in range(3):
        harness.data(tag=tag_of(start(1)), seq=1, ack=1)
    assert harness.syn().verdict is Verdict.REFUSED_NO_UPSTREAM


def test_it_gets_new_flows_after_an_announcement():
    harness = harness_with_restored(start(1, warm_up_left_ms=9000))
    harness.learn(start(1, sequence=2))
    assert harness.syn().verdict is Verdict.NEW_FLOW
    assert len(harness.directory) == 1


@pytest.mark.parametrize(
    "other",
    [
        start(2, ip=start(1).ip, born_ms=1),
        start(2, ip=start(1).ip, service="archive"),
        start(1, born_ms=start(1).born_ms + 1, ip="127.20.0.9"),
    ],
)
@pytest.mark.parametrize("has_answered", [False, True])
def test_conflicting_announcement_takes_precedence(other, has_answered):
    """Guards against a restored start whose address or process was replaced."""
    harness = harness_with_restored(start(1))
    if has_answered:
        answer_request(harness, start(1))
    harness.learn(other)
    decision = harness.data(2, tag=tag_of(start(1)))
    assert decision.verdict is Verdict.RESET_UPSTREAM_GONE
    assert [k.start.key for k in harness.directory.of_service("alerts")] == (
        [other.key] if other.service == "alerts" else []
    )


@pytest.mark.parametrize(
    "known",
    [
        start(1, born_ms=start(1).born_ms + 1),
        start(1, phase=Phase.GONE),
        start(2, ip=start(1).ip),
    ],
)
def test_it_never_replaces_an_announced_start(known):
    harness = RouterHarness(known)
    add_restored(harness, start(1))
    before = [k.start.key for k in harness.directory.of_service("alerts")]
    assert before == ([] if known.phase is Phase.GONE else [known.key])
    decision = harness.data(tag=tag_of(start(1)))
    assert decision.verdict is not Verdict.FORWARDED


def test_it_is_gone_once_the_control_instance_is_settled():
    harness = harness_with_restored(start(1))
    harness.directory.merge_feed_answer("control", (), is_first=False, is_settled=True)
    decision = harness.data(tag=tag_of(start(1)))
    assert decision.verdict is Verdict.RESET_UPSTREAM_GONE


def test_draining_start_gets_no_new_flow_after_an_answer():
    draining = start(1, phase=Phase.DRAINING)
    harness = harness_with_restored(draining)
    assert answer_request(harness, draining).verdict is Verdict.FORWARDED
    assert harness.syn().verdict is Verdict.REFUSED_NO_UPSTREAM


def test_announced_start_remains_once_the_control_instance_is_settled():
    harness = harness_with_restored(start(1))
    records = [StartNews(start=start(1), is_silent=False)]
    harness.directory.merge_feed_answer(
        "control", records, is_first=True, is_settled=True
    )
    assert harness.data(tag=tag_of(start(1))).verdict is Verdict.FORWARDED


def test_end_of_an_older_start_conflicts_with_nothing():
    """Guards against resets of its flows when an older start at its address ends."""
    harness = harness_with_restored(start(1))
    harness.learn(start(2, ip=start(1).ip, phase=Phase.GONE))
    harness.learn(start(1, born_ms=5, phase=Phase.GONE))
    assert harness.data(tag=tag_of(start(1))).verdict is Verdict.FORWARDED
