"""Limits on what this instance sends to each upstream."""

from abc import ABC, abstractmethod

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


class UnlimitedAdmission(Admission):
    """Admits every flow."""

    def try_admit(self, record: UpstreamRecord, priority: str) -> bool:
        """Admit the flow."""
        return True

    def note_return(self, upstream_id: str) -> None:
        """Do nothing."""
