"""Guards against packets that the slot router sends to a wrong destination."""

import pytest
from attrs import define, field

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.routing.services import ServiceTable
from arbutuslift.coordination.routing.slotrouter import SlotRouter, Verdict
from arbutuslift.protocol.document import DataCentre
from arbutuslift.protocol.packets import ACK, RST, SYN, decode, encode_udp
from arbutuslift.state.admission import Admission
from arbutuslift.state.flows import FlowCache
from arbutuslift.state.upstreams import UpstreamState, UpstreamView
from arbutuslift.transport.fabric import Address

from ... import builders

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
    return SlotRouter(services, FlowCache())


@define(eq=False)
class FakeAdmission(Admission):
    """Has budget only for some upstreams."""

    admitted: set = field(factory=set)
    holder: str | None = None
    answered: list = field(factory=list)
    restarted: list = field(factory=list)
    priorities: list = field(factory=list)

    def try_admit(self, record, priority):
        self.priorities.append(priority)
        return record.upstream_id in self.admitted

    def record_return_traffic(self, upstream_id):
        self.answered.append(upstream_id)

    def record_restart(self, upstream_id):
        self.restarted.append(upstream_id)

    def relay_target(self, record, flow):
        return self.holder


def preferred_upstreams(services, number=1):
    flow = decode(builders.syn(number)).key_from_caller()
    return list(services.preference_order(services.find_by_endpoint(flow[6:]), flow))


def route_packet(router, raw, source=FABRIC):
    return router.route(decode(raw), source)


def destinations(decision):
    return [send.destination for send in decision.datagrams]


def announce(table, record):
    table.view.merge(record)
    table.refresh_service(record.service)


def tunnel_address(record):
    return Address(record.address, record.port)


def open_flow(services, router, number=1):
    decision = router.route(decode(builders.syn(number)), FABRIC)
    address = decision.datagrams[0].destination
    return services.view.at_address(address.ip, "alerts")


def test_flow_survives_draining_at_an_instance_without_a_cached_entry(services, router):
    record = open_flow(services, router)
    announce(
        services,
        builders.upstream(
            int(record.upstream_id, 16), sequence=2, state=UpstreamState.DRAINING
        ),
    )
    other = SlotRouter(services, FlowCache())
    decision = other.route(decode(builders.segment(flags=ACK)), FABRIC)
    assert tunnel_address(record) in [send.destination for send in decision.datagrams]


def test_denial_of_an_unconfirmed_flow_is_withheld(services, router):
    record = open_flow(services, router)
    decision = router.route(
        decode(builders.reply_segment(flags=RST)), tunnel_address(record)
    )
    assert decision.verdict == Verdict.DENIAL_WITHHELD


def test_syn_ack_does_not_confirm(services, router):
    # Two upstreams may answer copies of one SYN, but only one holds the flow.
    record = open_flow(services, router)
    router.route(
        decode(builders.reply_segment(flags=SYN | ACK)), tunnel_address(record)
    )
    decision = router.route(
        decode(builders.reply_segment(flags=RST)), tunnel_address(record)
    )
    assert decision.verdict == Verdict.DENIAL_WITHHELD


def test_reply_of_another_upstream_is_dropped(services, router):
    record = open_flow(services, router)
    router.route(decode(builders.reply_segment(flags=ACK)), tunnel_address(record))
    other = next(r for r in services.view if r != record)
    decision = router.route(
        decode(builders.reply_segment(flags=ACK)), tunnel_address(other)
    )
    assert decision.verdict == Verdict.WRONG_SENDER


def test_without_upstreams_a_syn_is_refused():
    table = ServiceTable(ManualClock(), UpstreamView())
    table.apply(builders.configuration())
    router = SlotRouter(table, FlowCache())
    decision = router.route(decode(builders.syn()), FABRIC)
    assert decision.verdict == Verdict.REFUSED


