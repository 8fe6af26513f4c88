"""Guards against starts that one control instance missed and never gets."""

import random

import pytest

from arbutuslift.state.startdigests import BUCKET_COUNT, StartDigests, bucket_of
from arbutuslift.state.starts import Phase

from ..builders import start


def digests_of(*starts):
    digests = StartDigests()
    for each in starts:
        digests.put(each)
    return digests


def test_digests_do_not_depend_on_the_order():
    starts = [start(number) for number in range(1, 200)]
    one = digests_of(*starts)
    random.Random(1).shuffle(starts)
    assert one.differing_buckets(digests_of(*starts).encode()) == ()


@pytest.mark.parametrize(
    "other",
    [
        start(7, phase=Phase.DRAINING),
        start(7, phase=Phase.GONE),
        start(7, born_ms=1),
    ],
)
def test_a_different_start_is_found_by_its_bucket(other):
    starts = [start(number) for number in range(1, 200)]
    one, two = digests_of(*starts), digests_of(*starts)
    two.put(other)
    bucket = bucket_of(other.upstream_id)
    assert (
        one.differing_buckets(two.encode())
        == two.differing_buckets(one.encode())
        == (bucket,)
    )
    two.put(start(7))
    assert one.differing_buckets(two.encode()) == ()


def test_digests_do_not_depend_on_the_sequence():
    """Guards against sending all starts of a bucket after every announcement."""
    fresh = digests_of(start(1, sequence=9, warm_up_left_ms=5))
    assert digests_of(start(1)).differing_buckets(fresh.encode()) == ()


def test_removed_starts_do_not_change_the_digests():
    digests = digests_of(start(1), start(2))
    digests.remove(start(1).upstream_id)
    digests.remove("unknown")
    assert digests.differing_buckets(digests_of(start(2)).encode()) == ()


def test_starts_are_distributed_over_all_buckets():
    buckets = {bucket_of(start(number).upstream_id) for number in range(1, 2000)}
    assert len(buckets) == BUCKET_COUNT


@pytest.mark.parametrize("encoded", [b"", b"\x00" * 511, b"\x00" * 513])
def test_bytes_that_are_not_digests_are_refused(encoded):
    with pytest.raises(ValueError, match="bytes of digests"):
        StartDigests().differing_buckets(encoded)
