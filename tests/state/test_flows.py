"""Guards against a flow cache that differs from a simple reference model."""

from hypothesis import given, settings, strategies as st

from arbutuslift.state.flows import SEQ_WINDOW_BYTES, FlowCache, is_in_window

MAX_FLOWS = 4
keys = st.integers(0, 7).map(lambda number: bytes([number]))
upstreams = st.sampled_from(["u1", "u2"])
operations = st.one_of(
    st.tuples(st.just("get"), keys),
    st.tuples(st.just("hint"), keys, upstreams),
    st.tuples(st.just("confirm"), keys, upstreams),
    st.tuples(st.just("remove"), keys),
)


class NaiveCache:
    """Reference model: a list of (key, upstream, confirmed), in order of last use."""

    def __init__(self):
        self.rows = []

    def get(self, key):
        for row in self.rows:
            if row[0] == key:
                self.rows.remove(row)
                self.rows.append(row)
                return row
        return None

    def hint(self, key, upstream):
        row = self.get(key)
        if row is None or not row[2]:
            self.put(key, upstream, False)

    def confirm(self, key, upstream):
        self.put(key, upstream, True)

    def put(self, key, upstream, confirmed):
        self.remove(key)
        self.rows = [*self.rows, (key, upstream, confirmed)][-MAX_FLOWS:]

    def remove(self, key):
        self.rows = [row for row in self.rows if row[0] != key]


@settings(derandomize=True, max_examples=300)
@given(st.lists(operations, max_size=40))
def test_cache_equals_the_naive_cache(steps):
    cache, naive = FlowCache(MAX_FLOWS), NaiveCache()
    for name, *arguments in steps:
        entry = getattr(cache, name)(*arguments)
        row = getattr(naive, name)(*arguments)
        if name == "get":
            found = entry and (arguments[0], entry.upstream_id, entry.is_confirmed)
            assert found == row
        assert len(cache) == len(naive.rows)


def test_sequence_numbers_are_compared_modulo_their_range():
    assert is_in_window(5, 2**32 - 5)
    assert is_in_window(2**32 - 5, 5)
    assert not is_in_window(0, SEQ_WINDOW_BYTES + 1)
    assert not is_in_window(0, 2**31)
