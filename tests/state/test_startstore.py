"""Guards against a control instance that can't start because of its saved starts."""

import pytest

from arbutuslift.errors import StorageError
from arbutuslift.state.starts import Phase
from arbutuslift.state.startstore import DiskStartStore, MemoryStartStore

from ..builders import start

STARTS = (start(1), start(2, phase=Phase.DRAINING, warm_up_left_ms=1500))


@pytest.mark.parametrize("kind", [DiskStartStore, MemoryStartStore])
def test_the_starts_saved_last_are_loaded(kind, tmp_path):
    store = DiskStartStore(tmp_path) if kind is DiskStartStore else MemoryStartStore()
    assert store.load() == ()
    store.save(STARTS)
    store.save(STARTS[:1])
    assert store.load() == STARTS[:1]
    store.save(STARTS)
    assert store.load() == STARTS


def test_starts_are_loaded_after_a_restart(tmp_path):
    DiskStartStore(tmp_path).save(STARTS)
    assert DiskStartStore(tmp_path).load() == STARTS


@pytest.mark.parametrize("keep", [0, 1, 11, 40, -1])
def test_a_truncated_file_counts_as_none(keep, tmp_path):
    store = DiskStartStore(tmp_path)
    store.save(STARTS)
    path = tmp_path / "starts"
    path.write_bytes(path.read_bytes()[:keep])
    assert store.load() == ()


def test_a_file_that_can_not_be_read_is_reported(tmp_path):
    (tmp_path / "starts").mkdir()
    with pytest.raises(StorageError, match="read starts"):
        DiskStartStore(tmp_path).load()


def test_a_missing_folder_is_reported(tmp_path):
    with pytest.raises(StorageError, match="save starts"):
        DiskStartStore(tmp_path / "none").save(STARTS)
