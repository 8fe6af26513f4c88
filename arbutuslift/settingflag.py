"""Flags of the daemon, each with an environment variable."""

from collections.abc import Callable

from attrs import field, frozen

ENVIRONMENT_PREFIX = "ARBUTUSLIFT_"


@frozen
class SettingFlag:
    """A flag of the daemon.

    Attributes:
        name: Name of the flag.
        metavar: Placeholder that describes the form of a value.
        help: Help text.
        parse: Returns the value of a text; raises ValueError.
        default: Text that is used if flag and variable are missing; empty for none.
        is_required: Whether a value must be given.
    """

    name: str
    metavar: str
    help: str
    parse: Callable[[str], object]
    default: str = ""
    is_required: bool = field(default=False, kw_only=True)

    @property
    def environment_variable(self) -> str:
        """Name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper()
