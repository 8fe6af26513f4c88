"""Commands about documents: apply, show, history, diff."""

import datetime
import json
from pathlib import Path
from typing import Any

import yaml
from attrs import frozen

from .. import api
from ..errors import ArbutusliftError, OutcomeUnknown, UsageError
from ..protocol.configurationeffects import Examined
from ..protocol.document import Document, load_document, to_plain
from ..protocol.documentdiff import Change, describe, diff
from ..protocol.operators import RevisionEntry
from .check import findings_in
from .environment import Environment, open_session
from .options import Options
from .outcome import Outcome, outcome_of


@frozen(kw_only=True)
class RevisionNumber:
    """The revision that resulted from a change."""

    revision: int


@frozen(kw_only=True)
class ShownRevision:
    """A revision with its document."""

    revision: int
    entry: RevisionEntry | None
    document: Document


@frozen(kw_only=True)
class ShownHistory:
    """Revisions, newest first."""

    entries: tuple[RevisionEntry, ...]


@frozen(kw_only=True)
class ShownChange:
    """One difference between documents.

    Attributes:
        change: Name of the class of the change.
        description: The change as text.
        details: The change. It is declared as ``Any`` so that its fields are taken from
            the class of the value; with the base class none would be written.
    """

    change: str
    description: str
    details: Any


@frozen(kw_only=True)
class ShownDiff:
    """Differences between documents."""

    changes: tuple[ShownChange, ...]


async def apply(options: Options, environment: Environment) -> Outcome:
    """Submit a document based on --expected_revision."""
    path = _require_one_path(options)
    if options.expected_revision is None:
        raise UsageError(
            "--expected_revision is missing: give the revision on which the "
            "document is based, as printed by show; 0 if there is none yet",
            step="apply",
        )
    document = load_document(path)
    examined = Examined(document=document, now_s=environment.clock.wall_s())
    for finding in findings_in(path, examined):
        environment.note(str(finding))
    request_id = options.request_id or environment.new_request_id()
    environment.note(f"request_id={request_id}")
    try:
        async with open_session(options, environment) as session:
            revision = await api.apply_document(
                session, document, options.expected_revision, request_id
            )
    except ArbutusliftError as error:
        outcome = outcome_of(error)
        outcome.request_id = request_id
        if isinstance(error, OutcomeUnknown):
            outcome.message += (
                f"; resend the same file with --request_id={request_id} "
                f"--expected_revision={options.expected_revision}"
            )
        return outcome
    return Outcome(
        message=f"accepted as revision {revision}",
        request_id=request_id,
        result=RevisionNumber(revision=revision),
    )


async def show(options: Options, environment: Environment) -> Outcome:
    """Show the current document, or that of --revision."""
    _require_no_arguments(options)
    async with open_session(options, environment) as session:
        shown = await api.fetch_revision(session, options.revision)
    configuration = shown.configuration
    result = ShownRevision(
        revision=configuration.revision,
        entry=shown.entry,
        document=configuration.document,
    )
    if shown.entry is None:
        return Outcome(message="no revision was accepted yet", result=result)
    return Outcome(
        message=f"# {_format_entry(shown.entry)}",
        result=result,
        lines=(to_yaml(configuration.document).rstrip(),),
    )


async def history(options: Options, environment: Environment) -> Outcome:
    """List the newest revisions, at most --limit."""
    _require_no_arguments(options)
    async with open_session(options, environment) as session:
        entries = await api.fetch_history(session, options.limit)
    return Outcome(
        message=f"{len(entries)} revisions",
        result=ShownHistory(entries=entries),
        lines=tuple(_format_entry(entry) for entry in entries),
    )


async def compare(options: Options, environment: Environment) -> Outcome:
    """Compare --from_revision with a file or with --to_revision."""
    if bool(options.arguments) == bool(options.to_revision):
        raise UsageError("give either a file or --to_revision", step="diff")
    document = load_document(_require_one_path(options)) if options.arguments else None
    async with open_session(options, environment) as session:
        old = await api.fetch_revision(session, options.from_revision)
        if document is None:
            new = await api.fetch_revision(session, options.to_revision)
            document = new.configuration.document
    changes = diff(old.configuration.document, document)
    return Outcome(
        message=f"{len(changes)} changes from revision {old.configuration.revision}",
        result=ShownDiff(changes=tuple(_shown_change(change) for change in changes)),
        lines=tuple(describe(change) for change in changes),
    )


def to_yaml(document: Document) -> str:
    """Return a document as YAML in the order of its fields."""
    plain = json.loads(json.dumps(to_plain(document)))  # Turns tuples into lists.
    return yaml.safe_dump(plain, sort_keys=False, allow_unicode=True)


def _shown_change(change: Change) -> ShownChange:
    return ShownChange(
        change=type(change).__name__, description=describe(change), details=change
    )


def _format_entry(entry: RevisionEntry) -> str:
    submitted_at = datetime.datetime.fromtimestamp(entry.submitted_at_s, datetime.UTC)
    return (
        f"revision {entry.revision} by {entry.author} at "
        f"{submitted_at.isoformat(timespec='seconds')} request_id={entry.request_id}"
    )


def _require_one_path(options: Options) -> Path:
    if len(options.arguments) != 1:
        raise UsageError(f"{options.command} needs one file", step=options.command)
    return Path(options.arguments[0])


def _require_no_arguments(options: Options) -> None:
    if options.arguments:
        raise UsageError(f"{options.command} takes no argument", step=options.command)
