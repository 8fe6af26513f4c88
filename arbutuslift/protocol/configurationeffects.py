"""What a document does to the running system: to its flows, upstreams and limits."""

from collections.abc import Iterator

from attrs import frozen

from ..errors import Fault
from ..state.shares import TRANSITION_S
from .document import DataCentre, Document, Service
from .documentdiff import describe, diff
from .operators import StatusShown


@frozen(kw_only=True)
class Examined:
    """A document without errors, and what it is compared with.

    Attributes:
        document: The document.
        now_s: Seconds since the Unix epoch.
        current: The document in force, or another one; None without a comparison.
        status: Instances and upstreams that are running; None without servers.
    """

    document: Document
    now_s: float = 0.0
    current: Document | None = None
    status: StatusShown | None = None


def services_without_upstreams(examined: Examined) -> Iterator[Fault]:
    """Yield services that no upstream announces."""
    status = _complete_status(examined)
    if status is None:
        return
    announced = {upstream.service for upstream in status.upstreams}
    for index, service in enumerate(examined.document.services):
        if service.name not in announced:
            yield Fault(f"services[{index}]", f"no upstream announces {service.name}")


def services_without_eligible_upstreams(examined: Examined) -> Iterator[Fault]:
    """Yield services none of whose upstreams gets new flows."""
    status = _complete_status(examined)
    if status is None:
        return
    document = examined.document
    out_ids = {
        entry.upstream_id
        for entry in document.out_of_rotation
        if not 0 < entry.until_s <= examined.now_s
    }
    closed = {centre.name for centre in document.data_centres if not centre.in_service}
    eligible = {
        upstream.service
        for upstream in status.upstreams
        if upstream.upstream_id not in out_ids and upstream.data_centre not in closed
    }
    announced = {upstream.service for upstream in status.upstreams}
    for index, service in enumerate(document.services):
        if service.name in announced - eligible:
            reason = f"no upstream of {service.name} gets new flows"
            yield Fault(f"services[{index}]", reason)


def unnamed_data_centres(examined: Examined) -> Iterator[Fault]:
    """Yield data centres that no running instance names as its own."""
    status = examined.status
    if status is None or len(status.instances) < status.instances_total:
        return
    named = {instance.data_centre for instance in status.instances}
    for index, centre in enumerate(examined.document.data_centres):
        if centre.name not in named:
            yield Fault(f"data_centres[{index}]", f"no instance names {centre.name}")


def unknown_data_centres(examined: Examined) -> Iterator[Fault]:
    """Yield data centres of upstreams that the document doesn't have."""
    upstreams = examined.status.upstreams if examined.status else ()
    known = {centre.name for centre in examined.document.data_centres}
    names = {upstream.data_centre for upstream in upstreams} - known
    for name in sorted(names):
        yield Fault("data_centres", f"upstreams announce {name}, which isn't listed")


def unknown_rotations(examined: Examined) -> Iterator[Fault]:
    """Yield entries whose upstream isn't known."""
    status = _complete_status(examined)
    if status is None:
        return
    known = {upstream.upstream_id for upstream in status.upstreams}
    for index, entry in enumerate(examined.document.out_of_rotation):
        if entry.upstream_id not in known:
            yield Fault(
                f"out_of_rotation[{index}].upstream_id",
                f"no running upstream is {entry.upstream_id}",
            )


def dropped_flows(examined: Examined) -> Iterator[Fault]:
    """Yield services whose open flows lose their address."""
    after = _services(examined.document)
    for name, service in _services(examined.current).items():
        if name not in after:
            yield Fault("services", f"flows of {name} are dropped: it is removed")
        elif _endpoint(after[name]) != _endpoint(service):
            old, new = _endpoint(service), _endpoint(after[name])
            reason = f"flows to {old} are dropped: the service is at {new}"
            yield Fault(_path_of(name, examined.document), reason)


def reset_flows(examined: Examined) -> Iterator[Fault]:
    """Yield data centres that go out of service."""
    before = _data_centres(examined.current)
    for index, centre in enumerate(examined.document.data_centres):
        old = before.get(centre.name)
        if old is not None and old.in_service and not centre.in_service:
            reason = f"flows that end in {centre.name} are reset"
            yield Fault(f"data_centres[{index}].in_service", reason)


def removed_out_of_service(examined: Examined) -> Iterator[Fault]:
    """Yield data centres that are removed while out of service."""
    after = _data_centres(examined.document)
    for name, centre in _data_centres(examined.current).items():
        if name not in after and not centre.in_service:
            reason = f"upstreams of {name} get new flows again: it is removed"
            yield Fault("data_centres", reason)


def moved_services(examined: Examined) -> Iterator[Fault]:
    """Yield services at an address that was another's, or that they didn't have."""
    before = _services(examined.current)
    owners = {service.address: service.name for service in before.values()}
    for index, service in enumerate(examined.document.services):
        path = f"services[{index}].address"
        old = before.get(service.name)
        if old is not None and old.address != service.address:
            yield Fault(path, f"{service.name} moves from {old.address}")
        owner = owners.get(service.address, service.name)
        if owner != service.name:
            yield Fault(path, f"{service.address} passes from {owner}")


def divided_shares(examined: Examined) -> Iterator[Fault]:
    """Yield a fault if the list of instances changes."""
    if examined.current is None:
        return
    if _instances(examined.current) != _instances(examined.document):
        reason = (
            "limits are divided anew: for "
            f"{TRANSITION_S:.0f} s every instance uses the smallest of its shares"
        )
        yield Fault("data_centres", reason)


def differences(examined: Examined) -> Iterator[Fault]:
    """Yield every difference from the other document."""
    if examined.current is not None:
        for change in diff(examined.current, examined.document):
            yield Fault("", describe(change))


def _complete_status(examined: Examined) -> StatusShown | None:
    """Return the status if it lists all upstreams; else none can be called missing."""
    status = examined.status
    if status is None or len(status.upstreams) < status.upstreams_total:
        return None
    return status


def _services(document: Document | None) -> dict[str, Service]:
    return {service.name: service for service in document.services} if document else {}


def _data_centres(document: Document | None) -> dict[str, DataCentre]:
    centres = document.data_centres if document else ()
    return {centre.name: centre for centre in centres}


def _instances(document: Document) -> list[str]:
    return [name for centre in document.data_centres for name in centre.instances]


def _endpoint(service: Service) -> str:
    return f"{service.protocol} {service.address}:{service.port}"


def _path_of(name: str, document: Document) -> str:
    names = [service.name for service in document.services]
    return f"services[{names.index(name)}].address"
