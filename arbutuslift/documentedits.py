"""Edits of one entry of the current document, retried if it has changed meanwhile."""

from collections.abc import Callable
from functools import singledispatch

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


@frozen(kw_only=True)
class Edit:
    """Base of all edits."""


@frozen(kw_only=True)
class SetInService(Edit):
    """Take a data centre out of service or bring it back.

    Attributes:
        name: Name of the data centre.
        in_service: Whether it is to be in service.
    """

    name: str
    in_service: bool


@frozen(kw_only=True)
class TakeUpstreamOut(Edit):
    """Take an upstream out of rotation.

    Attributes:
        entry: The entry of the document.
        now_s: Seconds since the Unix epoch, by which expired entries are removed.
    """

    entry: OutOfRotation
    now_s: float


@frozen(kw_only=True)
class BringUpstreamBack(Edit):
    """Bring an upstream back into rotation.

    Attributes:
        upstream_id: Identity of the upstream.
        now_s: Seconds since the Unix epoch, by which expired entries are removed.
    """

    upstream_id: str
    now_s: float


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
    entry = find_entry(edit, base.document)
    if is_made(edit, entry):
        return current
    for _ in range(MAX_ATTEMPTS):
        changed = edited(edit, base.document)
        try:
            number = await apply_document(
                session, changed, base.revision, new_request_id()
            )
        except ConfigurationConflict as error:
            base = error.current
            if find_entry(edit, base.document) != entry:
                raise
        else:
            return Revision(
                configuration=Configuration(revision=number, document=changed)
            )
    reason = f"{MAX_ATTEMPTS} tries met a newer revision"
    raise ConfigurationConflict(reason, current=base, step="apply")


@singledispatch
def find_entry(edit: Edit, document: Document) -> Entry:
    """Return the entry that an edit concerns, None if the document lacks it."""
    raise NotImplementedError(type(edit).__name__)


@find_entry.register
def _(edit: SetInService, document: Document) -> Entry:
    found = (centre for centre in document.data_centres if centre.name == edit.name)
    return next(found, None)


@find_entry.register
def _(edit: TakeUpstreamOut, document: Document) -> Entry:
    return find_out_of_rotation(document, edit.entry.upstream_id)


@find_entry.register
def _(edit: BringUpstreamBack, document: Document) -> Entry:
    return find_out_of_rotation(document, edit.upstream_id)


@singledispatch
def is_made(edit: Edit, entry: Entry) -> bool:
    """Return whether the entry has the requested state already.

    Raises:
        ChangeNotAccepted: The entry that the edit changes is missing.
    """
    raise NotImplementedError(type(edit).__name__)


@is_made.register
def _(edit: SetInService, entry: Entry) -> bool:
    if entry is None:
        raise ChangeNotAccepted(f"there is no data centre {edit.name}", step="show")
    return entry.in_service == edit.in_service


@is_made.register
def _(edit: TakeUpstreamOut, entry: Entry) -> bool:
    return entry == edit.entry


@is_made.register
def _(edit: BringUpstreamBack, entry: Entry) -> bool:
    return entry is None


@singledispatch
def edited(edit: Edit, document: Document) -> Document:
    """Return the document after an edit."""
    raise NotImplementedError(type(edit).__name__)


@edited.register
def _(edit: SetInService, document: Document) -> Document:
    centres = tuple(
        evolve(centre, in_service=edit.in_service)
        if centre.name == edit.name
        else centre
        for centre in document.data_centres
    )
    return evolve(document, data_centres=centres)


@edited.register
def _(edit: TakeUpstreamOut, document: Document) -> Document:
    return with_upstream_out(without_expired(document, edit.now_s), edit.entry)


@edited.register
def _(edit: BringUpstreamBack, document: Document) -> Document:
    return without_upstream_out(without_expired(document, edit.now_s), edit.upstream_id)


@singledispatch
def describe_state(edit: Edit) -> str:
    """Return the requested state as text."""
    raise NotImplementedError(type(edit).__name__)


@describe_state.register
def _(edit: SetInService) -> str:
    return f"{edit.name}: {'in service' if edit.in_service else 'out of service'}"


@describe_state.register
def _(edit: TakeUpstreamOut) -> str:
    return f"{edit.entry.upstream_id}: out of rotation {end_of(edit.entry)}"


@describe_state.register
def _(edit: BringUpstreamBack) -> str:
    return f"{edit.upstream_id}: in rotation"
