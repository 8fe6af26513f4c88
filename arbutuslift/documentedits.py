"""Edits of one entry of the current document, retried if it has changed meanwhile."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from attrs import evolve, frozen

from .api import Revision, Session, apply_document, fetch_revision
from .errors import ChangeNotAccepted, ConfigurationConflict
from .protocol.document import Configuration, DataCentre, Document, OutOfRotation
from .protocol.rotation import (
    end_of,
    find_out_of_rotation,
    with_upstream_out,
    without_expired,
    without_upstream_out,
)

MAX_ATTEMPTS = 5

Entry = DataCentre | OutOfRotation | None


class Edit(ABC):
    """A change of one entry of the document."""

    @property
    @abstractmethod
    def requested_state(self) -> str:
        """The state that the entry is to have, as text."""

    @abstractmethod
    def find_entry(self, document: Document) -> Entry:
        """Return the entry that the edit concerns, None if the document lacks it."""

    @abstractmethod
    def is_made(self, entry: Entry) -> bool:
        """Return whether the entry has the requested state already.

        Raises:
            ChangeNotAccepted: The entry that the edit changes is missing.
        """

    @abstractmethod
    def apply(self, document: Document) -> Document:
        """Return the document after the edit."""


@frozen(kw_only=True)
class SetInService(Edit):
    """Takes a data centre out of service or brings it back.

    Attributes:
        name: Name of the data centre.
        in_service: Whether it is to be in service.
    """

    name: str
    in_service: bool

    @property
    def requested_state(self) -> str:
        """Return the name of the data centre and its state."""
        return f"{self.name}: {'in service' if self.in_service else 'out of service'}"

    def find_entry(self, document: Document) -> Entry:
        """Return the data centre."""
        found = (centre for centre in document.data_centres if centre.name == self.name)
        return next(found, None)

    def is_made(self, entry: Entry) -> bool:
        """Return whether the data centre is in service, or out of it, as requested.

        Raises:
            ChangeNotAccepted: There is no such data centre.
        """
        if entry is None:
            raise ChangeNotAccepted(f"there is no data centre {self.name}", step="show")
        return entry.in_service == self.in_service

    def apply(self, document: Document) -> Document:
        """Return the document with the state of the data centre."""
        centres = tuple(
            evolve(centre, in_service=self.in_service)
            if centre.name == self.name
            else centre
            for centre in document.data_centres
        )
        return evolve(document, data_centres=centres)


@frozen(kw_only=True)
class TakeUpstreamOut(Edit):
    """Takes an upstream out of rotation.

    Attributes:
        entry: The entry of the document.
        now_s: Seconds since the Unix epoch, by which expired entries are removed.
    """

    entry: OutOfRotation
    now_s: float

    @property
    def requested_state(self) -> str:
        """Return the identity of the upstream and its end out of rotation."""
        return f"{self.entry.upstream_id}: out of rotation {end_of(self.entry)}"

    def find_entry(self, document: Document) -> Entry:
        """Return the entry of the upstream, None if it is in rotation."""
        return find_out_of_rotation(document, self.entry.upstream_id)

    def is_made(self, entry: Entry) -> bool:
        """Return whether the upstream is out of rotation with the same end."""
        return entry == self.entry

    def apply(self, document: Document) -> Document:
        """Return the document with the entry, without expired ones."""
        return with_upstream_out(without_expired(document, self.now_s), self.entry)


@frozen(kw_only=True)
class BringUpstreamBack(Edit):
    """Brings an upstream back into rotation.

    Attributes:
        upstream_id: Identity of the upstream.
        now_s: Seconds since the Unix epoch, by which expired entries are removed.
    """

    upstream_id: str
    now_s: float

    @property
    def requested_state(self) -> str:
        """Return the identity of the upstream, which is to be in rotation."""
        return f"{self.upstream_id}: in rotation"

    def find_entry(self, document: Document) -> Entry:
        """Return the entry of the upstream, None if it is in rotation."""
        return find_out_of_rotation(document, self.upstream_id)

    def is_made(self, entry: Entry) -> bool:
        """Return whether the upstream is in rotation."""
        return entry is None

    def apply(self, document: Document) -> Document:
        """Return the document without the entry, and without expired ones."""
        kept = without_expired(document, self.now_s)
        return without_upstream_out(kept, self.upstream_id)


async def edit_document(
    session: Session, edit: Edit, new_request_id: Callable[[], str]
) -> Revision:
    """Make an edit in the current document.

    After a conflict the edit is retried on the current document, as long as that
    document has the same entry for what is edited. Every attempt has its own request
    identifier, since the answer to an attempt is stored under its identifier.

    Args:
        session: Connection to the system.
        edit: The edit.
        new_request_id: Returns an unused request identifier.

    Returns:
        The revision that has the requested state. Its entry is None if this call
        submitted it.

    Raises:
        ChangeNotAccepted: There is nothing of that name.
        ConfigurationConflict: Another operator changed the same entry.
        OutcomeUnknown: It is unknown whether the change was accepted.
        ServersUnreachable: No server answered.
    """
    current = await fetch_revision(session)
    base = current.configuration
    entry = edit.find_entry(base.document)
    if edit.is_made(entry):
        return current
    for _ in range(MAX_ATTEMPTS):
        changed = edit.apply(base.document)
        try:
            number = await apply_document(
                session, changed, base.revision, new_request_id()
            )
        except ConfigurationConflict as error:
            base = error.current
            if edit.find_entry(base.document) != entry:
                raise
        else:
            return Revision(
                configuration=Configuration(revision=number, document=changed)
            )
    reason = f"{MAX_ATTEMPTS} tries met a newer revision"
    raise ConfigurationConflict(reason, current=base, step="apply")
