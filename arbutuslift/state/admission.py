"""Limits on what this instance sends to each upstream."""

from abc import ABC, abstractmethod

from .flowkey import FlowKey
from .upstreams import UpstreamRecord


class Admission(ABC):
    """Decides whether a new flow may go to an upstream now."""

    @abstractmethod
    def try_admit(self, record: UpstreamRecord, priority: str) -> bool:
        """Use up one unit of the upstream's budget.

        Args:
            record: The upstream.
            priority: ``urgent``, ``high`` or ``ordinary``.

        Returns:
            Whether the flow may go there; if not, nothing was used up.
        """

    @abstractmethod
    def note_return(self, upstream_id: str) -> None:
        """Note return traffic of an upstream: it answers."""

    @abstractmethod
    def note_restart(self, upstream_id: str) -> None:
        """Note that an upstream denied a flow that it held: it is cold."""

    @abstractmethod
    def relay_holder(self, record: UpstreamRecord, flow: FlowKey) -> str | None:
        """Return the instance to relay a SYN to when this one has no share."""


class UnlimitedAdmission(Admission):
    """Admits every flow."""

    def try_admit(self, record: UpstreamRecord, priority: str) -> bool:
        """Admit the flow."""
        return True

    def note_return(self, upstream_id: str) -> None:
        """Do nothing."""

    def note_restart(self, upstream_id: str) -> None:
        """Do nothing."""

    def relay_holder(self, record: UpstreamRecord, flow: FlowKey) -> str | None:
        """Return None."""
        return None
