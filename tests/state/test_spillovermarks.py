"""Spillover marks: merge by newest time, and retention."""

from arbutuslift.state.generations import RETENTION_S
from arbutuslift.state.spillovermarks import SpilloverMark, SpilloverMarks


def mark(at_s):
    return SpilloverMark(upstream_id="u1", marked_at_s=at_s)


def test_newest_time_wins_in_any_order():
    for times in ([5.0, 9.0], [9.0, 5.0]):
        marks = SpilloverMarks()
        for at_s in times:
            marks.merge(mark(at_s), 10.0)
        assert marks.records() == [mark(9.0)]


def test_mark_expires_after_the_retention_time():
    marks = SpilloverMarks()
    assert marks.mark_upstream("u1", 0.0) == mark(0.0)
    marks.expire(RETENTION_S)
    assert "u1" in marks
    marks.expire(RETENTION_S + 1.0)
    assert "u1" not in marks
    assert not marks.merge(mark(0.0), RETENTION_S + 1.0)


def test_repeated_mark_is_sent_once():
    # Guards against an upstream at its limit that floods the control traffic.
    marks = SpilloverMarks()
    sent = [marks.mark_upstream("u1", float(second)) for second in range(60)]
    assert sent == [mark(0.0)] + [None] * 59


def test_time_in_the_future_does_not_extend_retention():
    marks = SpilloverMarks()
    marks.merge(mark(1e12), 0.0)
    marks.expire(RETENTION_S + 1.0)
    assert "u1" not in marks
