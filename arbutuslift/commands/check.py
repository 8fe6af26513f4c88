"""Command that checks a document against the table of rules."""

from pathlib import Path

from attrs import evolve, frozen

from .. import api
from ..errors import DocumentError, UsageError
from ..protocol.configurationeffects import Examined
from ..protocol.configurationrules import (
    Finding,
    Severity,
    find_warnings_and_notes,
    finding_of,
)
from ..protocol.document import load_document
from ..protocol.documentlines import with_lines
from .environment import Environment, open_session
from .options import Options
from .outcome import ExitCode, Outcome, outcome_of

AGAINST_SERVERS = "servers"

# Highest number of entries that a server lists in a status.
MAX_STATUS_ENTRIES = 5000


@frozen(kw_only=True)
class CheckResult:
    """Number of entries in a document, and what the rules found.

    All numbers are 0 if the document has errors.

    Attributes:
        services: Number of services.
        data_centres: Number of data centres.
        instances: Number of instances.
        findings: Errors, warnings and notes.
    """

    services: int = 0
    data_centres: int = 0
    instances: int = 0
    findings: tuple[Finding, ...] = ()


async def check(options: Options, environment: Environment) -> Outcome:
    """Check a document, alone or --against=servers or another file."""
    if len(options.arguments) != 1:
        raise UsageError("check needs one file", step="check")
    path = Path(options.arguments[0])
    try:
        examined = Examined(
            document=load_document(path), now_s=environment.clock.wall_s()
        )
    except DocumentError as error:
        outcome = outcome_of(error)
        findings = tuple(finding_of(fault) for fault in error.faults)
        outcome.result = CheckResult(findings=findings)
        return outcome
    if options.against:
        examined = await _compared(examined, options, environment)
    return _outcome(path, examined)


def findings_in(path: Path, examined: Examined) -> tuple[Finding, ...]:
    """Return the warnings and notes about a document, with their lines.

    Args:
        path: File of the document.
        examined: The document and what it is compared with.
    """
    found = find_warnings_and_notes(examined)
    faults = with_lines(path, [fault for _, fault in found])
    return tuple(
        finding_of(fault, severity)
        for (severity, _), fault in zip(found, faults, strict=True)
    )


async def _compared(
    examined: Examined, options: Options, environment: Environment
) -> Examined:
    if options.against != AGAINST_SERVERS:
        return evolve(examined, current=load_document(Path(options.against)))
    async with open_session(options, environment) as session:
        revision = await api.fetch_revision(session)
        status = await api.fetch_status(
            session, service="", data_centre="", limit=MAX_STATUS_ENTRIES
        )
    return evolve(examined, current=revision.configuration.document, status=status)


def _outcome(path: Path, examined: Examined) -> Outcome:
    document = examined.document
    findings = findings_in(path, examined)
    result = CheckResult(
        services=len(document.services),
        data_centres=len(document.data_centres),
        instances=sum(len(centre.instances) for centre in document.data_centres),
        findings=findings,
    )
    warnings = sum(finding.severity == Severity.WARNING for finding in findings)
    message = (
        f"{path} is valid: {result.services} services, {result.data_centres} data "
        f"centres, {result.instances} instances"
    )
    if findings:
        message += f"; {warnings} warnings, {len(findings) - warnings} notes"
    return Outcome(
        code=ExitCode.WARNINGS if warnings else ExitCode.DONE,
        message=message,
        result=result,
        lines=tuple(f"  {finding}" for finding in findings),
    )
