"""Fixtures of several test modules."""

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
