"""Settings of the daemon: flags, each with an environment variable."""

import ipaddress
import os
from collections.abc import Mapping
from pathlib import Path

from absl import flags
from attrs import frozen

from .errors import Fault, SettingsError
from .settingflag import SettingFlag
from .settingparsers import (
    TRACE_FILE_PREFIX,
    Seed,
    choice_parser,
    number_parser,
    parse_address,
    parse_data_folder,
    parse_file,
    parse_folder,
    parse_instance_name,
    parse_key_file,
    parse_members,
    parse_name,
    parse_seeds,
    parse_trace,
)
from .transport.fabric import Address

CURVE_CHOICES = ("auto", "on", "off")
LOG_LEVELS = ("debug", "info", "warning", "error")
MAX_DRAIN_S = 3600.0
MAX_FLOWS = 10_000_000
MAX_AIM_MS = 3_600_000
MAX_QUEUE_LENGTH = 1_000_000


@frozen(kw_only=True)
class Settings:
    """Checked settings.

    Attributes:
        name: Name of this instance.
        data_centre: Name of its data centre.
        listen: Address on which packets of the fabric are received.
        fabric: Address to which packets for callers are sent.
        announcements: Address on which announcements of upstreams are received.
        bus: Address on which messages of instances and operators are received, if any.
        seeds: Other instances to contact first.
        members: Names of the initial control members.
        data_folder: Folder of the state that must survive a restart, if any.
        document: Path of the initial document; None if other instances provide it.
        curve: ``auto``, ``on`` or ``off``.
        curve_key_file: Secret key of this instance.
        authorized_keys_folder: Public keys of all instances and operators.
        announcement_key_file: Key with which announcements are signed.
        drain_s: How long to forward after the first stop signal.
        max_flows: Capacity of the flow cache.
        admission_aim_ms: Time within which callers want an answer, in ms; 0 if new
            flows aren't limited by it.
        upstream_queue_length: Requests that wait at each upstream before it rejects
            more, 0 if it isn't known.
        statsd: Address of the statsd server, if any.
        trace: ``off``, ``console`` or ``file:PATH``.
        trace_ratio: Fraction of the flows whose packets are traced, from 0 to 1.
        log_level: ``debug``, ``info``, ``warning`` or ``error``.
    """

    name: str
    data_centre: str
    listen: Address
    fabric: Address
    announcements: Address
    bus: Address | None = None
    seeds: tuple[Seed, ...] = ()
    members: tuple[str, ...] = ()
    data_folder: Path | None = None
    document: Path | None = None
    curve: str = "auto"
    curve_key_file: Path | None = None
    authorized_keys_folder: Path | None = None
    announcement_key_file: Path | None = None
    drain_s: float = 5.0
    max_flows: int = 400_000
    admission_aim_ms: int = 0
    upstream_queue_length: int = 0
    statsd: Address | None = None
    trace: str = "off"
    trace_ratio: float = 0.001
    log_level: str = "info"

    @property
    def is_member(self) -> bool:
        """Whether this instance is an initial control member."""
        return self.name in self.members

    @property
    def uses_curve(self) -> bool:
        """Whether the bus encrypts messages and authenticates peers by their keys."""
        addresses = [seed.address for seed in self.seeds]
        if self.bus is not None:
            addresses.append(self.bus)
        return uses_curve(self.curve, addresses)

    @property
    def trace_file(self) -> Path | None:
        """File to which spans are written, if any."""
        if not self.trace.startswith(TRACE_FILE_PREFIX):
            return None
        return Path(self.trace.removeprefix(TRACE_FILE_PREFIX))


def uses_curve(choice: str, addresses: list[Address]) -> bool:
    """Whether a bus with these addresses uses CURVE.

    Args:
        choice: ``auto``, ``on`` or ``off``.
        addresses: Addresses of the bus and of its seeds.
    """
    if not addresses or choice != "auto":
        return bool(addresses) and choice == "on"
    return not all(
        ipaddress.IPv4Address(address.ip).is_loopback for address in addresses
    )


