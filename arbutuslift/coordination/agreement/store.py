"""Interface of the agreed configuration, as the operators' service uses it."""

from abc import ABC, abstractmethod

from attrs import frozen

from ...state.configuration import StoredRevision, Submission


@frozen(kw_only=True)
class MemberStatus:
    """State of a control member as reported by the leader.

    Attributes:
        name: Name of the instance.
        identity: Random identity on its disk, 32 hex digits.
        role: ``leader``, ``voter`` or ``learner``.
        matched_index: Last log index known to be on its disk.
    """

    name: str
    identity: str
    role: str
    matched_index: int


class ConfigurationStore(ABC):
    """The agreed sequence of configurations."""

    @abstractmethod
    async def submit(self, submission: Submission) -> StoredRevision:
        """Accept a document, once.

        Returns:
            The revision; for a repeated request that of the first submission.

        Raises:
            ConfigurationConflict: The current revision isn't the expected one; the
                error carries it.
            NoQuorum: The outcome is unknown; repeating the request returns it.
        """

    @abstractmethod
    async def current(self) -> StoredRevision | None:
        """Return the newest accepted revision, confirmed by a quorum.

        Raises:
            NoQuorum: No quorum confirmed it.
        """

    @abstractmethod
    async def history(self, limit: int) -> list[StoredRevision]:
        """Return the newest revisions, newest first."""

    @abstractmethod
    async def members(self) -> list[MemberStatus]:
        """Return all members."""

    @abstractmethod
    async def replace_member(self, old_name: str, new_name: str) -> None:
        """Replace a member whose disk or machine is lost.

        The new member joins as a learner and becomes a voter once it has caught up.
        ``new_name`` may equal ``old_name`` if only the disk was lost.

        Raises:
            MembershipChangeError: Another change is in progress, or the new member
                can't be reached.
            NoQuorum: No quorum confirmed the change.
        """
