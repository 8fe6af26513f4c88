"""Fixtures that several test modules use."""

import pytest

from arbutuslift.clock import ManualClock

from .cluster import Cluster


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
async def cluster(clock):
    cluster = Cluster(clock)
    yield await cluster.start()
    await cluster.close()