def test_flow_spills_over_and_marks_the_skipped_upstreams(services):
    # Another instance finds the flow at the next upstream only by the spillover mark.
    changes = []
    services.on_change.append(changes.append)
    order = preferred_upstreams(services)
    admission = FakeAdmission({order[2].upstream_id})
    router = SlotRouter(services, FlowCache(), admission=admission)
    decision = route_packet(router, builders.syn())
    assert destinations(decision) == [tunnel_address(order[2])]
    assert admission.priorities == ["urgent"] * 3
    assert [c.upstream_id for c in changes] == [r.upstream_id for r in order[:2]]
    segment = route_packet(
        SlotRouter(services, FlowCache()), builders.segment(flags=ACK)
    )
    assert {tunnel_address(record) for record in order[:3]} <= set(
        destinations(segment)
    )


def test_syn_is_refused_when_no_upstream_has_budget(services):
    router = SlotRouter(services, FlowCache(), admission=FakeAdmission())
    assert route_packet(router, builders.syn()).verdict == Verdict.REFUSED
    assert services.spillover_mark_records() == []


def test_syn_is_relayed_once(services):
    # Two instances without a share would otherwise relay it to each other for ever.
    holder = Address("127.0.0.2", 7300)
    router = SlotRouter(
        services,
        FlowCache(),
        admission=FakeAdmission(holder="i2"),
        instance_address={"i2": holder}.get,
        is_instance=lambda address: address == holder,
    )
    raw = builders.syn(payload=b"claim")
    decision = route_packet(router, raw)
    assert (decision.verdict, destinations(decision)) == (Verdict.RELAYED, [holder])
    assert decision.datagrams[0].data == raw
    assert route_packet(router, raw, holder).verdict == Verdict.REFUSED


@pytest.mark.parametrize(
    ("priority", "fill", "verdict"),
    [
        ("ordinary", 0.69, Verdict.NEW_FLOW),
        ("ordinary", 0.7, Verdict.SHED),
        ("high", 0.89, Verdict.NEW_FLOW),
        ("high", 0.9, Verdict.SHED),
        ("urgent", 0.99, Verdict.NEW_FLOW),
        ("urgent", 1.0, Verdict.SHED),
    ],
)
def test_full_queue_sheds_new_flows_by_priority(services, priority, fill, verdict):
    services.apply(builders.configuration(2, [builders.service(priority=priority)]))
    router = SlotRouter(services, FlowCache(), queue_fill=lambda: fill)
    decision = route_packet(router, builders.syn())
    assert decision.verdict == verdict
    if verdict == Verdict.SHED:
        assert decode(decision.datagrams[0].data).flags == RST | ACK
    assert (
        route_packet(router, builders.segment(flags=ACK)).verdict == Verdict.PROBED_FLOW
    )


def take_out_of_service(services, data_centre):
    names = ("dc-1", "dc-2")
    centres = [DataCentre(name=n, in_service=n != data_centre) for n in names]
    services.apply(builders.configuration(2, data_centres=tuple(centres)))


def test_flow_in_a_data_centre_out_of_service_is_reset(services, router):
    record = open_flow(services, router)
    route_packet(router, builders.reply_segment(flags=ACK), tunnel_address(record))
    take_out_of_service(services, record.data_centre)
    decision = route_packet(router, builders.segment(flags=ACK))
    reset = decode(decision.datagrams[0].data)
    assert decision.verdict == Verdict.ABORTED
    assert destinations(decision) == [None]
    assert (reset.flags, reset.seq) == (RST, 501)
    reply = route_packet(
        router, builders.reply_segment(flags=ACK), tunnel_address(record)
    )
    assert reply.verdict == Verdict.OUT_OF_SERVICE
    other = route_packet(SlotRouter(services, FlowCache()), builders.segment(flags=ACK))
    assert tunnel_address(record) not in destinations(other)
    reset = route_packet(router, builders.segment(flags=RST))
    assert reset.verdict != Verdict.ABORTED


def test_denial_by_the_confirmed_upstream_is_evidence_of_a_restart(services):
    admission = FakeAdmission({record.upstream_id for record in services.view})
    router = SlotRouter(services, FlowCache(), admission=admission)
    record = open_flow(services, router)
    route_packet(router, builders.reply_segment(flags=ACK), tunnel_address(record))
    decision = route_packet(
        router, builders.reply_segment(flags=RST), tunnel_address(record)
    )
    assert (decision.verdict, destinations(decision)) == (Verdict.DENIED, [None])
    assert admission.restarted == [record.upstream_id]
    assert admission.answered == [record.upstream_id]


