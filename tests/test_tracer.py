"""Tracing: spans of packets and configuration changes, and none if it is off."""

import json
import subprocess
import sys

import pytest

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.routing.forwarding import Forwarder
from arbutuslift.coordination.routing.services import ServiceTable
from arbutuslift.coordination.routing.slotrouter import SlotRouter
from arbutuslift.coordination.routing.tracedforwarding import TracedForwarder
from arbutuslift.errors import StorageError
from arbutuslift.protocol.packets import ACK
from arbutuslift.state.flows import FlowCache
from arbutuslift.state.upstreams import UpstreamView
from arbutuslift.tracer import NoOpTracer, flow_sampler
from arbutuslift.tracerfactory import open_tracer
from arbutuslift.transport.fabric import Address, Datagram, MemoryFabric

from . import builders

FABRIC = Address("127.0.0.1", 7400)


def router() -> SlotRouter:
    table = ServiceTable(ManualClock(), UpstreamView())
    table.apply(builders.configuration())
    table.view.merge(builders.upstream(1))
    table.refresh()
    return SlotRouter(table, FlowCache())


def forward_all(forwarder: Forwarder) -> None:
    upstream = Address("127.20.0.1", 6081)
    forwarder.forward(Datagram(builders.syn(), FABRIC))
    forwarder.forward(Datagram(builders.reply_segment(flags=ACK), upstream))
    forwarder.forward(Datagram(b"bad", FABRIC))


def spans_of(path) -> list[dict]:
    return [json.loads(line) for line in path.read_text().splitlines()]


def traced(path, instance, ratio=1.0):
    fabric = MemoryFabric()
    tracer = open_tracer(f"file:{path}", path, ratio, instance)
    forward_all(TracedForwarder(fabric, router(), FABRIC, tracer=tracer))
    tracer.close()
    return fabric.sent


def test_both_directions_of_a_flow_share_a_trace_on_all_instances(tmp_path):
    sent = [traced(tmp_path / name, name) for name in ("one", "two")]
    plain = MemoryFabric()
    forward_all(Forwarder(plain, router(), FABRIC))
    assert sent == [plain.sent, plain.sent]
    spans = spans_of(tmp_path / "one") + spans_of(tmp_path / "two")
    names = [span["name"] for span in spans]
    assert names == ["route", "send", "receive"] * 2 + ["receive"] + (
        ["route", "send", "receive"] * 2 + ["receive"]
    )
    trace_ids = [span["context"]["trace_id"] for span in spans]
    assert len(set(trace_ids[:6] + trace_ids[7:13])) == 1
    assert spans[0]["parent_id"] == spans[2]["context"]["span_id"]
    assert spans[0]["attributes"] == {"verdict": "new_flow"}


def test_flows_are_sampled_by_ratio_and_the_rest_leaves_no_span(tmp_path):
    traced(tmp_path / "none", "one", ratio=0.0)
    assert spans_of(tmp_path / "none") == []
    flows = [builders.syn(number) for number in range(4000)]
    sampled = sum(map(flow_sampler(0.1), flows))
    assert 300 < sampled < 500


def test_both_directions_of_a_flow_are_sampled_alike():
    """Guards against traces with only one direction of a flow."""
    samples = flow_sampler(0.5)
    for number in range(1000):
        caller_result = samples(builders.syn(number))
        assert samples(builders.reply_segment(number, flags=ACK)) == caller_result


def test_a_packet_without_a_complete_header_is_sampled_by_its_bytes():
    """Guards against a truncated packet that ends the forwarding task."""
    short = [number.to_bytes(2) for number in range(2000)]
    sampled = sum(map(flow_sampler(0.1), short))
    assert 130 < sampled < 270


def test_spans_of_a_change_share_a_trace_on_all_instances(tmp_path):
    for name in ("one", "two"):
        tracer = open_tracer("file:", tmp_path / name, 0.0, name)
        with tracer.change_span("apply", "request-1") as span:
            span.set_attribute("revision", 2)
        tracer.close()
    spans = spans_of(tmp_path / "one") + spans_of(tmp_path / "two")
    assert len({span["context"]["trace_id"] for span in spans}) == 1
    assert spans[1]["attributes"] == {"request_id": "request-1", "revision": 2}


def test_a_file_that_can_not_be_opened_is_reported(tmp_path):
    with pytest.raises(StorageError, match="open trace file"):
        open_tracer("file:", tmp_path / "none" / "file", 1.0, "one")


def test_the_sdk_is_not_imported_without_tracing():
    assert isinstance(open_tracer("off", None, 1.0, "one"), NoOpTracer)
    code = (
        "import sys, arbutuslift.coordination.operators\n"
        "from arbutuslift.tracerfactory import open_tracer\n"
        "open_tracer('off', None, 1.0, 'one')\n"
        "sys.exit('opentelemetry.sdk' in sys.modules)"
    )
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0
