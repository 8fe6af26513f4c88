"""Flags of ``arbutusliftctl``."""

import getpass
import os
from collections.abc import Mapping
from pathlib import Path

from absl import flags
from attrs import frozen

from ..errors import UsageError
from ..settingparsers import parse_seeds

SERVERS_VARIABLE = "ARBUTUSLIFT_SERVERS"
KEY_FILE_VARIABLE = "ARBUTUSLIFT_CURVE_KEY_FILE"
SERVER_KEYS_VARIABLE = "ARBUTUSLIFT_SERVER_KEYS_FOLDER"
OUTPUTS = ("text", "json")

# Ten years, which is far from the highest end that a document may have.
MAX_FOR_S = 315_360_000


@frozen(kw_only=True)
class Options:
    """Parsed command line.

    Attributes:
        command: Name of the command; empty if none was given.
        arguments: Words after the command.
        output: ``text`` or ``json``.
        help: Whether help was asked for.
        servers: Instances to try in turn, each as ``name=ip:port``.
        curve_key_file: Secret key of the operator; None means clear text.
        server_keys_folder: Public keys of the servers.
        timeout_s: How long to wait for an answer.
        author: Name of the operator.
        expected_revision: Revision on which a document is based.
        request_id: Identifier of a change; empty to generate one.
        revision: Revision to show; 0 for the current one.
        from_revision: Revision to compare with; 0 for the current one.
        to_revision: Revision to compare; 0 if a file is compared.
        limit: Maximum number of entries in a list.
        service: Restricts the upstreams to this service; empty for all.
        data_centre: Restricts the status to this data centre; empty for all.
        against: What a document is compared with: ``servers`` or a file; empty for
            nothing.
        for_s: Seconds that an upstream stays out of rotation, 0 without an end.
        overwrite: Whether form and create-key may replace files.
    """

    command: str = ""
    arguments: tuple[str, ...] = ()
    output: str = "text"
    help: bool = False
    servers: tuple[str, ...] = ()
    curve_key_file: Path | None = None
    server_keys_folder: Path | None = None
    timeout_s: float = 10.0
    author: str = ""
    expected_revision: int | None = None
    request_id: str = ""
    revision: int = 0
    from_revision: int = 0
    to_revision: int = 0
    limit: int = 100
    service: str = ""
    data_centre: str = ""
    against: str = ""
    for_s: int = 0
    overwrite: bool = False


def define_flags() -> flags.FlagValues:
    """Return a new set of flags, separate from those of the daemon."""
    values = flags.FlagValues()
    values.set_gnu_getopt(True)
    define_text = _make_definer(flags.DEFINE_string, values)
    define_number = _make_definer(flags.DEFINE_integer, values)
    define_switch = _make_definer(flags.DEFINE_boolean, values)
    flags.DEFINE_list(
        "servers",
        [],
        f"Instances to try in turn, as name=ip:port; else {SERVERS_VARIABLE}.",
        flag_values=values,
    )
    flags.DEFINE_enum(
        "output", "text", OUTPUTS, "Format of the outcome.", flag_values=values
    )
    flags.DEFINE_float(
        "timeout_s",
        10.0,
        "How long to wait for an answer of one server, in seconds.",
        lower_bound=0.1,
        upper_bound=600.0,
        flag_values=values,
    )
    define_text(
        "curve_key_file",
        "",
        f"Secret key of the operator, NAME.key_secret; else {KEY_FILE_VARIABLE}.",
    )
    define_text(
        "server_keys_folder",
        "",
        f"Public keys of the servers, NAME.key each; else {SERVER_KEYS_VARIABLE}.",
    )
    define_text("author", "", "Name of the operator; else the name of the account.")
    define_number("expected_revision", None, "Revision on which the document is based.")
    define_text("request_id", "", "Identifier of the change; the same for a resend.")
    define_number("revision", 0, "Revision to show; 0 is the current one.")
    define_number("from_revision", 0, "Revision to compare with; 0 is the current one.")
    define_number("to_revision", 0, "Revision to compare, instead of a file.")
    define_number("limit", 100, "Maximum number of entries in a list.")
    define_text("service", "", "Only upstreams of this service.")
    define_text("data_centre", "", "Only this data centre.")
    define_text(
        "against", "", "What check compares the document with: servers or a file."
    )
    flags.DEFINE_integer(
        "for_s",
        0,
        "How long an upstream stays out of rotation, in seconds; 0 has no end.",
        lower_bound=0,
        upper_bound=MAX_FOR_S,
        flag_values=values,
    )
    define_switch("overwrite", False, "Let form and create-key replace files.")
    define_switch("help", False, "Show the commands and flags.")
    return values


def parse(argv: list[str], environment: Mapping[str, str] = os.environ) -> Options:
    """Parse a command line.

    Args:
        argv: Program name, command, arguments and flags in any order.
        environment: Environment variables.

    Raises:
        UsageError: A flag is unknown or malformed.
    """
    values = define_flags()
    try:
        _, *words = values(argv)
    except flags.Error as error:
        raise UsageError(str(error), step="parse flags") from error
    fields = values.flag_values_dict()
    entries = fields.pop("servers") or environment.get(SERVERS_VARIABLE, "").split(",")
    servers = tuple(server.strip() for server in entries if server.strip())
    _check_values(fields, servers)
    for name, variable in (
        ("curve_key_file", KEY_FILE_VARIABLE),
        ("server_keys_folder", SERVER_KEYS_VARIABLE),
    ):
        path = fields[name] or environment.get(variable, "")
        fields[name] = Path(path) if path else None
    fields["author"] = fields["author"] or _account_name()
    return Options(
        command=words[0] if words else "",
        arguments=tuple(words[1:]),
        servers=servers,
        **fields,
    )


def _account_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):  # The account has no entry in the user database.
        return str(os.getuid())


def wants_json(argv: list[str]) -> bool:
    """Return whether a command line that can't be parsed asks for JSON output."""
    return (
        "--output=json" in argv
        or "-output=json" in argv
        or _has_separate_json_value(argv)
    )


def _has_separate_json_value(argv: list[str]) -> bool:
    return any(
        flag in ("--output", "-output") and value == "json"
        for flag, value in zip(argv, argv[1:], strict=False)
    )


def _check_values(fields: dict[str, object], servers: tuple[str, ...]) -> None:
    try:
        parse_seeds(",".join(servers))
    except ValueError as error:
        raise UsageError(f"--servers: {error}", step="parse flags") from error
    for name in ("expected_revision", "revision", "from_revision", "to_revision"):
        if (fields[name] or 0) < 0:
            raise UsageError(f"--{name} must not be negative", step="parse flags")
    if fields["limit"] < 1:
        raise UsageError("--limit must be at least 1", step="parse flags")


def _make_definer(define: object, values: flags.FlagValues) -> object:
    def define_in(name: str, default: object, help_text: str) -> None:
        define(name, default, help_text, flag_values=values)

    return define_in