@pytest.mark.parametrize("seq", [502, 2**31])
def test_denial_of_another_connection_on_the_port_is_withheld(services, router, seq):
    # The caller reused its port for a connection at another upstream, whose initial
    # sequence number may be close to the former one. That connection must survive.
    record = open_flow(services, router)
    route_packet(router, builders.reply_segment(flags=ACK), tunnel_address(record))
    denial = builders.reply_segment(flags=RST, seq=seq)
    decision = route_packet(router, denial, tunnel_address(record))
    assert decision.verdict == Verdict.DENIAL_WITHHELD


def test_segment_of_another_connection_on_the_port_is_probed(services, router):
    record = open_flow(services, router)
    route_packet(router, builders.reply_segment(flags=ACK), tunnel_address(record))
    decision = route_packet(router, builders.segment(flags=ACK, seq=2**31, ack=2**30))
    assert decision.verdict == Verdict.PROBED_FLOW


def test_instance_without_generations_probes_every_alive_upstream(services):
    services.is_history_known = False
    decision = route_packet(
        SlotRouter(services, FlowCache()), builders.segment(flags=ACK)
    )
    assert len(destinations(decision)) == 4


def test_probe_copies_are_limited(services):
    # A flood of segments of uncached flows would otherwise be amplified.
    router = SlotRouter(services, FlowCache())
    decisions = [
        route_packet(router, builders.segment(number, flags=ACK))
        for number in range(4000)
    ]
    copies = sum(len(decision.datagrams) - 1 for decision in decisions)
    assert 3900 < copies <= 4000
    assert decisions[-1].verdict == Verdict.PROBE_LIMITED
    assert len(decisions[-1].datagrams) == 1


def test_no_packet_goes_to_an_address_taken_over_by_another_service(services):
    [first, *_] = preferred_upstreams(services)
    services.apply(
        builders.configuration(
            2,
            [
                builders.service(),
                builders.service(name="photos", address="127.10.0.2", kind="photos"),
            ],
        )
    )
    record = builders.upstream(
        9,
        address=first.address,
        service="photos",
        work_kinds=("photos",),
        started_at_s=1.0,
    )
    announce(services, record)
    for raw in (builders.syn(), builders.segment(flags=ACK)):
        decision = route_packet(SlotRouter(services, FlowCache()), raw)
        assert decision.datagrams
        assert tunnel_address(first) not in destinations(decision)


def test_older_process_does_not_regain_its_address_when_the_newer_is_gone():
    # An instance that joins late receives the record of the later process only as gone.
    services = ServiceTable(ManualClock(), UpstreamView())
    services.apply(builders.configuration())
    announce(services, builders.upstream(1))
    gone = builders.upstream(
        2, address="127.20.0.1", started_at_s=1.0, state=UpstreamState.GONE
    )
    announce(services, gone)
    assert not services.may_receive_packets(
        services.view.get(builders.upstream(1).upstream_id)
    )


def test_udp_follows_the_confirmed_upstream_and_the_budget():
    services = ServiceTable(ManualClock(), UpstreamView())
    services.apply(builders.configuration(1, [builders.service(protocol="udp")]))
    for number in range(1, 5):
        announce(services, builders.upstream(number))
    raw = encode_udp(builders.caller(), builders.SERVICE, b"question")
    answer = encode_udp(builders.SERVICE, builders.caller(), b"answer")
    flow = decode(raw).key_from_caller()
    order = list(services.preference_order(services.find_by_endpoint(flow[6:]), flow))
    admission = FakeAdmission({order[1].upstream_id})
    router = SlotRouter(services, FlowCache(), admission=admission)
    assert destinations(route_packet(router, raw)) == [tunnel_address(order[1])]
    route_packet(router, answer, tunnel_address(order[1]))
    admission.admitted.clear()
    known = route_packet(router, raw)
    assert (known.verdict, destinations(known)) == (
        Verdict.KNOWN_FLOW,
        [tunnel_address(order[1])],
    )
    other = SlotRouter(services, FlowCache(), admission=admission)
    assert destinations(route_packet(other, raw)) == []
