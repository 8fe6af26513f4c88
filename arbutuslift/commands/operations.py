"""Commands about the running system: status, members, data centres."""

from .. import api
from ..errors import ArbutusliftError, OutcomeUnknown, UsageError
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
    return await _set_in_service(options, environment, in_service=False)


async def bring_back(options: Options, environment: Environment) -> Outcome:
    """Bring a data centre back into service."""
    return await _set_in_service(options, environment, in_service=True)


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


async def _set_in_service(
    options: Options, environment: Environment, *, in_service: bool
) -> Outcome:
    (name,) = _require_arguments(options, ("data centre",))
    request_ids: list[str] = []

    def next_request_id() -> str:
        given = options.request_id if not request_ids else ""
        request_ids.append(given or environment.new_request_id())
        environment.note(f"request_id={request_ids[-1]}")
        return request_ids[-1]

    try:
        async with open_session(options, environment) as session:
            revision = await api.set_in_service(
                session, name, in_service, next_request_id
            )
    except ArbutusliftError as error:
        outcome = outcome_of(error)
        outcome.request_id = request_ids[-1] if request_ids else ""
        if isinstance(error, OutcomeUnknown):
            outcome.message += (
                "; run the same command again: it reads the current document first"
            )
        return outcome
    number = revision.configuration.revision
    state = "in service" if in_service else "out of service"
    message = f"{name} is {state} as of revision {number}"
    if revision.entry is not None:
        message = f"{name} was already {state} in revision {number}"
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
        f"open_connections={upstream.open_connections} "
        f"busy_slots={upstream.busy_slots}"
    )
