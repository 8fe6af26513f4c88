"""The configuration document that operators hand in."""

from pathlib import Path

import cattrs
import yaml
from attrs import field, frozen

from ..errors import DocumentError

PRIORITIES = ("urgent", "high", "ordinary")


@frozen(kw_only=True)
class Service:
    """What callers reach at one address and port.

    Attributes:
        name: Unique name.
        address: Dotted IPv4 address that callers use.
        port: Port that callers use.
        protocol: ``tcp`` or ``udp``.
        kind: Kind of work; an upstream must announce it to be allowed.
        priority: ``urgent``, ``high`` or ``ordinary``.
        idempotent: Whether running a request twice does no harm.
        max_connections: What one upstream bears.
        cold_new_flows_per_s: New flows that one upstream in cold start bears.
        warm_up_s: How long an upstream stays cold.
    """

    name: str
    address: str
    port: int
    protocol: str = "tcp"
    kind: str
    priority: str = "ordinary"
    idempotent: bool = False
    max_connections: int = 2000
    cold_new_flows_per_s: int = 10
    warm_up_s: float = 30.0


@frozen(kw_only=True)
class DataCentre:
    """A data centre and its entry instances.

    Attributes:
        name: Unique name.
        region: Name of the region.
        in_service: False takes the data centre out.
        instances: Names of the entry instances; the order gives each its ordinal.
    """

    name: str
    region: str = ""
    in_service: bool = True
    instances: tuple[str, ...] = ()


@frozen(kw_only=True)
class Document:
    """One configuration.

    Attributes:
        services: All services.
        data_centres: All data centres.
    """

    services: tuple[Service, ...] = ()
    data_centres: tuple[DataCentre, ...] = ()


@frozen(kw_only=True)
class Configuration:
    """A document with the revision under which it was accepted.

    Attributes:
        revision: Grows by one with every accepted document; 0 is none.
        document: The document.
    """

    revision: int = 0
    document: Document = field(factory=Document)


def load_document(path: Path) -> Document:
    """Read a document from a YAML or JSON file.

    Raises:
        DocumentError: The file can't be read or doesn't hold a document.
    """
    try:
        content = yaml.safe_load(path.read_text())
    except (OSError, yaml.YAMLError) as error:
        raise DocumentError(str(error), step="read document", peer=str(path)) from error
    return structure_document(content)


def structure_document(content: object) -> Document:
    """Build a document from plain values.

    Raises:
        DocumentError: A field is missing, unknown or of the wrong type.
    """
    converter = cattrs.Converter(forbid_extra_keys=True)
    try:
        return converter.structure(content, Document)
    except (cattrs.BaseValidationError, TypeError, ValueError) as error:
        faults = "; ".join(cattrs.transform_error(error))
        raise DocumentError(faults, step="check document") from error
