"""Bus of an operator's client, encrypted if a key file is given."""

import ipaddress
import secrets
from pathlib import Path

from ..errors import TransportError, UsageError
from ..protocol.channel import OPERATOR_PREFIX
from ..settingparsers import Seed, parse_seeds
from ..transport.bus import Bus
from .options import Options

_STEP = "open bus"


def open_zmq_bus(options: Options) -> Bus:
    """Return a bus for a client.

    ZeroMQ is imported only when a command needs the bus.

    Raises:
        UsageError: The given keys, or the lack of keys, don't permit requests to the
            servers.
    """
    from ..transport.zmqbus import ZmqBus

    servers = parse_seeds(",".join(options.servers))
    if options.curve_key_file is None:
        _check_clear_text(options, servers)
        return ZmqBus(f"{OPERATOR_PREFIX}{secrets.token_hex(8)}")
    return _open_curve_bus(options.curve_key_file, options.server_keys_folder, servers)


def _check_clear_text(options: Options, servers: tuple[Seed, ...]) -> None:
    if options.server_keys_folder is not None:
        raise UsageError("--server_keys_folder needs --curve_key_file", step=_STEP)
    remote_names = [
        seed.name
        for seed in servers
        if not ipaddress.IPv4Address(seed.address.ip).is_loopback
    ]
    if remote_names:
        raise UsageError(
            f"--curve_key_file is missing: {', '.join(remote_names)} can't be asked in "
            "clear text, which is for loopback addresses only",
            step=_STEP,
        )


def _open_curve_bus(
    key_file: Path, folder: Path | None, servers: tuple[Seed, ...]
) -> Bus:
    from ..transport.keys import AllowedKeys, key_name, load_key_pair
    from ..transport.zmqbus import Security, ZmqBus

    if folder is None:
        reason = "--server_keys_folder is missing; --curve_key_file needs it"
        raise UsageError(reason, step=_STEP)
    if not folder.is_dir():
        raise UsageError(f"--server_keys_folder={folder} isn't a folder", step=_STEP)
    try:
        # A server drops messages whose sender name doesn't belong to the client's key.
        name = key_name(key_file)
        security = Security(keys=load_key_pair(key_file), allowed=AllowedKeys(folder))
    except TransportError as error:
        raise UsageError(str(error), step=_STEP) from error
    if not name.startswith(OPERATOR_PREFIX):
        reason = f"key {name}: the name of an operator's key begins with "
        raise UsageError(reason + OPERATOR_PREFIX, step=_STEP)
    without_key = [
        seed.name for seed in servers if security.allowed.key_of(seed.name) is None
    ]
    if without_key:
        reason = f"--server_keys_folder={folder} has no key of {', '.join(without_key)}"
        raise UsageError(reason, step=_STEP)
    return ZmqBus(name, security)
