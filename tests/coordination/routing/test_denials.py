"""Guards against denials that reach a caller whose flow another upstream holds."""

import asyncio

import pytest

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.routing.denials import HOLD_S, DenialBuffer
from arbutuslift.coordination.routing.services import ServiceTable
from arbutuslift.protocol.channel import Channel
from arbutuslift.protocol.packets import RST, decode
from arbutuslift.state.flows import FlowCache
from arbutuslift.state.upstreams import UpstreamView
from arbutuslift.transport.bus import MemoryNetwork

from ... import builders

NAMES = ["i1", "i2", "i3"]
UPSTREAM_IDS = {builders.upstream(number).upstream_id for number in (1, 2)}


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def network(clock):
    return MemoryNetwork(clock)


@pytest.fixture
def sent():
    return []


@pytest.fixture
def services(clock):
    # Spillover marks make both upstreams candidates of every slot.
    table = ServiceTable(clock, UpstreamView())
    table.apply(builders.configuration())
    table.is_history_known = True
    for number in (1, 2):
        table.view.merge(builders.upstream(number))
        table.refresh_service("alerts")
        table.mark_spillover(builders.upstream(number).upstream_id)
    return table


@pytest.fixture
def denials(services, network, sent):
    return {
        name: DenialBuffer(
            services,
            FlowCache(),
            sent.append,
            alive_instances=lambda: NAMES,
            channel=Channel(network.bus(name)),
        )
        for name in NAMES
    }


def denial(number=1, seq=501):
    return decode(builders.reply_segment(number, flags=RST, seq=seq))


def release(denials):
    for buffer in denials.values():
        buffer.release_due()


async def test_reset_passes_once_every_candidate_denied(clock, denials, sent):
    for name, upstream_id in zip(NAMES, UPSTREAM_IDS, strict=False):
        denials[name].report(denial(), upstream_id)
    await clock.advance(HOLD_S - 0.5)
    release(denials)
    assert sent == []
    await clock.advance(1.0)
    release(denials)
    assert sent == [denial().raw]


@pytest.mark.parametrize("seqs", [(501,), (501, 777)])
async def test_reset_is_dropped_while_a_candidate_has_not_denied(
    clock, denials, sent, seqs
):
    # A denial with another sequence number belongs to another connection on the port.
    for seq, upstream_id in zip(seqs, UPSTREAM_IDS, strict=False):
        denials["i1"].report(denial(seq=seq), upstream_id)
    await clock.advance(2 * HOLD_S)
    release(denials)
    assert sent == []
    assert not any(len(buffer) for buffer in denials.values())


async def test_one_instance_holds_all_denials_of_a_flow(clock, denials):
    for buffer in denials.values():
        buffer.report(denial(), "u")
    await clock.advance(0.1)
    assert sorted(len(buffer) for buffer in denials.values()) == [0, 0, 1]


async def test_denial_is_held_locally_when_the_owner_does_not_answer(
    clock, network, denials
):
    network.partition(["i1"], ["i2", "i3"])
    for number in range(20):
        denials["i1"].report(denial(number), "u")
    await clock.advance(1.5)
    assert len(denials["i1"]) == 20


async def test_oldest_denial_is_dropped_at_the_maximum(clock, services, sent):
    denials = DenialBuffer(services, FlowCache(), sent.append, max_pending=2)
    for number in (1, 2, 3):
        for upstream_id in UPSTREAM_IDS:
            denials.report(denial(number), upstream_id)
    assert len(denials) == 2
    await clock.advance(HOLD_S)
    denials.release_due()
    assert sent == [denial(2).raw, denial(3).raw]


async def test_without_generations_nothing_is_passed_on(clock, services, sent):
    # After a restart, an instance has no record yet of the other candidates.
    services.is_history_known = False
    denials = DenialBuffer(services, FlowCache(), sent.append)
    for upstream_id in UPSTREAM_IDS:
        denials.report(denial(), upstream_id)
    await clock.advance(HOLD_S)
    denials.release_due()
    assert sent == []


async def test_run_releases_due_denials(clock, services, sent):
    denials = DenialBuffer(services, FlowCache(), sent.append)
    task = asyncio.create_task(denials.run())
    for upstream_id in UPSTREAM_IDS:
        denials.report(denial(), upstream_id)
    await clock.advance(HOLD_S + 0.5)
    task.cancel()
    assert sent == [denial().raw]
