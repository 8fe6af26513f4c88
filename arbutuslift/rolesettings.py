"""Settings of the two roles; this module imports neither role."""

from pathlib import Path

from attrs import frozen


@frozen(kw_only=True)
class EntrySettings:
    """Settings of an entry instance.

    Attributes:
        name: Name of the instance.
        data_centre: Where it runs.
        listen_ip: Address for packets.
        listen_port: Port for packets, also that of callers.
        ready_ip: Address of the readiness endpoint.
        ready_port: Port of the readiness endpoint.
        ready_path: Path of the readiness endpoint.
        seeds: Names of control instances, ``ip:port`` of their bus.
        stop_timeout_s: Time from the signal to stop until the process is killed.
    """

    name: str
    data_centre: str
    listen_ip: str
    listen_port: int
    ready_ip: str
    ready_port: int
    ready_path: str
    seeds: tuple[str, ...]
    stop_timeout_s: float


@frozen(kw_only=True)
class ControlSettings:
    """Settings of a control instance.

    Attributes:
        name: ``ip:port`` by which others reach its bus.
        listen: ``ip:port`` on which its bus listens.
        data_centre: Where it runs.
        data_folder: Its part of the agreed state.
        seeds: Names of control instances to begin with.
        is_bootstrap: Whether the whole system starts for the first time.
        voters: Members that vote.
        announcement_interval_s: Time between two announcements of an upstream.
    """

    name: str
    listen: str
    data_centre: str
    data_folder: Path
    seeds: tuple[str, ...]
    is_bootstrap: bool
    voters: int
    announcement_interval_s: float
