"""Router: where packets go."""

import pytest

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.router import Router, Verdict
from arbutuslift.coordination.services import ServiceTable
from arbutuslift.protocol.packets import ACK, RST, SYN, decode
from arbutuslift.state.flows import FlowCache
from arbutuslift.state.upstreams import UpstreamState, UpstreamView
from arbutuslift.transport.fabric import Address

from .. import builders

FABRIC = Address("127.0.0.1", 7400)


@pytest.fixture
def services():
    table = ServiceTable(ManualClock(), UpstreamView())
    table.apply(builders.configuration())
    for number in range(1, 5):
        announce(table, builders.upstream(number))
    return table


@pytest.fixture
def router(services):
    return Router(services, FlowCache())


def announce(table, record):
    table.view.merge(record)
    table.refresh_service(record.service)


def tunnel(record):
    return Address(record.address, record.port)


def admitted_at(services, router, number=1):
    decision = router.route(decode(builders.syn(number)), FABRIC)
    address = decision.sends[0].destination
    return services.view.at_address(address.ip, "alerts")


def test_flow_survives_draining_at_an_instance_that_never_saw_it(services, router):
    record = admitted_at(services, router)
    announce(
        services,
        builders.upstream(
            int(record.upstream_id, 16), sequence=2, state=UpstreamState.DRAINING
        ),
    )
    other = Router(services, FlowCache())
    decision = other.route(decode(builders.segment(flags=ACK)), FABRIC)
    assert tunnel(record) in [send.destination for send in decision.sends]


def test_denial_of_an_unconfirmed_flow_is_withheld(services, router):
    record = admitted_at(services, router)
    decision = router.route(decode(builders.returned(flags=RST)), tunnel(record))
    assert decision.verdict == Verdict.DENIAL_WITHHELD


def test_syn_ack_does_not_confirm(services, router):
    # Two upstreams may answer copies of one SYN; only one holds the flow.
    record = admitted_at(services, router)
    router.route(decode(builders.returned(flags=SYN | ACK)), tunnel(record))
    decision = router.route(decode(builders.returned(flags=RST)), tunnel(record))
    assert decision.verdict == Verdict.DENIAL_WITHHELD


def test_return_packet_of_another_upstream_is_dropped(services, router):
    record = admitted_at(services, router)
    router.route(decode(builders.returned(flags=ACK)), tunnel(record))
    other = next(r for r in services.view if r != record)
    decision = router.route(decode(builders.returned(flags=ACK)), tunnel(other))
    assert decision.verdict == Verdict.WRONG_SENDER


def test_without_upstreams_a_syn_is_refused():
    table = ServiceTable(ManualClock(), UpstreamView())
    table.apply(builders.configuration())
    router = Router(table, FlowCache())
    decision = router.route(decode(builders.syn()), FABRIC)
    assert decision.verdict == Verdict.REFUSED
