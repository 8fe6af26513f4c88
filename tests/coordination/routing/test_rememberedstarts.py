"""Guards against flows that hang after a loss of power, and new ones sent astray."""

import pytest

from arbutuslift.coordination.routing.flowtagrouter import Verdict
from arbutuslift.protocol.feed import StartNews
from arbutuslift.state.flowtags import tag_of
from arbutuslift.state.starts import Phase

from ...builders import start
from .test_flowtagrouter import RouterHarness


def remembering(*starts):
    entry = RouterHarness()
    remember(entry, *starts)
    return entry


def remember(entry, *starts):
    news = [StartNews(start=s, is_silent=False, is_remembered=True) for s in starts]
    entry.directory.receive("control", news, is_first=False, is_settled=False)


def answered(entry, remembered):
    """Let a flow of the start carry a request, and then show that it was answered."""
    tag = tag_of(remembered)
    entry.data(tag=tag, seq=1, ack=1)
    return entry.data(tag=tag, seq=2, ack=2)


def test_a_flow_of_a_remembered_start_goes_on():
    """Guards against silence until the upstream announces itself, up to 1.2 s."""
    entry = remembering(start(1))
    decision = entry.data(tag=tag_of(start(1)))
    assert decision.verdict is Verdict.FORWARDED
    assert decision.upstream.start == start(1)


def test_a_remembered_start_takes_no_new_flow():
    """Guards against an address that another service's upstream has by now."""
    entry = remembering(start(1))
    assert len(entry.directory) == 0
    assert entry.syn().verdict is Verdict.REFUSED_NO_UPSTREAM


def test_it_takes_new_flows_once_it_has_answered_one():
    entry = remembering(start(1))
    answered(entry, start(1))
    assert len(entry.directory) == 1
    assert entry.syn().upstream.start == start(1)


def test_a_repeated_packet_is_no_answer():
    entry = remembering(start(1))
    for _ in range(3):
        entry.data(tag=tag_of(start(1)), seq=1, ack=1)
    assert entry.syn().verdict is Verdict.REFUSED_NO_UPSTREAM


def test_it_takes_new_flows_once_it_announces_itself():
    entry = remembering(start(1, warm_up_left_ms=9000))
    entry.learn(start(1, sequence=2))
    assert entry.syn().verdict is Verdict.NEW_FLOW
    assert len(entry.directory) == 1


@pytest.mark.parametrize(
    "other",
    [
        start(2, ip=start(1).ip, born_ms=1),
        start(2, ip=start(1).ip, service="archive"),
        start(1, born_ms=start(1).born_ms + 1, ip="127.20.0.9"),
    ],
)
@pytest.mark.parametrize("has_answered", [False, True])
def test_what_contradicts_it_is_right(other, has_answered):
    """Guards against a remembered start that outlives its address or its restart."""
    entry = remembering(start(1))
    if has_answered:
        answered(entry, start(1))
    entry.learn(other)
    decision = entry.data(2, tag=tag_of(start(1)))
    assert decision.verdict is Verdict.RESET_UPSTREAM_GONE
    assert [k.start.key for k in entry.directory.of_service("alerts")] == (
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
def test_it_never_replaces_what_is_known(known):
    entry = RouterHarness(known)
    remember(entry, start(1))
    before = [k.start.key for k in entry.directory.of_service("alerts")]
    assert before == ([] if known.phase is Phase.GONE else [known.key])
    decision = entry.data(tag=tag_of(start(1)))
    assert decision.verdict is not Verdict.FORWARDED


def test_it_is_gone_once_every_running_upstream_has_announced_itself():
    entry = remembering(start(1))
    entry.directory.receive("control", (), is_first=False, is_settled=True)
    decision = entry.data(tag=tag_of(start(1)))
    assert decision.verdict is Verdict.RESET_UPSTREAM_GONE


def test_a_start_that_drained_takes_no_new_flow_after_an_answer():
    draining = start(1, phase=Phase.DRAINING)
    entry = remembering(draining)
    assert answered(entry, draining).verdict is Verdict.FORWARDED
    assert entry.syn().verdict is Verdict.REFUSED_NO_UPSTREAM


def test_news_of_a_settled_source_keep_what_they_confirm():
    entry = remembering(start(1))
    news = [StartNews(start=start(1), is_silent=False)]
    entry.directory.receive("control", news, is_first=True, is_settled=True)
    assert entry.data(tag=tag_of(start(1))).verdict is Verdict.FORWARDED


def test_the_end_of_an_older_start_contradicts_nothing():
    """Guards against resets of the flows of an upstream that took an address over."""
    entry = remembering(start(1))
    entry.learn(start(2, ip=start(1).ip, phase=Phase.GONE))
    entry.learn(start(1, born_ms=5, phase=Phase.GONE))
    assert entry.data(tag=tag_of(start(1))).verdict is Verdict.FORWARDED
