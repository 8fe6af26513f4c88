"""Guards against metrics of a control instance that misstate its work."""

from arbutuslift.controlmetrics import ControlMetrics
from arbutuslift.metricspage import render_metrics
from arbutuslift.state.starts import Phase

from .builders import routing_table, start
from .coordination.dissemination.test_feed import Feed


async def test_a_change_is_measured_once_for_each_subscriber():
    """Guards against entry instances whose propagation delay isn't measured."""
    feed = Feed("a")
    server = feed.servers["a"]
    server.publish(routing_table(1))
    await feed.run(2.0)
    assert sum(server.propagation_delay_s.counts) == 1
    server.publish(routing_table(2))
    await feed.run(3.0)
    assert sum(server.propagation_delay_s.counts) == 2
    assert server.propagation_delay_s.total < 0.1
    await feed.close()


async def test_all_metrics_are_on_the_page():
    feed = Feed("a")
    server = feed.servers["a"]
    server.registry.announce(start(1))
    await feed.run(1.0)
    server.registry.announce(start(1, sequence=2, phase=Phase.DRAINING))
    metrics = ControlMetrics()
    metrics.orders["acknowledged"] += 1
    metrics.order_duration_s.observe(0.01)
    page = render_metrics(metrics.families(server, routing_table(3))).decode()
    for line in (
        'arbutuslift_orders_total{outcome="acknowledged"} 1.0',
        'arbutuslift_upstreams{state="draining"} 1.0',
        'arbutuslift_upstreams{state="ready"} 0.0',
        "arbutuslift_followers 1.0",
        "arbutuslift_revision 3.0",
        "arbutuslift_announcement_gap_seconds_count 1.0",
        "arbutuslift_order_seconds_count 1.0",
    ):
        assert line in page, line
    await feed.close()
