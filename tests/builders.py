"""Builders of test data with default values."""

import ipaddress

from attrs import asdict, fields
from hypothesis import strategies as st

from arbutuslift.coordination.routing.centreloads import CentreLoad
from arbutuslift.coordination.routing.egressqueue import EgressQueue
from arbutuslift.protocol.document import (
    Configuration,
    DataCentre,
    Document,
    OutOfRotation,
    Service,
)
from arbutuslift.protocol.loads import LoadReport, LoadSummary
from arbutuslift.protocol.packets import PROTOCOL_TCP, SYN, encode_tcp
from arbutuslift.rolesettings import EntrySettings
from arbutuslift.state.flowkey import Endpoint, FlowKey
from arbutuslift.state.loadfigures import ServiceDemand, ServiceLoad, UpstreamLoad
from arbutuslift.state.routingtable import (
    Route,
    RoutingTable,
    ServiceLimits,
    ServiceShare,
)
from arbutuslift.state.starts import UpstreamStart
from arbutuslift.state.upstreams import UpstreamRecord, UpstreamState
from arbutuslift.transport.callerpackets import CallerPacket

SERVICE_ADDRESS = "127.10.0.1"
SERVICE_PORT = 8443


def endpoint(ip: str, port: int) -> Endpoint:
    return Endpoint(ipaddress.IPv4Address(ip).packed, port)


SERVICE = endpoint(SERVICE_ADDRESS, SERVICE_PORT)
SERVICE_KEY = FlowKey(SERVICE, SERVICE, PROTOCOL_TCP).to_bytes()[6:]


def caller(number: int = 1) -> Endpoint:
    return endpoint("127.0.0.1", 20000 + number)


def service(**changes) -> Service:
    fields = {
        "name": "alerts",
        "address": SERVICE_ADDRESS,
        "port": SERVICE_PORT,
        "kind": "alerts",
        "priority": "urgent",
    }
    return Service(**(fields | changes))


def configuration(
    revision: int = 1, services=None, data_centres=None, out_of_rotation=()
):
    centres = data_centres or (DataCentre(name="dc-1"), DataCentre(name="dc-2"))
    document = Document(
        services=services or (service(),),
        data_centres=centres,
        out_of_rotation=out_of_rotation,
    )
    return Configuration(revision=revision, document=document)


def upstream(number: int = 1, **changes) -> UpstreamRecord:
    fields = {
        "upstream_id": f"{number:032x}",
        "name": f"alerts-{number}",
        "data_centre": f"dc-{1 + number % 2}",
        "address": f"127.20.0.{number}",
        "port": 6081,
        "service": "alerts",
        "work_kinds": ("alerts",),
        "state": UpstreamState.READY,
        "sequence": 1,
    }
    return UpstreamRecord(**(fields | changes))


def syn(number: int = 1, payload: bytes = b"") -> bytes:
    return encode_tcp(caller(number), SERVICE, flags=SYN, seq=100, payload=payload)


def segment(number: int = 1, *, flags: int, seq: int = 101, ack: int = 501) -> bytes:
    return encode_tcp(caller(number), SERVICE, flags=flags, seq=seq, ack=ack)


def reply_segment(
    number: int = 1, *, flags: int, seq: int = 501, ack: int = 101
) -> bytes:
    return encode_tcp(SERVICE, caller(number), flags=flags, seq=seq, ack=ack)


SERVICE_FIELDS = [attribute.name for attribute in fields(Service)]


def document(**changes) -> Document:
    content = {
        "services": (
            service(),
            service(name="claims", address="127.10.0.2", kind="claims"),
        ),
        "data_centres": (
            DataCentre(name="dc-1", instances=("dc-1-1", "dc-1-2")),
            DataCentre(name="dc-2", instances=("dc-2-1",)),
            DataCentre(name="dc-3", instances=("dc-3-1",)),
        ),
    }
    return Document(**(content | changes))


def document_dict() -> dict:
    content = asdict(document())
    for centre in content["data_centres"]:
        centre["instances"] = list(centre["instances"])
    return {key: list(rows) for key, rows in content.items()}


_names = st.sampled_from(["a", "b", "c", "d", "e"])
_services = st.builds(
    Service,
    name=_names,
    address=st.ip_addresses(v=4).map(str),
    port=st.integers(1, 65535),
    kind=_names,
    priority=st.sampled_from(["urgent", "high", "ordinary"]),
    idempotent=st.booleans(),
    warm_up_s=st.floats(0.001, 86400),
    max_new_flows_per_s=st.integers(0, 1000),
    max_open_requests=st.integers(0, 1000),
    min_share_percent=st.integers(0, 20),
)
_data_centres = st.builds(
    DataCentre,
    name=_names,
    region=_names,
    in_service=st.booleans(),
    instances=st.lists(_names, max_size=3).map(tuple),
)


_out_of_rotation = st.builds(
    OutOfRotation, upstream_id=_names, until_s=st.integers(0, 2_000_000_000)
)


def documents() -> st.SearchStrategy[Document]:
    """Return a strategy for documents with unique names; other checks may fail."""
    return st.builds(
        Document,
        services=st.lists(_services, unique_by=lambda row: row.name).map(tuple),
        data_centres=st.lists(_data_centres, unique_by=lambda row: row.name).map(tuple),
        out_of_rotation=st.lists(
            _out_of_rotation, max_size=3, unique_by=lambda row: row.upstream_id
        ).map(tuple),
    )


