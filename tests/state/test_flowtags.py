"""Guards against a flow tag that identifies two starts."""

from arbutuslift.state import flowtags
from arbutuslift.state.flowtags import NO_TAG, TagIndex, tag_of

from ..builders import start


def test_every_start_has_its_own_tag():
    starts = [start(n, born_ms=b) for n in range(1, 200) for b in (1, 2)]
    tags = {tag_of(s) for s in starts}
    assert len(tags) == len(starts)
    assert NO_TAG not in tags


def test_tag_depends_only_on_the_key_of_a_start():
    assert tag_of(start(7)) == tag_of(start(7, sequence=9, port=1))


def test_of_two_starts_with_one_tag_the_one_born_first_owns_it(monkeypatch):
    monkeypatch.setattr(flowtags, "tag_of", lambda s: 5)
    first, second = start(1, born_ms=10), start(2, born_ms=20)
    for order in ((first, second), (second, first)):
        index = TagIndex()
        for record in order:
            index.put(record, record)
        assert index.find(5).key == first.key
        assert not index.owns(second)


def test_start_owns_its_tag_until_it_is_removed():
    index = TagIndex()
    index.put(start(1), start(1))
    assert index.find(tag_of(start(1))).key == start(1).key
    index.remove(start(1))
    assert index.find(tag_of(start(1))) is None
