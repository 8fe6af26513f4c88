"""Guards against SYNs of a slot router that are held back without a shortage."""

import pytest
from attrs import evolve

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.routing.flowadmission import FlowAdmission
from arbutuslift.coordination.routing.services import ServiceTable
from arbutuslift.coordination.routing.slotadmission import SlotAdmission
from arbutuslift.coordination.routing.slotrouter import SlotRouter, Verdict
from arbutuslift.protocol.packets import decode
from arbutuslift.state.flows import FlowCache
from arbutuslift.state.upstreams import UpstreamView

from ... import builders
from .test_slotrouter import FABRIC, announce


class SlotHarness:
    """A slot router with admission and four upstreams of two slots."""

    def __init__(self, instances=1):
        self.clock = ManualClock()
        self.services = ServiceTable(self.clock, UpstreamView())
        self.services.apply(builders.configuration())
        self.report()
        flows = FlowCache()
        admission = SlotAdmission(
            self.services, flows, FlowAdmission(self.clock), 0.3, lambda: instances, 8
        )
        self.router = SlotRouter(self.services, flows, may_open=admission.may_open)

    def report(self, sequence=1, **fields):
        for number in range(1, 5):
            record = builders.upstream(number)
            announce(self.services, evolve(record, sequence=sequence, **fields))
        self.clock.jump(1.0)

    def syn(self, number):
        return self.router.route(decode(builders.syn(number)), FABRIC)


@pytest.mark.parametrize("load", [{}, {"busy_slots": 2, "open_connections": 4}])
def test_flows_are_forwarded_while_upstreams_have_room(load):
    harness = SlotHarness(instances=12)
    harness.report(sequence=2, **load)
    verdicts = {harness.syn(number).verdict for number in range(1, 100)}
    assert verdicts == {Verdict.NEW_FLOW}


def test_full_upstreams_leave_syns_unanswered_until_they_have_room():
    """Guards against resets of flows that another instance forwarded."""
    harness = SlotHarness()
    held = harness.syn(1)
    assert held.verdict is Verdict.NEW_FLOW
    harness.report(sequence=2, busy_slots=2, open_connections=10)
    decision = harness.syn(2)
    assert decision.verdict is Verdict.WAITING and not decision.datagrams
    assert harness.syn(1).verdict is Verdict.NEW_FLOW
    harness.report(sequence=3, busy_slots=1, open_connections=1)
    assert harness.syn(2).verdict is Verdict.NEW_FLOW
