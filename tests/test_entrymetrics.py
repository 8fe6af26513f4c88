"""Guards against metrics of an entry instance that misstate its work."""

from pathlib import Path

from arbutuslift.coordination.routing.flowtagrouter import Verdict
from arbutuslift.entrymetrics import EntryMetrics
from arbutuslift.loadfeatures import LoadFeatures
from arbutuslift.metricspage import render_metrics
from arbutuslift.state.starts import Phase

from .builders import egress_queue, start
from .coordination.routing.test_admissiongate import GateHarness
from .coordination.routing.test_flowtagrouter import RouterHarness
from .coordination.routing.test_restoredstarts import add_restored


def families_of(entry):
    metrics = EntryMetrics(entry.router, entry.directory, egress_queue(entry.clock))
    metrics.packets[Verdict.NEW_FLOW] += 2
    metrics.packet_duration_s.observe(0.001)
    return {family.name: family for family in metrics.families()}


def test_upstreams_are_counted_by_state():
    entry = RouterHarness(
        start(1),
        start(2, phase=Phase.DRAINING),
        start(3, phase=Phase.GONE),
        start(4, warm_up_left_ms=5000),
    )
    entry.learn(start(5), silent=True)
    add_restored(entry, start(6))
    entry.directory.find_by_key(start(1).key).is_lost = True
    assert families_of(entry)["arbutuslift_upstreams"].values == {
        "ready": 4,
        "draining": 1,
        "cold": 1,
        "silent": 1,
        "lost": 1,
        "remembered": 1,
    }


def test_the_page_can_be_rendered():
    page = render_metrics(families_of(RouterHarness(start(1))).values()).decode()
    assert 'arbutuslift_packets_total{verdict="new_flow"} 2.0' in page
    assert "arbutuslift_revision 1.0" in page
    assert "arbutuslift_packet_seconds_count 1.0" in page


def test_waiting_flows_and_shortages_are_counted_and_on_the_page():
    """Guards against a shortage that operators can't see."""
    entry = GateHarness(start(1))
    for number in range(1, 100):
        entry.syn(number)
    metrics = EntryMetrics(entry.router, entry.directory, egress_queue(entry.clock))
    metrics.use(LoadFeatures(), entry.gate)
    families = {family.name: family for family in metrics.families()}
    waiting = families["arbutuslift_waiting_flows"].value
    assert waiting == entry.gate.waiting_count > 0
    assert families["arbutuslift_shortages"].value == 1
    page = (Path(__file__).parents[1] / "docs" / "OPERATIONS.md").read_text()
    assert {name for name in families if name not in page} == set()