def announcement(number: int = 1, **changes) -> dict[str, object]:
    record = upstream(number)
    fields = {
        "upstream_id": record.upstream_id,
        "name": record.name,
        "data_centre": record.data_centre,
        "address": record.address,
        "port": record.port,
        "service": record.service,
        "work_kinds": ["alerts"],
        "state": "ready",
        "sequence": 1,
        "weight": 100,
        "open_connections": 0,
        "busy_slots": 0,
        "started_at_s": 0.0,
    }
    return fields | changes


def start(number: int = 1, **changes) -> UpstreamStart:
    fields = {
        "upstream_id": f"i-{number:08x}",
        "number": number,
        "born_ms": 1_000_000 + number,
        "service": "alerts",
        "ip": f"127.20.{number // 256}.{number % 256}",
        "port": 6081,
        "data_centre": "dc-1",
        "sequence": 1,
    }
    return UpstreamStart(**(fields | changes))


def entry_settings() -> EntrySettings:
    return EntrySettings(
        name="127.0.0.1:1",
        data_centre="dc-1",
        listen_ip="127.0.0.1",
        listen_port=1,
        ready_ip="127.0.0.1",
        ready_port=0,
        ready_path="/ready",
        seeds=(),
        stop_timeout_s=6.0,
    )


def egress_queue(clock, link_bytes_per_s=0.0, sent=None, dropped=None) -> EgressQueue:
    """Return a queue that appends what it sends and drops to the given lists."""
    sent = [] if sent is None else sent
    dropped = [] if dropped is None else dropped
    return EgressQueue(
        clock,
        link_bytes_per_s,
        lambda datagram, address: sent.append(datagram),
        dropped.append,
    )


def route(port: int = 443, services=("alerts",), **changes) -> Route:
    shares = tuple(ServiceShare(service=name, weight=1) for name in services)
    return Route(ip=SERVICE.ip, port=port, shares=shares, **changes)


def service_limits(**changes) -> ServiceLimits:
    fields = {
        "name": "alerts",
        "max_connections": 2000,
        "cold_new_flows_per_s": 0,
        "cold_start_s": 2,
    }
    return ServiceLimits(**(fields | changes))


def routing_table(revision: int = 1, routes=None, **changes) -> RoutingTable:
    fields = {
        "revision": revision,
        "version": revision,
        "routes": (route(),) if routes is None else routes,
        "services": (service_limits(),),
    }
    return RoutingTable(**(fields | changes))


def caller_packet(number: int = 1, **changes) -> CallerPacket:
    fields = {
        "flow": number.to_bytes(12, "big"),
        "service_ip": SERVICE.ip,
        "service_port": 443,
        "caller_ip": bytes([100, 64, *number.to_bytes(2, "big")]),
    }
    return CallerPacket(**(fields | changes))


def upstream_load(number: int = 1, **changes) -> UpstreamLoad:
    fields = {
        "upstream_id": start(number).upstream_id,
        "born_ms": start(number).born_ms,
        "open_flows": 1,
        "outstanding": 0.0,
        "answered": 0,
        "response_sum_ms": 0,
        "failures": 0,
    }
    return UpstreamLoad(**(fields | changes))


def service_demand(**changes) -> ServiceDemand:
    fields = {
        "service": "alerts",
        "arrivals": 1,
        "rejected": 0,
        "remote": 0,
        "outstanding": 0.0,
    }
    return ServiceDemand(**(fields | changes))


def service_load(**changes) -> ServiceLoad:
    fields = {
        "service": "alerts",
        "data_centre": "dc-1",
        "upstreams": 1,
        "slots": 2,
        "outstanding": 0.0,
        "demand_outstanding": 0.0,
        "arrivals_per_s": 0.0,
        "rejected_per_s": 0.0,
        "remote_per_s": 0.0,
        "response_ms": 0.0,
        "age_ms": 0,
    }
    return ServiceLoad(**(fields | changes))


def load_report(sequence: int = 1, **changes) -> LoadReport:
    fields = {
        "sequence": sequence,
        "interval_ms": 1000,
        "data_centre": "dc-1",
        "upstreams": (),
        "services": (),
    }
    return LoadReport(**(fields | changes))


def load_summary(**changes) -> LoadSummary:
    fields = {"instances": 1, "upstreams": (), "services": ()}
    return LoadSummary(**(fields | changes))


def centre_load(**changes) -> CentreLoad:
    """Return the load of 20 upstreams with 2 slots each and requests of 55 ms."""
    fields = {
        "data_centre": "dc-1",
        "rate_per_s": 0.0,
        "capacity_per_s": 727.0,
        "service_s": 0.055,
        "upstream_slots": 2,
    }
    return CentreLoad(**(fields | changes))


# Values of JSON of any kind, with numbers and texts that no codec takes.
json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.text(st.characters(), max_size=20)
    | st.sampled_from(["\ud800", "1.2.3.4:5", "198.18.0.1", "/443/", "ready"]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


@st.composite
def mutated(draw, body: bytes) -> bytes:
    """Bytes of ``body`` in which up to four places are cut, replaced or doubled."""
    for _ in range(draw(st.integers(1, 4))):
        begin = draw(st.integers(0, len(body)))
        end = min(len(body), begin + draw(st.integers(0, 20)))
        part = draw(st.sampled_from([b"", body[begin:end] * 2]) | st.binary(max_size=8))
        body = body[:begin] + part + body[end:]
    return body
