"""Messages by which the initial members form a cluster."""

from attrs import frozen

from .messages import Message, register


@register
@frozen(kw_only=True)
class FormationInvitation(Message):
    """Tells the first initial member whom it is to form a cluster with.

    Its process may have ended before it stored that.

    Attributes:
        names: Names of the initial members, sorted.
    """

    names: tuple[str, ...]


@register
@frozen(kw_only=True)
class FormationRequest(Message):
    """Asks an initial member for its state, or to join the cluster that forms.

    Attributes:
        names: Names of the initial members, sorted.
        cluster: Identity of the cluster to join; empty to ask only.
        former_cluster: Identity of the cluster that the sender was told and that the
            new one replaces; empty for none.
    """

    names: tuple[str, ...]
    cluster: bytes = b""
    former_cluster: bytes = b""


@register
@frozen(kw_only=True)
class FormationAnswer(Message):
    """Answers a FormationInvitation or a FormationRequest.

    Attributes:
        names: Initial members that the answering instance knows; empty for none.
        identity: Random identity stored on its disk.
        cluster: Cluster to which it belongs; empty for none.
        last_index: Index of the last entry of its log.
    """

    names: tuple[str, ...]
    identity: bytes
    cluster: bytes
    last_index: int
