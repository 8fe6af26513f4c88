"""Guards against forged announcements and slow starts of control instances."""

import asyncio
from contextlib import AsyncExitStack

import pytest

from arbutuslift.clock import ManualClock
from arbutuslift.control import ControlInstance, check_service
from arbutuslift.coordination.dissemination.feedserver import FeedServer
from arbutuslift.errors import AnnouncementError
from arbutuslift.protocol.channel import Channel
from arbutuslift.rolesettings import ControlSettings
from arbutuslift.state.agreedstate import AgreedState
from arbutuslift.state.configuration import StoredRevision, Submission
from arbutuslift.transport.bus import MemoryNetwork

from .builders import routing_table, start


def test_a_start_of_an_unknown_service_is_refused():
    with pytest.raises(AnnouncementError):
        check_service(start(1, service="none"), routing_table())


def test_a_start_of_a_known_service_passes():
    check_service(start(1), routing_table())


@pytest.mark.parametrize("table", [None, routing_table(services=())])
def test_before_the_first_configuration_every_service_passes(table):
    check_service(start(1, service="none"), table)


async def test_of_revisions_that_are_committed_together_only_the_newest_is_read(
    tmp_path,
):
    """Guards against a restart that builds 256 routing tables before it is ready."""
    read = []

    def read_table(revision, state):
        read.append(revision)
        return routing_table(revision, version=state.version)

    async with AsyncExitStack() as stack:
        settings = ControlSettings(
            name="127.0.0.1:1",
            listen="127.0.0.1:1",
            data_centre="dc-1",
            data_folder=tmp_path,
            seeds=(),
            is_bootstrap=False,
            voter_count=3,
            announcement_interval_s=1.0,
        )
        clock = ManualClock()
        control = ControlInstance(settings, read_table, clock, stack, lambda: None)
        channel = Channel(MemoryNetwork(clock).bus("a"))
        control.feed = FeedServer(channel, clock, 1, 1.0, tuple)
        for revisions in (range(1, 101), range(101, 103)):
            for revision in revisions:
                document = AgreedState(version=10 * revision).encode()
                control._on_commit(stored(revision, document))
            await asyncio.sleep(0.01)
        assert read == [100, 102]
        assert control.table.version == 1020


def stored(revision, document):
    submission = Submission(
        document=document,
        expected_revision=revision - 1,
        request_id=f"r{revision}",
        author="a",
        submitted_at_s=0.0,
    )
    return StoredRevision(revision=revision, submission=submission)
