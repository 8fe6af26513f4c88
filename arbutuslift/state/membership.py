"""The members of the replicated log, as recorded in its entries."""

from attrs import evolve, frozen


@frozen(kw_only=True)
class MemberRecord:
    """A member of the replicated log.

    Attributes:
        name: Name of the instance, which addresses it on the bus.
        identity: Random identity of its data folder; it differs after the disk was
            wiped.
        voter: False for a learner, whose acknowledgements don't count.
        replaces: Identity of the member that it replaces; empty for none. It allows
            an interrupted replacement to be resumed.
        replaces_name: Name of that member, by which a resent request for a completed
            replacement is recognized.
    """

    name: str
    identity: bytes
    voter: bool = True
    replaces: bytes = b""
    replaces_name: str = ""


@frozen(kw_only=True)
class Membership:
    """All members of a cluster.

    Attributes:
        cluster: Random identity of the cluster, set when it was formed.
        members: Members in the order in which they joined.
    """

    cluster: bytes = b""
    members: tuple[MemberRecord, ...] = ()

    @property
    def voters(self) -> tuple[MemberRecord, ...]:
        """Return the members whose votes and acknowledgements count."""
        return tuple(member for member in self.members if member.voter)

    @property
    def quorum(self) -> int:
        """Return the number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def find(self, identity: bytes) -> MemberRecord | None:
        """Return the member with an identity."""
        found = (member for member in self.members if member.identity == identity)
        return next(found, None)

    def is_voter(self, identity: bytes) -> bool:
        """Return whether the identity belongs to a voter."""
        member = self.find(identity)
        return member is not None and member.voter

    def with_learner(
        self, name: str, identity: bytes, old: MemberRecord
    ) -> "Membership":
        """Return a copy with an additional learner that is to replace ``old``."""
        learner = MemberRecord(
            name=name,
            identity=identity,
            voter=False,
            replaces=old.identity,
            replaces_name=old.name,
        )
        return evolve(self, members=(*self.members, learner))

    def with_voter(self, identity: bytes) -> "Membership":
        """Return a copy in which a learner is a voter."""
        members = tuple(
            evolve(member, voter=True) if member.identity == identity else member
            for member in self.members
        )
        return evolve(self, members=members)

    def without_vote(self, identity: bytes) -> "Membership":
        """Return a copy in which a voter is a learner."""
        members = tuple(
            evolve(member, voter=False) if member.identity == identity else member
            for member in self.members
        )
        return evolve(self, members=members)

    def without(self, identity: bytes) -> "Membership":
        """Return a copy without one member."""
        kept = tuple(member for member in self.members if member.identity != identity)
        return evolve(self, members=kept)
