"""The handlers of an instance cope with any well-formed message of a peer."""

import asyncio

import pytest
from hypothesis import HealthCheck, given, reject, settings, strategies as st

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.dissemination.groupmembership import GroupMembership
from arbutuslift.errors import MessageError
from arbutuslift.protocol import gossip
from arbutuslift.protocol.channel import Channel
from arbutuslift.protocol.messages import Message, encode
from arbutuslift.state.instances import InstanceRecord
from arbutuslift.transport.bus import MemoryNetwork

from ...builders import configuration

MESSAGES = [
    value
    for value in vars(gossip).values()
    if isinstance(value, type) and issubclass(value, Message) and value is not Message
]


async def _deliver(body):
    clock = ManualClock()
    network = MemoryNetwork(clock)
    bus = network.bus("left")
    own = InstanceRecord(name="left", incarnation=1, data_centre="dc", endpoint="left")
    membership = GroupMembership(clock, Channel(bus), own, lambda: None)
    membership.revision_distributor.accept_from_peers()
    membership.active_configuration.activate_if_newer(configuration(1))
    membership.gossip.publish("instance", own)
    await bus.handler("right", body)
    await membership.revision_distributor.close()
    await bus.close()
    assert membership.active_configuration.revision == 1


@pytest.mark.parametrize("message_class", MESSAGES)
def test_any_well_formed_message_is_handled(message_class):
    """Guards against a faulty peer that ends a task or changes the revision."""

    @settings(
        derandomize=True,
        max_examples=30,
        deadline=None,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given(st.from_type(message_class))
    def check(message):
        try:
            body = encode(message)
        except MessageError:
            reject()
        asyncio.run(_deliver(body))

    check()
