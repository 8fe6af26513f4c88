"""Command that creates CURVE keys."""

from pathlib import Path

from attrs import frozen

from ..errors import UsageError
from ..settingparsers import parse_name
from .environment import Environment
from .options import Options
from .outcome import Outcome


@frozen(kw_only=True)
class CreatedKey:
    """Files of a new key.

    Attributes:
        public: Public key file, to be copied to the processes that allow the key.
        secret: Secret key file, which stays with its owner.
    """

    public: str
    secret: str


async def create_key(options: Options, environment: Environment) -> Outcome:
    """Create the CURVE key of an operator or instance in a folder."""
    del environment
    from ..transport.keys import PUBLIC_SUFFIX, SECRET_SUFFIX, create_key_files

    if len(options.arguments) != 2:
        raise UsageError("create-key needs name and folder", step="create key")
    name, folder = options.arguments[0], Path(options.arguments[1])
    try:
        parse_name(name)
    except ValueError as error:
        raise UsageError(f"{name}: {error}", step="create key") from error
    if not folder.is_dir():
        raise UsageError(f"{folder} isn't a folder", step="create key")
    public = folder / f"{name}{PUBLIC_SUFFIX}"
    secret = folder / f"{name}{SECRET_SUFFIX}"
    for path in (public, secret):
        # The owner of a replaced key has no access until all servers have the new key.
        if path.exists() and not options.overwrite:
            raise UsageError(f"{path} exists; give --overwrite", step="create key")
    create_key_files(folder, name)
    return Outcome(
        message=f"wrote {public} and {secret}; copy only the first to others",
        result=CreatedKey(public=str(public), secret=str(secret)),
    )