_ADDRESS = "ip:port"
SETTING_FLAGS = (
    SettingFlag(
        "name",
        "name",
        "Name of this instance.",
        parse_instance_name,
        is_required=True,
    ),
    SettingFlag(
        "data_centre",
        "name",
        "Data centre of this instance.",
        parse_name,
        is_required=True,
    ),
    SettingFlag(
        "listen",
        _ADDRESS,
        "UDP, takes packets of the fabric.",
        parse_address,
        is_required=True,
    ),
    SettingFlag(
        "fabric",
        _ADDRESS,
        "UDP, takes packets for callers.",
        parse_address,
        is_required=True,
    ),
    SettingFlag(
        "announcements",
        _ADDRESS,
        "HTTP, takes announcements of upstreams.",
        parse_address,
        is_required=True,
    ),
    SettingFlag(
        "bus",
        _ADDRESS,
        "TCP, takes messages of instances and operators.",
        parse_address,
    ),
    SettingFlag("seeds", "name=ip:port,...", "Buses of known instances.", parse_seeds),
    SettingFlag("members", "name,...", "Initial control members.", parse_members),
    SettingFlag(
        "data_folder",
        "path",
        "Holds what has to survive a restart; members need it.",
        parse_data_folder,
    ),
    SettingFlag(
        "document", "path", "Initial document if there are no members.", parse_file
    ),
    SettingFlag(
        "curve",
        "|".join(CURVE_CHOICES),
        "Encryption of the bus; auto is on unless all its addresses are loopback.",
        choice_parser(CURVE_CHOICES),
        "auto",
    ),
    SettingFlag(
        "curve_key_file", "path", "Secret key of this instance.", parse_key_file
    ),
    SettingFlag(
        "authorized_keys_folder",
        "path",
        "Public keys of instances and operators, NAME.key each.",
        parse_folder,
    ),
    SettingFlag(
        "announcement_key_file",
        "path",
        "Key of signed announcements; others are then refused.",
        parse_key_file,
    ),
    SettingFlag(
        "drain_s",
        "seconds",
        "How long to forward after the first stop signal.",
        number_parser(float, 0.0, MAX_DRAIN_S),
        "5.0",
    ),
    SettingFlag(
        "max_flows",
        "number",
        "Entries of the flow cache.",
        number_parser(int, 1, MAX_FLOWS),
        "400000",
    ),
    SettingFlag(
        "admission_aim_ms",
        "number",
        "Aim of callers by which new flows are limited; 0 for no limit.",
        number_parser(int, 0, MAX_AIM_MS),
        "0",
    ),
    SettingFlag(
        "upstream_queue_length",
        "number",
        "Requests that wait at an upstream before it rejects; 0 if unknown.",
        number_parser(int, 0, MAX_QUEUE_LENGTH),
        "0",
    ),
    SettingFlag("statsd", _ADDRESS, "UDP, takes metrics.", parse_address),
    SettingFlag(
        "trace",
        "off|console|file:PATH",
        "Where spans of traces go.",
        parse_trace,
        "off",
    ),
    SettingFlag(
        "trace_ratio",
        "0 to 1",
        "Part of the flows whose packets are traced.",
        number_parser(float, 0.0, 1.0),
        "0.001",
    ),
    SettingFlag(
        "log_level",
        "|".join(LOG_LEVELS),
        "Least level of logged events.",
        choice_parser(LOG_LEVELS),
        "info",
    ),
)


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags as text, so that all faults can be reported at once."""
    for flag in SETTING_FLAGS:
        default = f" Default: {flag.default}." if flag.default else ""
        flags.DEFINE_string(
            flag.name, None, f"{flag.help}{default}", flag_values=values
        )


define_flags(flags.FLAGS)


def read_settings(
    values: flags.FlagValues = flags.FLAGS,
    environment: Mapping[str, str] = os.environ,
) -> Settings:
    """Build the settings from parsed flags and the environment.

    A flag takes precedence over its variable. Empty values count as missing.

    Raises:
        SettingsError: Lists every setting that is missing or malformed.
    """
    faults: list[Fault] = []
    parsed: dict[str, object] = {}
    for flag in SETTING_FLAGS:
        text = values[flag.name].value or environment.get(flag.environment_variable, "")
        text = text or flag.default
        if text:
            try:
                parsed[flag.name] = flag.parse(text)
            except (ValueError, OSError) as error:
                faults.append(Fault(f"--{flag.name}={text}", str(error)))
        elif flag.is_required:
            faults.append(
                Fault(f"--{flag.name}", f"missing, also {flag.environment_variable}")
            )
    faults += _find_conflicts(parsed, {fault.path for fault in faults})
    if faults:
        raise SettingsError(tuple(faults), step="read settings")
    return _build(parsed)


def _build(parsed: dict[str, object]) -> Settings:
    seeds = tuple(
        seed for seed in parsed.get("seeds", ()) if seed.name != parsed["name"]
    )
    return Settings(**(parsed | {"seeds": seeds}))


def _find_conflicts(parsed: dict[str, object], fault_paths: set[str]) -> list[Fault]:
    """Return conflicts between settings that are each well-formed."""
    given = {path.partition("=")[0].removeprefix("--") for path in fault_paths}
    given |= parsed.keys()
    faults = [*_find_source_faults(parsed, given), *_find_bus_faults(parsed, given)]
    if parsed.get("bus") and parsed["bus"] == parsed.get("announcements"):
        faults.append(Fault("--bus", "must differ from --announcements"))
    return faults


def _find_source_faults(parsed: dict[str, object], given: set[str]) -> list[Fault]:
    """Return faults of the settings that determine the source of the document."""
    faults = []
    name = parsed.get("name")
    members = parsed.get("members", ())
    if name in members and "data_folder" not in given:
        faults.append(Fault("--data_folder", "missing; a member needs it"))
    if set(members) - {name} and "seeds" not in given:
        faults.append(Fault("--seeds", "missing; other members can't be reached"))
    if members and "document" in given:
        reason = "can't be given with --members; submit it with arbutusliftctl apply"
        faults.append(Fault("--document", reason))
    elif {"bus", "seeds"} & given and "document" in given:
        reason = "can't be given with --bus; the document then comes from the members"
        faults.append(Fault("--document", reason))
    if not {"document", "members", "seeds"} & given:
        reason = "missing; without it, --seeds or --members there is no document"
        faults.append(Fault("--document", reason))
    return faults


def _find_bus_faults(parsed: dict[str, object], given: set[str]) -> list[Fault]:
    faults = []
    if {"members", "seeds"} & given and "bus" not in given:
        reason = "missing; --seeds and --members need it"
        faults.append(Fault("--bus", reason))
    for seed in parsed.get("seeds", ()):
        if seed.name == parsed.get("name") and seed.address != parsed.get("bus"):
            reason = f"the entry of {seed.name} must be the address of --bus"
            faults.append(Fault("--seeds", reason))
    if _needs_curve(parsed):
        for key in ("curve_key_file", "authorized_keys_folder"):
            if key not in given:
                reason = "missing; the bus uses CURVE, see --curve"
                faults.append(Fault(f"--{key}", reason))
    return faults


def _needs_curve(parsed: dict[str, object]) -> bool:
    addresses = [seed.address for seed in parsed.get("seeds", ())]
    addresses += [parsed["bus"]] if "bus" in parsed else []
    return uses_curve(parsed.get("curve", "auto"), addresses)
