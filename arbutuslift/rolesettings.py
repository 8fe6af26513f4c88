"""Settings of entry and control instances.

This module imports neither of them, so that a process loads only its own role.
"""

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from pathlib import Path


@frozen(kw_only=True)
class LoadSettings:
    """Which load features an entry instance uses; without any it decides alone.

    Attributes:
        is_load_reported: Whether it reports its load to control instances and selects
            upstreams by the load of all instances.
        is_admission_limited: Whether new flows wait or are rejected when capacity is
            short.
        is_locality_weighted: Whether the load of data centres decides how many new
            flows go to another one.
        may_use_restored_starts: Whether new flows may go to upstreams that control
            instances restored from disk.
        are_syns_hedged: Whether a SYN without an answer goes to a second upstream
            before the caller repeats it.
        upstream_queue_length: Requests that wait at each upstream before it rejects
            more, None if it isn't known.
        remote_price_per_gb: Price of traffic to another data centre, in the unit in
            which one second of a caller's waiting costs 1.
    """

    is_load_reported: bool = False
    is_admission_limited: bool = False
    is_locality_weighted: bool = False
    may_use_restored_starts: bool = False
    are_syns_hedged: bool = False
    upstream_queue_length: int | None = None
    remote_price_per_gb: float = 0.0


@frozen(kw_only=True)
class EntrySettings:
    """Settings of an entry instance.

    Attributes:
        name: Name of the instance.
        data_centre: Data centre in which it runs.
        listen_ip: Address on which it receives packets.
        listen_port: Port on which it receives packets; callers use the same port.
        ready_ip: Address of the readiness endpoint.
        ready_port: Port of the readiness endpoint.
        ready_path: Path of the readiness endpoint.
        seeds: Names of control instances, ``ip:port`` of their bus.
        stop_timeout_s: Time between the signal to stop and the one that kills.
        link_bytes_per_s: Bandwidth of the instance's link, 0 if it isn't limited.
        load: Load features that it uses.
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
    link_bytes_per_s: float = 0.0
    load: LoadSettings = LoadSettings()


@frozen(kw_only=True)
class ControlSettings:
    """Settings of a control instance.

    Attributes:
        name: ``ip:port`` at which peers reach its bus.
        listen: ``ip:port`` on which its bus listens.
        data_centre: Data centre in which it runs.
        data_folder: Folder of its replica of the agreed state.
        seeds: Names of the control instances to contact first.
        is_bootstrap: Whether the whole system starts for the first time.
        voter_count: Number of members that vote.
        announcement_interval_s: Time between two announcements of an upstream.
    """

    name: str
    listen: str
    data_centre: str
    data_folder: "Path"
    seeds: tuple[str, ...]
    is_bootstrap: bool
    voter_count: int
    announcement_interval_s: float
