"""Messages of gossip, failure detection and join."""

from attrs import frozen

from .document import DataCentre, Service
from .messages import Message, register


@frozen(kw_only=True)
class RegisterRoot:
    """Root hash of a register, over all its records of one kind.

    Attributes:
        kind: Kind of the records.
        root: The hash.
    """

    kind: str
    root: int


@frozen(kw_only=True)
class HashList:
    """Hashes of the children of one node of a hash tree.

    Attributes:
        kind: Kind of the records.
        node: Number of the node; -1 is the root.
        hashes: 4 bytes for each child.
    """

    kind: str
    node: int
    hashes: bytes


@frozen(kw_only=True)
class LeafEntries:
    """Contents of one leaf of a hash tree.

    Attributes:
        kind: Kind of the records.
        leaf: Number of the leaf.
        entries: For each record 8 bytes of key hash and 8 bytes of version.
    """

    kind: str
    leaf: int
    entries: bytes


@frozen(kw_only=True)
class RecordItem:
    """One record; opaque to instances that don't know the kind.

    Attributes:
        kind: Kind of the record.
        body: The encoded record.
    """

    kind: str
    body: bytes


@register
@frozen(kw_only=True)
class GossipDigest(Message):
    """Begins a gossip exchange; answered by :class:`GossipDifference`.

    Attributes:
        incarnation: Incarnation of the sender.
        data_centre: Data centre of the sender.
        revision: Revision in effect at the sender.
        roots: Root hashes of its registers; empty if they aren't to be compared.
    """

    incarnation: int
    data_centre: str
    revision: int
    roots: tuple[RegisterRoot, ...]


@register
@frozen(kw_only=True)
class GossipDifference(Message):
    """Answers a GossipDigest with node hashes of the registers that differ.

    Attributes:
        revision: Revision in effect at the answering instance.
        tops: Node hashes of each register that differs.
        items: Records that the requesting instance needs at once.
    """

    revision: int
    tops: tuple[HashList, ...]
    items: tuple[RecordItem, ...] = ()


@register
@frozen(kw_only=True)
class LeavesWanted(Message):
    """Asks for the leaves that differ; answered by :class:`LeavesAnswer`.

    Attributes:
        nodes: Leaf hashes of nodes at the sender.
    """

    nodes: tuple[HashList, ...]


@register
@frozen(kw_only=True)
class LeavesAnswer(Message):
    """Contents of leaves that differ.

    Attributes:
        leaves: The leaves, truncated at the size limit.
    """

    leaves: tuple[LeafEntries, ...]


@register
@frozen(kw_only=True)
class RecordsWanted(Message):
    """Asks for records, which are sent as :class:`GossipRecords`.

    Attributes:
        kind: Kind of the records.
        key_hashes: 8 bytes for each record.
    """

    kind: str
    key_hashes: bytes


@register
@frozen(kw_only=True)
class GossipRecords(Message):
    """Records that changed.

    Attributes:
        items: The records.
    """

    items: tuple[RecordItem, ...]


@register
@frozen(kw_only=True)
class Probe(Message):
    """Asks an instance whether it is alive; answered by :class:`ProbeAnswer`.

    Attributes:
        incarnation: Incarnation of the sender.
    """

    incarnation: int


@register
@frozen(kw_only=True)
class IndirectProbe(Message):
    """Asks for a probe of another instance; answered once that one has answered.

    Attributes:
        target: Name of the other instance.
        endpoint: Its endpoint.
    """

    target: str
    endpoint: str


@register
@frozen(kw_only=True)
class ProbeAnswer(Message):
    """Confirms that the probed instance is alive.

    Attributes:
        incarnation: Incarnation of the probed instance.
    """

    incarnation: int


@frozen(kw_only=True)
class ServiceChange:
    """A new or changed service.

    Attributes:
        after: Name of the preceding service; empty for the first.
        entry: The service.
    """

    after: str
    entry: Service


@frozen(kw_only=True)
class DataCentreChange:
    """A new or changed data centre.

    Attributes:
        after: Name of the preceding data centre; empty for the first.
        entry: The data centre.
    """

    after: str
    entry: DataCentre


@register
@frozen(kw_only=True)
class RevisionDelta(Message):
    """Changes from one revision to another.

    Attributes:
        base_revision: Revision to which the changes apply.
        revision: The resulting revision.
        result_hash: Hash of the resulting document.
        services_removed: Names of removed services.
        services: New and changed services.
        data_centres_removed: Names of removed data centres.
        data_centres: New and changed data centres.
    """

    base_revision: int
    revision: int
    result_hash: int
    services_removed: tuple[str, ...] = ()
    services: tuple[ServiceChange, ...] = ()
    data_centres_removed: tuple[str, ...] = ()
    data_centres: tuple[DataCentreChange, ...] = ()


@register
@frozen(kw_only=True)
class RevisionNews(Message):
    """Announces the revision in effect at the sender.

    Attributes:
        revision: The revision.
    """

    revision: int


@register
@frozen(kw_only=True)
class RevisionWanted(Message):
    """Asks for the revision in effect.

    Answered by :class:`RevisionDelta`, or by :class:`RevisionNews` if the whole
    document is needed or the receiver has no newer revision.

    Attributes:
        have_revision: Revision in effect at the sender.
    """

    have_revision: int


@register
@frozen(kw_only=True)
class DocumentPageWanted(Message):
    """Asks for a part of a document; answered by :class:`DocumentPage`.

    Attributes:
        revision: Revision of the document.
        offset: Offset of the first byte of the part.
    """

    revision: int
    offset: int


@register
@frozen(kw_only=True)
class DocumentPage(Message):
    """Part of a document.

    Attributes:
        revision: Revision of the document; 0 if the sender no longer holds it.
        size_bytes: Size of the whole document.
        result_hash: Hash of the document.
        data: The part.
    """

    revision: int
    size_bytes: int
    result_hash: int
    data: bytes


@register
@frozen(kw_only=True)
class JoinQuestion(Message):
    """Asks a peer for its view when joining; answered by :class:`JoinAnswer`.

    Attributes:
        name: Name of the instance that joins.
    """

    name: str


@register
@frozen(kw_only=True)
class JoinAnswer(Message):
    """A peer's view, sent to an instance that joins.

    Attributes:
        revision: Revision in effect at the peer.
        reported_revision: Highest revision that the joining instance reported.
        incarnation: Highest known incarnation of the joining instance.
        is_joined: Whether the peer itself has joined the group.
    """

    revision: int
    reported_revision: int
    incarnation: int
    is_joined: bool


@register
@frozen(kw_only=True)
class StatePageWanted(Message):
    """Asks for a page of all records; answered by :class:`StatePage`.

    Attributes:
        kind: Kind of the last record received; empty for the first page.
        leaf: First leaf of that kind to send.
        data_centre: Data centre of the sender, for kinds of records that aren't sent
            to other data centres.
    """

    kind: str
    leaf: int
    data_centre: str


@register
@frozen(kw_only=True)
class StatePage(Message):
    """A page of all records.

    Attributes:
        items: The records.
        next_kind: Kind at which the next page starts; empty after the last page.
        next_leaf: Leaf at which the next page starts.
    """

    items: tuple[RecordItem, ...]
    next_kind: str
    next_leaf: int
