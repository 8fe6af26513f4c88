"""Instance: its components together, and the graceful stop."""

import asyncio
from contextlib import AsyncExitStack

import pytest
import yaml
from attrs import evolve

from arbutuslift.clock import ManualClock
from arbutuslift.errors import TransportError
from arbutuslift.instance import Instance
from arbutuslift.protocol.packets import ResetPacket, SynPacket, decode
from arbutuslift.settings import Settings
from arbutuslift.state.shares import MAX_PROPAGATION_S
from arbutuslift.transport.fabric import Address, UdpFabric

from . import builders

ANY_PORT = Address("127.0.0.1", 0)


@pytest.fixture
def settings(tmp_path):
    path = tmp_path / "document.yaml"
    path.write_text(yaml.safe_dump(builders.document_dict()))
    return Settings(
        name="dc-1-1",
        data_centre="dc-1",
        listen=ANY_PORT,
        fabric=ANY_PORT,
        announcements=ANY_PORT,
        document=path,
    )


async def test_packets_are_forwarded_while_the_instance_drains(settings):
    # If forwarding ended with the signal, packets that the fabric still sends would be
    # lost.
    clock = ManualClock(start_s=100_000.0)
    async with AsyncExitStack() as stack:
        instance = Instance(settings, clock, stack, on_stop=lambda: None)
        await instance.open()
        upstream = await UdpFabric.open(ANY_PORT)
        stack.callback(upstream.close)
        address = upstream.address
        instance.registrar.accept(
            builders.announcement(address=address.ip, port=address.port)
        )
        assert instance.endpoint.is_serving
        stop = asyncio.create_task(instance.stop())
        await clock.run_ready_tasks()
        assert not instance.endpoint.is_serving
        assert not stop.done()
        upstream.send(builders.syn(), instance.fabric.address)
        datagram = await upstream.receive()
        assert isinstance(decode(datagram.data), SynPacket)
        assert not stop.done()
        await clock.advance(settings.drain_s)
        await stop


async def test_new_configuration_does_not_end_the_drain(settings):
    # The fabric would send packets to the instance again, and they would be lost.
    clock = ManualClock(start_s=100_000.0)
    async with AsyncExitStack() as stack:
        instance = Instance(settings, clock, stack, on_stop=lambda: None)
        await instance.open()
        stop = asyncio.create_task(instance.stop())
        await clock.run_ready_tasks()
        instance.apply(builders.configuration(revision=2))
        assert not instance.endpoint.is_serving
        await clock.advance(settings.drain_s)
        await stop


async def test_limits_of_the_document_are_in_effect(settings):
    # The limiter would permit everything if it didn't get the document.
    content = builders.document_dict()
    content["services"][0]["max_new_flows_per_s"] = 4  # One for each instance.
    settings.document.write_text(yaml.safe_dump(content))
    clock = ManualClock(start_s=100_000.0)
    async with AsyncExitStack() as stack:
        upstream = await UdpFabric.open(ANY_PORT)
        fabric = await UdpFabric.open(ANY_PORT)
        stack.callback(upstream.close)
        stack.callback(fabric.close)
        settings = evolve(settings, fabric=fabric.address)
        instance = Instance(settings, clock, stack, on_stop=lambda: None)
        await instance.open()
        address = upstream.address
        instance.registrar.accept(
            builders.announcement(address=address.ip, port=address.port)
        )
        await clock.advance(MAX_PROPAGATION_S)
        for number in (1, 2):
            upstream.send(builders.syn(number), instance.fabric.address)
        async with asyncio.timeout(30):
            assert isinstance(decode((await upstream.receive()).data), SynPacket)
            assert isinstance(decode((await fabric.receive()).data), ResetPacket)


async def test_port_in_use_is_reported(settings):
    async with AsyncExitStack() as stack:
        other = await UdpFabric.open(ANY_PORT)
        stack.callback(other.close)
        taken = Settings(
            name="dc-1-1",
            data_centre="dc-1",
            listen=other.address,
            fabric=ANY_PORT,
            announcements=ANY_PORT,
            document=settings.document,
        )
        instance = Instance(taken, ManualClock(), stack, on_stop=lambda: None)
        with pytest.raises(TransportError, match="can't bind"):
            await instance.open()
