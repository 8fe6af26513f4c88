"""Settings of the daemon: flags, each with an environment variable."""

import os
from pathlib import Path

from absl import flags
from attrs import frozen

from .errors import Fault, SettingsError
from .transport.fabric import Address

ENVIRONMENT_PREFIX = "ARBUTUSLIFT_"

flags.DEFINE_string("name", None, "Name of this instance.")
flags.DEFINE_string("data_centre", None, "Data centre of this instance.")
flags.DEFINE_string("listen", None, "ip:port that takes packets of the fabric.")
flags.DEFINE_string("fabric", None, "ip:port that takes packets for callers.")
flags.DEFINE_string("announcements", None, "ip:port for announcements of upstreams.")
flags.DEFINE_string("document", None, "Path of the configuration document.")


@frozen(kw_only=True)
class Settings:
    """Checked settings.

    Attributes:
        name: Name of this instance.
        data_centre: Name of its data centre.
        listen: Takes packets of the fabric.
        fabric: Takes packets for callers.
        announcements: Takes announcements of upstreams.
        document: Path of the configuration document.
    """

    name: str
    data_centre: str
    listen: Address
    fabric: Address
    announcements: Address
    document: Path


def read_settings() -> Settings:
    """Build the settings from parsed flags and the environment.

    Raises:
        SettingsError: Lists every setting that is missing or malformed.
    """
    faults: list[str] = []
    settings = {
        "name": _text("name", faults),
        "data_centre": _text("data_centre", faults),
        "listen": _address("listen", faults),
        "fabric": _address("fabric", faults),
        "announcements": _address("announcements", faults),
        "document": Path(_text("document", faults)),
    }
    if faults:
        raise SettingsError(
            tuple(Fault("", text) for text in faults), step="read settings"
        )
    return Settings(**settings)


def _text(name: str, faults: list[str]) -> str:
    variable = ENVIRONMENT_PREFIX + name.upper()
    value = flags.FLAGS[name].value or os.environ.get(variable, "")
    if not value:
        faults.append(f"--{name} or {variable} is missing")
    return value


def _address(name: str, faults: list[str]) -> Address | None:
    text = _text(name, faults)
    ip, _, port = text.rpartition(":")
    if ip and port.isdecimal() and int(port) < 65536:
        return Address(ip, int(port))
    if text:
        faults.append(f"--{name}={text} is not ip:port")
    return None
