"""Commands about the running system: status, members, data centres, upstreams."""

import math

from .. import api
from ..documentedits import (
    BringUpstreamBack,
    Edit,
    SetInService,
    TakeUpstreamOut,
    edit_document,
)
from ..errors import ArbutusliftError, OutcomeUnknown, UsageError
from ..protocol.document import OutOfRotation
from ..protocol.operators import InstanceStatus, UpstreamStatus
from .documents import RevisionNumber
from .environment import Environment, open_session
from .options import Options
from .outcome import Outcome, outcome_of

UNKNOWN_REVISION = "unknown"


async def status(options: Options, environment: Environment) -> Outcome:
    """List instances and upstreams in the view of the first server that answers."""
    _require_arguments(options, ())
    async with open_session(options, environment) as session:
        shown = await api.fetch_status(
            session,
            service=options.service,
            data_centre=options.data_centre,
            limit=options.limit,
        )
    message = (
        f"{len(shown.instances)} of {shown.instances_total} instances, "
        f"{len(shown.upstreams)} of {shown.upstreams_total} upstreams"
    )
    lines = [_format_instance(instance) for instance in shown.instances]
    lines += [_format_upstream(upstream) for upstream in shown.upstreams]
    return Outcome(message=message, result=shown, lines=tuple(lines))


async def members(options: Options, environment: Environment) -> Outcome:
    """List the control members."""
    _require_arguments(options, ())
    async with open_session(options, environment) as session:
        shown = await api.fetch_members(session)
    lines = tuple(
        f"{member.role:8} {member.name} identity={member.identity} "
        f"matched_index={member.matched_index}"
        for member in shown.members
    )
    return Outcome(message=f"{len(shown.members)} members", result=shown, lines=lines)


async def take_out(options: Options, environment: Environment) -> Outcome:
    """Take a data centre out of service; flows that end there are abandoned."""
    (name,) = _require_arguments(options, ("data centre",))
    return await _edit(options, environment, SetInService(name=name, in_service=False))


async def bring_back(options: Options, environment: Environment) -> Outcome:
    """Bring a data centre back into service."""
    (name,) = _require_arguments(options, ("data centre",))
    return await _edit(options, environment, SetInService(name=name, in_service=True))


async def take_upstream_out(options: Options, environment: Environment) -> Outcome:
    """Send no new flows to an upstream, for --for_s or until it is brought back."""
    (upstream_id,) = _require_arguments(options, ("upstream identity",))
    now_s = environment.clock.wall_s()
    until_s = math.ceil(now_s) + options.for_s if options.for_s else 0
    entry = OutOfRotation(upstream_id=upstream_id, until_s=until_s)
    return await _edit(options, environment, TakeUpstreamOut(entry=entry, now_s=now_s))


async def bring_upstream_back(options: Options, environment: Environment) -> Outcome:
    """Send new flows to an upstream again."""
    (upstream_id,) = _require_arguments(options, ("upstream identity",))
    now_s = environment.clock.wall_s()
    edit = BringUpstreamBack(upstream_id=upstream_id, now_s=now_s)
    return await _edit(options, environment, edit)


async def replace_member(options: Options, environment: Environment) -> Outcome:
    """Replace a control member whose disk or machine is lost."""
    old_name, new_name = _require_arguments(options, ("old name", "new name"))
    try:
        async with open_session(options, environment) as session:
            await api.replace_member(session, old_name, new_name)
    except OutcomeUnknown as error:
        outcome = outcome_of(error)
        outcome.message += "; run members before you retry"
        return outcome
    return Outcome(message=f"{new_name} replaced {old_name} and is a voter")


async def _edit(options: Options, environment: Environment, edit: Edit) -> Outcome:
    request_ids: list[str] = []

    def next_request_id() -> str:
        given = options.request_id if not request_ids else ""
        request_ids.append(given or environment.new_request_id())
        environment.note(f"request_id={request_ids[-1]}")
        return request_ids[-1]

    try:
        async with open_session(options, environment) as session:
            revision = await edit_document(session, edit, next_request_id)
    except ArbutusliftError as error:
        outcome = outcome_of(error)
        outcome.request_id = request_ids[-1] if request_ids else ""
        if isinstance(error, OutcomeUnknown):
            outcome.message += (
                "; run the same command again: it reads the current document first"
            )
        return outcome
    number = revision.configuration.revision
    message = f"{edit.requested_state} as of revision {number}"
    if revision.entry is not None:
        message = f"{edit.requested_state}, as already in revision {number}"
    return Outcome(
        message=message,
        request_id=request_ids[-1] if request_ids else "",
        result=RevisionNumber(revision=number),
    )


def _require_arguments(options: Options, names: tuple[str, ...]) -> tuple[str, ...]:
    if len(options.arguments) != len(names):
        expected = " and ".join(names) or "no argument"
        raise UsageError(f"{options.command} needs {expected}", step=options.command)
    return options.arguments


def _format_instance(instance: InstanceStatus) -> str:
    return (
        f"instance {instance.name} {instance.data_centre} {instance.state} "
        f"revision={instance.revision or UNKNOWN_REVISION} endpoint={instance.endpoint}"
    )


def _format_upstream(upstream: UpstreamStatus) -> str:
    return (
        f"upstream {upstream.name} {upstream.data_centre} {upstream.state} "
        f"service={upstream.service} address={upstream.address} "
        f"upstream_id={upstream.upstream_id} "
        f"open_connections={upstream.open_connections} "
        f"busy_slots={upstream.busy_slots}"
    )
