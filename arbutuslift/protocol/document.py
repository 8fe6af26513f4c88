"""The configuration document that operators submit."""

import json
from pathlib import Path

import cattrs
from attrs import field, frozen
from cattrs.gen import make_dict_unstructure_fn, override

from ..errors import DocumentError, Fault
from .documentchecks import PRIORITIES, find_faults, find_shape_faults
from .documentfile import FILE_RULE, MAX_DOCUMENT_BYTES, parse_json, read_plain
from .documentlines import with_lines

__all__ = [
    "PRIORITIES",
    "Configuration",
    "DataCentre",
    "Document",
    "OutOfRotation",
    "Service",
    "from_canonical_json",
    "load_document",
    "structure_document",
    "to_canonical_json",
    "to_plain",
]

_STEP = "check document"
_converter = cattrs.Converter(forbid_extra_keys=True)
_fast_converter = cattrs.Converter(detailed_validation=False)


@frozen(kw_only=True)
class Service:
    """A service that callers reach at one address and port.

    Attributes:
        name: Unique name.
        address: Dotted IPv4 address that callers use.
        port: Port that callers use.
        protocol: ``tcp`` or ``udp``.
        kind: Kind of work; only upstreams that announce this kind may serve it.
        priority: ``urgent``, ``high`` or ``ordinary``.
        idempotent: Whether a request may be run twice without harm.
        max_connections: Highest number of connections of one upstream.
        slots: Requests that one upstream processes at the same time.
        cold_new_flows_per_s: New flows per second that one upstream accepts during
            its cold start.
        warm_up_s: Duration of the cold start.
        max_new_flows_per_s: New flows per second of the service; 0 means no limit.
        max_open_requests: Requests that its upstreams process at the same time; 0
            means no limit.
        min_share_percent: Guaranteed part of the new flows that an instance still
            starts while it sheds load; 0 means none.
    """

    name: str
    address: str
    port: int
    protocol: str = "tcp"
    kind: str
    priority: str = "ordinary"
    idempotent: bool = False
    max_connections: int = 2000
    slots: int = 2
    cold_new_flows_per_s: int = 10
    warm_up_s: float = 30.0
    max_new_flows_per_s: int = 0
    max_open_requests: int = 0
    min_share_percent: int = 0


@frozen(kw_only=True)
class DataCentre:
    """A data centre and its entry instances.

    Attributes:
        name: Unique name.
        region: Name of the region.
        in_service: False takes the data centre out of service.
        instances: Names of the entry instances; the position of each is its ordinal.
    """

    name: str
    region: str = ""
    in_service: bool = True
    instances: tuple[str, ...] = ()


@frozen(kw_only=True)
class OutOfRotation:
    """An upstream that gets no new flows; its open flows stay.

    Attributes:
        upstream_id: Identity of one start of the upstream's process.
        until_s: End, in seconds since the Unix epoch; 0 if an operator ends it.
    """

    upstream_id: str
    until_s: int = 0


@frozen(kw_only=True)
class Document:
    """One configuration.

    Attributes:
        services: All services.
        data_centres: All data centres.
        out_of_rotation: Upstreams that get no new flows.
    """

    services: tuple[Service, ...] = ()
    data_centres: tuple[DataCentre, ...] = ()
    out_of_rotation: tuple[OutOfRotation, ...] = ()


def _omit_defaults(record_class: type, *names: str) -> None:
    """Leave fields out of the canonical form while they have their defaults.

    A document without these fields keeps the bytes and the digest that it had before
    the fields were introduced.
    """
    overrides = {name: override(omit_if_default=True) for name in names}
    hook = make_dict_unstructure_fn(record_class, _converter, **overrides)
    _converter.register_unstructure_hook(record_class, hook)


_omit_defaults(Service, "max_new_flows_per_s", "max_open_requests", "min_share_percent")
_omit_defaults(OutOfRotation, "until_s")
_omit_defaults(Document, "out_of_rotation")


@frozen(kw_only=True)
class Configuration:
    """A document with the revision under which it was accepted.

    Attributes:
        revision: Increases by one with every accepted document; 0 means that none was
            accepted.
        document: The document.
    """

    revision: int = 0
    document: Document = field(factory=Document)


def load_document(path: Path) -> Document:
    """Read a document from a YAML or JSON file.

    Raises:
        DocumentError: The file can't be read or the document has faults.
    """
    content = read_plain(path)
    try:
        return structure_document(content)
    except DocumentError as error:
        faults = with_lines(path, error.faults)
        raise DocumentError(faults, step=error.step, peer=str(path)) from error


def structure_document(content: object) -> Document:
    """Build a document from plain values.

    Raises:
        DocumentError: Lists every fault.
    """
    faults = find_faults(content)
    if faults:
        raise DocumentError(faults, step=_STEP)
    document = _structure(content)
    if len(to_canonical_json(document)) > MAX_DOCUMENT_BYTES:
        reason = f"larger than {MAX_DOCUMENT_BYTES} bytes in canonical form"
        raise DocumentError((Fault("", reason, rule=FILE_RULE),), step=_STEP)
    return document


def to_plain(document: Document) -> dict[str, object]:
    """Return the document as plain values in the order of its fields."""
    return _converter.unstructure(document)


def to_canonical_json(document: Document) -> bytes:
    """Return the document as JSON bytes that are equal for equal documents."""
    text = json.dumps(
        to_plain(document),
        sort_keys=True,
        separators=(",", ":"),
        ensure_ascii=False,
        allow_nan=False,
    )
    return text.encode()


def from_canonical_json(body: bytes) -> Document:
    """Build a document from JSON bytes.

    Bytes in exactly the canonical form come from a document that passed its checks
    when it was submitted. They aren't checked again, because the schema check of
    2,100 services takes 0.7 s, during which an instance would forward no packets.
    Other bytes are checked against the schema, but not across fields, so that an
    accepted document stays readable when a later version adds a cross-field check.

    Raises:
        DocumentError: Not JSON, or a field is missing, unknown or malformed.
    """
    content = parse_json(body)
    document = _structure_canonical(content, body)
    if document is not None:
        return document
    faults = find_shape_faults(content)
    if faults:
        raise DocumentError(faults, step=_STEP)
    return _structure(content)


def _structure_canonical(content: object, body: bytes) -> Document | None:
    try:
        document = _fast_converter.structure(content, Document)
        return document if to_canonical_json(document) == body else None
    except Exception:  # Without detailed validation cattrs raises arbitrary errors.
        return None


def _structure(content: object) -> Document:
    try:
        return _converter.structure(content, Document)
    except (cattrs.BaseValidationError, TypeError, ValueError) as error:
        faults = tuple(Fault("", text) for text in cattrs.transform_error(error))
        raise DocumentError(faults, step=_STEP) from error
