"""Guards against new flows at upstreams out of rotation, and lost open flows."""

import pytest

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.routing.services import ServiceTable
from arbutuslift.coordination.routing.slotrouter import SlotRouter, Verdict
from arbutuslift.protocol.document import OutOfRotation
from arbutuslift.protocol.packets import ACK, decode, encode_udp
from arbutuslift.state.flows import FlowCache
from arbutuslift.state.upstreams import UpstreamView
from arbutuslift.transport.fabric import Address

from ... import builders

FABRIC = Address("127.0.0.1", 7400)
OUT = builders.upstream(1)
FLOWS = range(1, 41)


class SteppedClock(ManualClock):
    """Manual clock whose wall clock can be set apart from the others."""

    step_s = 0.0

    def wall_s(self) -> float:
        return super().wall_s() + self.step_s


class Harness:
    """One instance with four upstreams; the configuration can be changed."""

    def __init__(self, clock, protocol="tcp"):
        self.clock = clock
        self.service = builders.service(protocol=protocol, idempotent=protocol == "udp")
        self.revision = 0
        self.services = ServiceTable(clock, UpstreamView(clock))
        self.services.is_history_known = True
        for number in range(1, 5):
            self.services.view.merge(builders.upstream(number))
        self.router = SlotRouter(self.services, FlowCache())
        self.apply()

    def apply(self, *entries):
        self.revision += 1
        self.services.apply(
            builders.configuration(
                self.revision, (self.service,), out_of_rotation=entries
            )
        )

    def route(self, raw, source=FABRIC):
        return self.router.route(decode(raw), source)

    def destinations(self, raw):
        return {send.destination.ip for send in self.route(raw).datagrams}

    def receivers_of_new_flows(self):
        return set().union(*(self.destinations(builders.syn(n)) for n in FLOWS))

    def flow_at(self, ip):
        return next(n for n in FLOWS if self.destinations(builders.syn(n)) == {ip})


@pytest.fixture
def clock():
    return SteppedClock()


@pytest.fixture
def instance(clock):
    return Harness(clock)


def taken_out(until_s=0):
    return OutOfRotation(upstream_id=OUT.upstream_id, until_s=until_s)


def test_an_upstream_out_of_rotation_gets_no_new_flow_until_it_is_back(instance):
    assert OUT.address in instance.receivers_of_new_flows()
    instance.apply(taken_out())
    assert OUT.address not in instance.receivers_of_new_flows()
    instance.apply()
    assert OUT.address in instance.receivers_of_new_flows()


@pytest.mark.parametrize("is_restarted", [False, True])
def test_packets_of_an_open_flow_reach_the_upstream(instance, clock, is_restarted):
    # Without the upstream in its slot table, an instance that starts after the change
    # has no candidate for the flow.
    number = instance.flow_at(OUT.address)
    instance.apply(taken_out())
    if is_restarted:
        instance = Harness(clock)
        instance.apply(taken_out())
    assert OUT.address in instance.destinations(builders.segment(number, flags=ACK))
    reply = instance.route(
        builders.reply_segment(number, flags=ACK), Address(OUT.address, OUT.port)
    )
    assert reply.verdict == Verdict.RETURNED
    assert instance.destinations(builders.segment(number, flags=ACK)) == {OUT.address}


def test_a_confirmed_sequence_of_datagrams_stays(clock):
    instance = Harness(clock, "udp")
    caller, service = builders.caller(), builders.SERVICE
    datagram = encode_udp(caller, service, b"x")
    (ip,) = instance.destinations(datagram)
    record = instance.services.view.at_address(ip, "alerts")
    instance.route(encode_udp(service, caller, b"y"), Address(ip, record.port))
    instance.apply(OutOfRotation(upstream_id=record.upstream_id))
    assert instance.destinations(datagram) == {ip}
    assert ip not in set().union(
        *(
            instance.destinations(encode_udp(builders.caller(n), service, b"x"))
            for n in range(2, 40)
        )
    )


def test_without_another_upstream_a_new_flow_is_refused(instance):
    instance.apply(
        *(OutOfRotation(upstream_id=builders.upstream(n).upstream_id) for n in range(5))
    )
    assert instance.route(builders.syn()).verdict == Verdict.REFUSED


@pytest.mark.parametrize("is_restarted", [False, True])
async def test_an_upstream_comes_back_at_its_end(instance, clock, is_restarted):
    entry = taken_out(until_s=int(clock.wall_s()) + 60)
    instance.apply(entry)
    await clock.advance(59)
    if is_restarted:
        instance = Harness(clock)
        instance.apply(entry)
    assert OUT.address not in instance.receivers_of_new_flows()
    await clock.advance(1)
    assert OUT.address in instance.receivers_of_new_flows()


@pytest.mark.parametrize("step_s", [3600.0, -3600.0])
async def test_a_step_of_the_wall_clock_does_not_move_the_end(instance, clock, step_s):
    instance.apply(taken_out(until_s=int(clock.wall_s()) + 60))
    clock.step_s = step_s
    assert OUT.address not in instance.receivers_of_new_flows()
    await clock.advance(60)
    assert OUT.address in instance.receivers_of_new_flows()
