"""ActiveConfiguration: revisions only grow, are saved, corrupt files are ignored."""

import pytest

from arbutuslift.coordination.dissemination.activeconfiguration import (
    HISTORY_REVISIONS,
    ActiveConfiguration,
)
from arbutuslift.errors import StorageError
from arbutuslift.state.revisionstore import DiskRevisionStore, MemoryRevisionStore

from ...builders import configuration


@pytest.fixture(params=["disk", "memory"])
def store(request, tmp_path):
    if request.param == "disk":
        return DiskRevisionStore(tmp_path)
    return MemoryRevisionStore()


@pytest.mark.parametrize("offered", [[1, 2, 3], [3, 1, 2], [2, 2, 5, 4, 5, 6]])
def test_revision_never_decreases(store, offered):
    active_configuration = ActiveConfiguration(store)
    seen = []
    active_configuration.on_change(
        lambda configuration: seen.append(configuration.revision)
    )
    accepted = [
        active_configuration.activate_if_newer(configuration(revision))
        for revision in offered
    ]
    assert seen == sorted(set(seen))
    assert accepted.count(True) == len(seen)
    assert active_configuration.revision == max(offered)
    assert ActiveConfiguration(store).configuration == configuration(max(offered))


def test_late_listener_is_called_at_once(store):
    active_configuration = ActiveConfiguration(store)
    active_configuration.activate_if_newer(configuration(4))
    seen = []
    active_configuration.on_change(seen.append)
    assert seen == [configuration(4)]


@pytest.mark.parametrize(
    "damage",
    [
        lambda body: b"",
        lambda body: body[:-1],
        lambda body: body[:10],
        lambda body: body[:-3] + b"xyz",
        lambda body: b"ALREV999" + body[8:],
        lambda body: body[:15] + bytes([body[15] ^ 1]) + body[16:],
    ],
)
def test_corrupt_file_is_reported_and_ignored(tmp_path, damage):
    active_configuration = ActiveConfiguration(DiskRevisionStore(tmp_path))
    active_configuration.activate_if_newer(configuration(4))
    path = tmp_path / "revision-in-effect"
    path.write_bytes(damage(path.read_bytes()))
    again = ActiveConfiguration(DiskRevisionStore(tmp_path))
    assert again.revision == 0
    assert isinstance(again.last_error, StorageError)
    assert str(path) in str(again.last_error)
    assert again.activate_if_newer(configuration(5))


def test_interrupted_write_leaves_the_previous_file(tmp_path):
    """Guards against a crash between writing and renaming."""
    ActiveConfiguration(DiskRevisionStore(tmp_path)).activate_if_newer(configuration(4))
    (tmp_path / "revision-in-effect.new").write_bytes(b"half")
    assert ActiveConfiguration(DiskRevisionStore(tmp_path)).revision == 4


def test_history_is_bounded():
    active_configuration = ActiveConfiguration()
    for revision in range(1, 100):
        active_configuration.activate_if_newer(configuration(revision))
    assert active_configuration.configuration_at(99 - HISTORY_REVISIONS) is None
    assert active_configuration.delta_from(98).base_revision == 98
